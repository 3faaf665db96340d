package document

import (
	"bytes"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// compareStride is how many bytes are compared at once.
const compareStride = 4096

// layout is where the items of the workspaces section stand in its text, so
// that an edit among many can be read alone. It is nil when the items don't
// stand on lines of their own.
type layout struct {
	// marker is what each item's first line starts with, for example "  - ".
	marker []byte
	// starts are the offsets of the items' first lines.
	starts []int
}

// layoutOf finds the items in a section's text. The count must be known, so
// that a text which is laid out in another way isn't misread.
func layoutOf(text []byte, count int) *layout {
	var found layout
	offset := 0
	for line := range bytes.Lines(text) {
		if found.marker == nil {
			found.marker = markerOf(line)
		}
		if found.marker != nil && bytes.HasPrefix(line, found.marker) {
			found.starts = append(found.starts, offset)
		}
		offset += len(line)
	}
	if len(found.starts) != count || count == 0 {
		return nil
	}
	return &found
}

// markerOf returns the start of a line up to its dash and space; nil for a
// line that starts no item.
func markerOf(line []byte) []byte {
	dash := len(line) - len(bytes.TrimLeft(line, " "))
	if !bytes.HasPrefix(line[dash:], []byte("- ")) {
		return nil
	}
	return line[:dash+2]
}

// splice is an edit of a long section: the items from first to last of the
// former text give way to those in region.
type splice struct {
	first, last int
	region      []byte
	// moved is by how many bytes the items behind move.
	moved int
}

// spliceOf finds what changed between two texts in whole items. It returns
// false when the change reaches before the first item.
func (l *layout) spliceOf(before, after []byte) (splice, bool) {
	prefix := commonStart(before, after)
	suffix := commonEnd(before[prefix:], after[prefix:])
	first, _ := slices.BinarySearch(l.starts, prefix)
	first--
	if first < 0 {
		return splice{}, false
	}
	last, _ := slices.BinarySearch(l.starts, len(before)-suffix+1)
	end := len(before)
	if last < len(l.starts) {
		end = l.starts[last]
	}
	moved := len(after) - len(before)
	return splice{first: first, last: last, region: after[l.starts[first] : end+moved], moved: moved}, true
}

// commonStart is how many bytes two texts share from their start.
func commonStart(a, b []byte) int {
	shared := 0
	limit := min(len(a), len(b))
	for shared+compareStride <= limit && bytes.Equal(a[shared:shared+compareStride], b[shared:shared+compareStride]) {
		shared += compareStride
	}
	for shared < limit && a[shared] == b[shared] {
		shared++
	}
	return shared
}

// commonEnd is how many bytes two texts share to their end.
func commonEnd(a, b []byte) int {
	shared := 0
	limit := min(len(a), len(b))
	for shared+compareStride <= limit &&
		bytes.Equal(a[len(a)-shared-compareStride:len(a)-shared], b[len(b)-shared-compareStride:len(b)-shared]) {
		shared += compareStride
	}
	for shared < limit && a[len(a)-1-shared] == b[len(b)-1-shared] {
		shared++
	}
	return shared
}

// reuseItems reads only the changed items of the workspaces section and takes
// the others from the previous document. It returns false when the section
// must be read whole, as when the changed items have faults.
func (p *parser) reuseItems(body Body, previous *Document) bool {
	if body.Section != SectionWorkspaces || previous == nil {
		return false
	}
	former := previous.bodies.Get(body.Section)
	known := previous.layout
	if known == nil {
		return false
	}
	change, ok := known.spliceOf(former, body.Text)
	if !ok {
		return false
	}
	items, ok := readItems(change.region)
	changed := layoutOf(change.region, len(items))
	if !ok || (changed == nil && len(items) > 0) || (changed != nil && !bytes.Equal(changed.marker, known.marker)) {
		return false
	}
	p.document.Workspaces = slices.Concat(previous.Workspaces[:change.first], items, previous.Workspaces[change.last:])
	p.document.layout = known.with(change, changed)
	return true
}

// readItems reads items that were cut out of the workspaces section.
func readItems(region []byte) ([]Workspace, bool) {
	var faults problems
	var items []Workspace
	text := append([]byte(string(SectionWorkspaces)+":\n"), region...)
	found := readRoot(text, SectionWorkspaces, &faults)
	if len(found) != 1 {
		return nil, false
	}
	sound := true
	d := strictyaml.Decoder{Report: func(*yaml.Node, string) { sound = false }}
	d.Decode(found[0].value, reflect.ValueOf(&items).Elem())
	return items, sound && faults.err() == nil
}

// with returns the layout after an edit.
func (l *layout) with(change splice, changed *layout) *layout {
	next := &layout{marker: l.marker, starts: slices.Clone(l.starts[:change.first])}
	if changed != nil {
		for _, start := range changed.starts {
			next.starts = append(next.starts, l.starts[change.first]+start)
		}
	}
	for _, start := range l.starts[change.last:] {
		next.starts = append(next.starts, start+change.moved)
	}
	return next
}
