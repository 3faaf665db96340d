package document

import (
	"bytes"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// compareChunkBytes is the number of bytes that commonPrefixLen and
// commonSuffixLen compare with one call of bytes.Equal before they compare
// single bytes.
const compareChunkBytes = 4096

// workspaceLayout holds the positions of the items in the text of the
// workspaces section, so that after an edit only the changed items have to be
// parsed. It is nil if not every item starts on a line of its own with the same
// indentation.
type workspaceLayout struct {
	// itemPrefix is the prefix of each item's first line, for example "  - ".
	itemPrefix []byte
	// offsets are the byte offsets of the items' first lines in the text.
	offsets []int
}

// findLayout returns the layout of a section's text with count items. It returns
// nil if another number of lines has the item prefix, because then the prefix
// doesn't identify the items, and if there are no items.
func findLayout(text []byte, count int) *workspaceLayout {
	var found workspaceLayout
	offset := 0
	for line := range bytes.Lines(text) {
		if found.itemPrefix == nil {
			found.itemPrefix = itemPrefixOf(line)
		}
		if found.itemPrefix != nil && bytes.HasPrefix(line, found.itemPrefix) {
			found.offsets = append(found.offsets, offset)
		}
		offset += len(line)
	}
	if len(found.offsets) != count || count == 0 {
		return nil
	}
	return &found
}

// itemPrefixOf returns the indentation, dash and space at the start of a line,
// or nil if the line doesn't start an item.
func itemPrefixOf(line []byte) []byte {
	dash := len(line) - len(bytes.TrimLeft(line, " "))
	if !bytes.HasPrefix(line[dash:], []byte("- ")) {
		return nil
	}
	return line[:dash+2]
}

// splice is an edit of the workspaces section: the items from first up to, but
// not including, last are replaced by those in replacement.
type splice struct {
	first, last int
	replacement []byte
	// shift is the change in the offsets of the items from last on, in bytes.
	shift int
}

// diff returns the edit that turns the text before, which has the layout l, into
// after. The edit covers whole items. diff returns false if the texts differ
// before the first item.
func (l *workspaceLayout) diff(before, after []byte) (splice, bool) {
	prefix := commonPrefixLen(before, after)
	suffix := commonSuffixLen(before[prefix:], after[prefix:])
	first, _ := slices.BinarySearch(l.offsets, prefix)
	first--
	if first < 0 {
		return splice{}, false
	}
	last, _ := slices.BinarySearch(l.offsets, len(before)-suffix+1)
	end := len(before)
	if last < len(l.offsets) {
		end = l.offsets[last]
	}
	shift := len(after) - len(before)
	return splice{first: first, last: last, replacement: after[l.offsets[first] : end+shift], shift: shift}, true
}

// commonPrefixLen returns the length of the longest common prefix of two texts.
func commonPrefixLen(a, b []byte) int {
	shared := 0
	limit := min(len(a), len(b))
	for shared+compareChunkBytes <= limit && bytes.Equal(a[shared:shared+compareChunkBytes], b[shared:shared+compareChunkBytes]) {
		shared += compareChunkBytes
	}
	for shared < limit && a[shared] == b[shared] {
		shared++
	}
	return shared
}

// commonSuffixLen returns the length of the longest common suffix of two texts.
func commonSuffixLen(a, b []byte) int {
	shared := 0
	limit := min(len(a), len(b))
	for shared+compareChunkBytes <= limit &&
		bytes.Equal(a[len(a)-shared-compareChunkBytes:len(a)-shared], b[len(b)-shared-compareChunkBytes:len(b)-shared]) {
		shared += compareChunkBytes
	}
	for shared < limit && a[len(a)-1-shared] == b[len(b)-1-shared] {
		shared++
	}
	return shared
}

// reuseWorkspaces parses only the changed items of the workspaces section and
// copies the others from the previous document. It returns false if the whole
// section has to be parsed, for example because the changed items have
// problems.
func (p *parser) reuseWorkspaces(body Body, previous *Document) bool {
	if body.Section != SectionWorkspaces || previous == nil {
		return false
	}
	previousText := previous.bodies.Get(body.Section)
	previousLayout := previous.workspaceLayout
	if previousLayout == nil {
		return false
	}
	change, ok := previousLayout.diff(previousText, body.Text)
	if !ok {
		return false
	}
	items, ok := parseWorkspaces(change.replacement)
	replacementLayout := findLayout(change.replacement, len(items))
	if !ok || (replacementLayout == nil && len(items) > 0) ||
		(replacementLayout != nil && !bytes.Equal(replacementLayout.itemPrefix, previousLayout.itemPrefix)) {
		return false
	}
	p.document.Workspaces = slices.Concat(previous.Workspaces[:change.first], items, previous.Workspaces[change.last:])
	p.document.workspaceLayout = previousLayout.apply(change, replacementLayout)
	return true
}

// parseWorkspaces parses the items in a part of the workspaces section's text.
// It returns false if they have problems.
func parseWorkspaces(itemsText []byte) ([]Workspace, bool) {
	var problems problemList
	var items []Workspace
	text := append([]byte(string(SectionWorkspaces)+":\n"), itemsText...)
	sections := parseSections(text, SectionWorkspaces, &problems)
	if len(sections) != 1 {
		return nil, false
	}
	valid := true
	d := strictyaml.Decoder{Report: func(*yaml.Node, string) { valid = false }}
	d.Decode(sections[0].value, reflect.ValueOf(&items).Elem())
	return items, valid && problems.err() == nil
}

// apply returns the layout after an edit. replacement is the layout of
// change.replacement, nil if that has no items.
func (l *workspaceLayout) apply(change splice, replacement *workspaceLayout) *workspaceLayout {
	next := &workspaceLayout{itemPrefix: l.itemPrefix, offsets: slices.Clone(l.offsets[:change.first])}
	if replacement != nil {
		for _, start := range replacement.offsets {
			next.offsets = append(next.offsets, l.offsets[change.first]+start)
		}
	}
	for _, start := range l.offsets[change.last:] {
		next.offsets = append(next.offsets, start+change.shift)
	}
	return next
}
