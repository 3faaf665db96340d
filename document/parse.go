package document

import (
	"bytes"
	"reflect"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// Parse reads a whole document strictly, fills defaults and checks it. The
// error holds an *InvalidError with all faults together.
func Parse(data []byte) (*Document, error) {
	p := newParser(false)
	p.document.bodies = cut(data, p.readWhole(data))
	return p.finish()
}

// ParseBodies reads a document from its sections. Sections whose text is the
// same as when previous was made are taken from it without reading them again;
// previous may be nil. Errors are those of Parse, with places counted
// in each section's body.
func ParseBodies(bodies Bodies, previous *Document) (*Document, error) {
	p := newParser(true)
	p.document.bodies = bodies
	for _, body := range bodies {
		if !p.reuse(body, previous) && !p.reuseItems(body, previous) {
			p.readBody(body)
		}
	}
	document, err := p.finish()
	if err != nil && previous != nil {
		return ParseBodies(bodies, nil)
	}
	return document, err
}

// Bodies returns the texts that the document was made from.
func (d *Document) Bodies() Bodies { return d.bodies }

// sectionFields gives the field of Document that holds a section.
var sectionFields = func() map[Section]int {
	indexes := make(map[Section]int)
	for key, i := range strictyaml.Keys(reflect.TypeFor[Document]()) {
		indexes[Section(key)] = i
	}
	return indexes
}()

// parser puts a document together from sections.
type parser struct {
	document *Document
	faults   problems
	// byBody says that places count within each section's body.
	byBody bool
	nodes  map[Section]*yaml.Node
}

func newParser(byBody bool) *parser {
	return &parser{document: &Document{}, byBody: byBody, nodes: make(map[Section]*yaml.Node)}
}

// readWhole reads every section of one text.
func (p *parser) readWhole(data []byte) []topLevel {
	found := readRoot(data, "", &p.faults)
	for _, entry := range found {
		p.readSection(entry)
	}
	return found
}

// readBody reads the text of one section.
func (p *parser) readBody(body Body) {
	for _, entry := range readRoot(body.Text, body.Section, &p.faults) {
		p.readSection(entry)
	}
}

// readSection decodes one section.
func (p *parser) readSection(entry topLevel) {
	p.nodes[entry.section] = entry.value
	section := p.placeSection(entry.section)
	d := strictyaml.Decoder{Report: func(node *yaml.Node, message string) {
		p.faults.add(place{section, node.Line, node.Column}, "%s", message)
	}}
	d.Decode(entry.value, reflect.ValueOf(p.document).Elem().Field(sectionFields[entry.section]))
}

// reuse takes a section over from the previous document when its text is the
// same.
func (p *parser) reuse(body Body, previous *Document) bool {
	if previous == nil || !p.same(body.Section, previous) {
		return false
	}
	// A pipeline's default deadline is its class's.
	if body.Section == SectionPipelines && !p.same(SectionClasses, previous) {
		return false
	}
	field := sectionFields[body.Section]
	reflect.ValueOf(p.document).Elem().Field(field).Set(reflect.ValueOf(previous).Elem().Field(field))
	if body.Section == SectionWorkspaces {
		p.document.index.workspaces = previous.index.workspaces
		p.document.index.keyHashes = previous.index.keyHashes
		p.document.layout = previous.layout
	}
	return true
}

// same says whether a section's text is the same in the previous document.
func (p *parser) same(section Section, previous *Document) bool {
	return bytes.Equal(previous.bodies.Get(section), p.document.bodies.Get(section))
}

// placeSection is the section to name in a place.
func (p *parser) placeSection(section Section) Section {
	if p.byBody {
		return section
	}
	return ""
}

// finish derives defaults, checks the whole and returns the document.
func (p *parser) finish() (*Document, error) {
	c := &checker{parser: p, document: p.document}
	c.indexNames()
	p.document.fillDerived()
	c.checkAll()
	if err := p.faults.err(); err != nil {
		return nil, err
	}
	if p.document.layout == nil {
		p.document.layout = layoutOf(p.document.bodies.Get(SectionWorkspaces), len(p.document.Workspaces))
	}
	return p.document, nil
}
