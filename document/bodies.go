package document

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Body is the text of one section: its key and all below it, with the
// comments that stand directly above the key.
type Body struct {
	Section Section
	Text    []byte
}

// Bodies is a document cut into sections, in document order, each at most
// once. The texts must not be changed.
type Bodies []Body

// Get returns the text of one section, or nil when it is absent.
func (b Bodies) Get(section Section) []byte {
	for _, body := range b {
		if body.Section == section {
			return body.Text
		}
	}
	return nil
}

// With returns bodies in which those of changes stand in place of the former
// ones. An empty text takes its section out. b stays as it is.
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

// Join puts the sections together into one YAML text in document order.
func Join(bodies Bodies) []byte {
	var whole bytes.Buffer
	for _, section := range Sections() {
		text := bodies.Get(section)
		whole.Write(text)
		if len(text) > 0 && text[len(text)-1] != '\n' {
			whole.WriteByte('\n')
		}
	}
	return whole.Bytes()
}

// Split cuts a whole YAML text into its sections. The error holds an
// *InvalidError when the text isn't a document of known sections.
func Split(data []byte) (Bodies, error) {
	var faults problems
	root := readRoot(data, "", &faults)
	bodies := cut(data, root)
	return bodies, faults.err()
}

// topLevel is the key and value nodes of one section.
type topLevel struct {
	section Section
	key     *yaml.Node
	value   *yaml.Node
}

// readRoot reads a text and returns its sections in the order of the text.
// When only is set, no other section may stand in the text.
func readRoot(data []byte, only Section, faults *problems) []topLevel {
	if hasOddBreak(data) {
		faults.add(place{only, 1, 1}, "lines must end in a line feed, alone or after a carriage return")
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		if !errors.Is(err, io.EOF) {
			faults.add(place{only, lineOf(err), 1}, "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		}
		return nil
	}
	top := root.Content[0]
	at := place{only, top.Line, top.Column}
	if top.Kind != yaml.MappingNode || top.Style&yaml.FlowStyle != 0 || top.Column != 1 || hasMarker(data) {
		faults.add(at, "expected one YAML document whose sections start at the beginning of a line")
		return nil
	}
	return knownSections(top, only, faults)
}

// knownSections returns the entries of the top-level mapping.
func knownSections(top *yaml.Node, only Section, faults *problems) []topLevel {
	var found []topLevel
	seen := make(map[Section]bool)
	for i := 0; i+1 < len(top.Content); i += 2 {
		key, value := top.Content[i], top.Content[i+1]
		section := Section(key.Value)
		at := place{only, key.Line, key.Column}
		switch {
		case !slices.Contains(Sections(), section):
			faults.add(at, "unknown section %q", key.Value)
		case only != "" && section != only:
			faults.add(at, "section %q stands in the body of %q", key.Value, only)
		case seen[section]:
			faults.add(at, "section %q stands twice", key.Value)
		case key.Kind != yaml.ScalarNode || key.Anchor != "" || key.Tag != "!!str":
			faults.add(at, "a section's key must be a plain word")
		default:
			seen[section] = true
			found = append(found, topLevel{section, key, value})
		}
	}
	return found
}

// hasMarker says whether a line starts with a document marker.
func hasMarker(data []byte) bool {
	for line := range bytes.Lines(data) {
		if bytes.HasPrefix(line, []byte("---")) || bytes.HasPrefix(line, []byte("...")) || line[0] == '%' {
			return true
		}
	}
	return false
}

// hasOddBreak says whether the text has line breaks that YAML counts but
// editors and this package don't.
func hasOddBreak(data []byte) bool {
	rest := bytes.ReplaceAll(data, []byte("\r\n"), []byte("\n"))
	return bytes.ContainsAny(rest, "\r\u0085\u2028\u2029")
}

// cut divides the text at the sections' keys.
func cut(data []byte, found []topLevel) Bodies {
	lines := slices.Collect(bytes.Lines(data))
	starts := make([]int, 0, len(found)+1)
	for i, entry := range found {
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
	var cutUp Bodies
	for i, entry := range found {
		text := bytes.Join(lines[starts[i]:starts[i+1]], nil)
		cutUp = append(cutUp, Body{Section: entry.section, Text: text})
	}
	return Bodies(nil).With(cutUp)
}

// lineOf reads the line number out of a YAML syntax error, or 1.
func lineOf(err error) int {
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
