package config

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/pmezard/go-difflib/difflib"

	"github.com/galenaseam/galenaseam/document"
)

// Limits of a diff in lines.
const (
	diffContext  = 3
	diffMaxLines = 2000
)

// diffBodies returns the unified diff of two documents, section by section.
func diffBodies(from, to document.Bodies, fromName, toName string) string {
	var all bytes.Buffer
	for _, section := range document.Sections() {
		before, after := from.Get(section), to.Get(section)
		if !bytes.Equal(before, after) {
			all.WriteString(diffText(before, after, fromName+"/"+string(section), toName+"/"+string(section)))
		}
	}
	return all.String()
}

// diffText returns the unified diff of two texts, or only the number of
// changed lines if they exceed diffMaxLines.
func diffText(before, after []byte, beforeName, afterName string) string {
	a, b := splitLines(before), splitLines(after)
	prefix := commonPrefix(a, b)
	suffix := commonPrefix(reversed(a[prefix:]), reversed(b[prefix:]))
	if changed := len(a) + len(b) - 2*(prefix+suffix); changed > diffMaxLines {
		return fmt.Sprintf("--- %s\n+++ %s\n%d lines changed, from line %d on\n", beforeName, afterName, changed, prefix+1)
	}
	first, keep := 0, 0
	if len(a)+len(b) > diffMaxLines {
		first, keep = max(prefix-diffContext, 0), max(suffix-diffContext, 0)
		beforeName = fmt.Sprintf("%s (lines count from %d)", beforeName, first+1)
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: a[first : len(a)-keep], B: b[first : len(b)-keep],
		FromFile: beforeName, ToFile: afterName, Context: diffContext,
	})
	if err != nil {
		return err.Error() + "\n" // not reached: it writes to a buffer, which never fails
	}
	return text
}

func splitLines(text []byte) []string {
	var lines []string
	for line := range bytes.Lines(text) {
		lines = append(lines, string(line))
	}
	return lines
}

func commonPrefix(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func reversed(lines []string) []string {
	result := slices.Clone(lines)
	slices.Reverse(result)
	return result
}
