package document

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Body is the YAML text of one section: its key and everything below it, and the
// comment lines directly above the key.
type Body struct {
	Section Section
	Text    []byte
}

// Bodies is a document split into sections, in document order, with each section
// at most once. The texts must not be modified.
type Bodies []Body

// Get returns the text of a section, or nil if it is absent.
func (b Bodies) Get(section Section) []byte {
	for _, body := range b {
		if body.Section == section {
			return body.Text
		}
	}
	return nil
}

// With returns a copy of b in which the sections of changes are added or
// replaced. An empty text removes its section.
func (b Bodies) With(changes Bodies) Bodies {
	merged := make(Bodies, 0, len(b)+len(changes))
	for _, section := range Sections() {
		text := b.Get(section)
		for _, change := range changes {
			if change.Section == section {
				text = change.Text
			}
		}
		if len(text) > 0 {
			merged = append(merged, Body{Section: section, Text: text})
		}
	}
	return merged
}

// Join concatenates the sections in document order into one YAML text.
func Join(bodies Bodies) []byte {
	var joined bytes.Buffer
	for _, section := range Sections() {
		text := bodies.Get(section)
		joined.Write(text)
		if len(text) > 0 && text[len(text)-1] != '\n' {
			joined.WriteByte('\n')
		}
	}
	return joined.Bytes()
}

// Split splits a YAML text into its sections. If the text is not a document of
// known sections, the error wraps an *InvalidError.
func Split(data []byte) (Bodies, error) {
	var problems problemList
	sections := parseSections(data, "", &problems)
	bodies := splitAtSections(data, sections)
	return bodies, problems.err()
}

// sectionNode holds the key and value nodes of a section.
type sectionNode struct {
	section Section
	key     *yaml.Node
	value   *yaml.Node
}

// parseSections parses a text and returns its sections in the order of the
// text. If only is not empty, any other section in the text is an error.
func parseSections(data []byte, only Section, problems *problemList) []sectionNode {
	if hasUnsupportedLineBreak(data) {
		problems.add(position{only, 1, 1}, "lines must end in a line feed, alone or after a carriage return")
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		if !errors.Is(err, io.EOF) {
			problems.add(position{only, syntaxErrorLine(err), 1}, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		}
		return nil
	}
	top := root.Content[0]
	at := position{only, top.Line, top.Column}
	if top.Kind != yaml.MappingNode || top.Style&yaml.FlowStyle != 0 || top.Column != 1 || hasDocumentMarker(data) {
		problems.add(at, "expected one YAML document whose sections start at the beginning of a line")
		return nil
	}
	return collectSections(top, only, problems)
}

// collectSections returns the sections of the top-level mapping, and reports
// unknown, duplicate and misplaced ones.
func collectSections(top *yaml.Node, only Section, problems *problemList) []sectionNode {
	var found []sectionNode
	seen := make(map[Section]bool)
	for i := 0; i+1 < len(top.Content); i += 2 {
		key, value := top.Content[i], top.Content[i+1]
		section := Section(key.Value)
		at := position{only, key.Line, key.Column}
		switch {
		case !slices.Contains(Sections(), section):
			problems.add(at, "unknown section %q", key.Value)
		case only != "" && section != only:
			problems.add(at, "section %q stands in the body of %q", key.Value, only)
		case seen[section]:
			problems.add(at, "section %q stands twice", key.Value)
		case key.Kind != yaml.ScalarNode || key.Anchor != "" || key.Tag != "!!str":
			problems.add(at, "a section's key must be a plain word")
		default:
			seen[section] = true
			found = append(found, sectionNode{section, key, value})
		}
	}
	return found
}

// hasDocumentMarker reports whether a line starts with a YAML document marker
// or a directive.
func hasDocumentMarker(data []byte) bool {
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) || line[0] == '%' {
			return true
		}
	}
	return false
}

// hasUnsupportedLineBreak reports whether the text contains line breaks that
// YAML recognises but most editors and bytes.Lines don't, so that line numbers
// would differ.
func hasUnsupportedLineBreak(data []byte) bool {
	rest := bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	return bytes.ContainsAny(rest, "\r\u0085\u2028\u2029")
}

// splitAtSections splits the text before each section's key and the comment
// lines directly above it. Text before the first section belongs to that
// section.
func splitAtSections(data []byte, sections []sectionNode) Bodies {
	lines := slices.Collect(bytes.Lines(data))
	starts := make([]int, 0, len(sections)+1)
	for i, entry := range sections {
		start := entry.key.Line - 1
		for start > 0 && bytes.HasPrefix(lines[start-1], []byte("#")) {
			start--
		}
		if i == 0 {
			start = 0
		}
		starts = append(starts, start)
	}
	starts = append(starts, len(lines))
	var bodies Bodies
	for i, entry := range sections {
		text := bytes.Join(lines[starts[i]:starts[i+1]], nil)
		bodies = append(bodies, Body{Section: entry.section, Text: text})
	}
	return Bodies(nil).With(bodies)
}

// syntaxErrorLine returns the line number in a YAML syntax error's message, or
// 1 if it has none.
func syntaxErrorLine(err error) int {
	_, after, found := strings.Cut(err.Error(), "line ")
	if !found {
		return 1
	}
	line := 0
	for _, digit := range after {
		if digit < '0' || digit > '9' {
			break
		}
		line = line*10 + int(digit-'0')
	}
	return max(line, 1)
}
