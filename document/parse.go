package document

import (
	"bytes"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/internal/strictyaml"
)

// Parse parses a whole document strictly, sets defaults and validates it. The
// error wraps an *InvalidError with all problems.
func Parse(data []byte) (*Document, error) { return parseWhole(newParser(false), data) }

// ParseNew is Parse for a document that nobody has accepted yet. It also reports pipelines with a
// stage that is given nothing to work on, or whose result nothing uses.
func ParseNew(data []byte) (*Document, error) {
	p := newParser(false)
	p.isNew = func(Pipeline) bool { return true }
	return parseWhole(p, data)
}

func parseWhole(p *parser, data []byte) (*Document, error) {
	p.document.bodies = splitAtSections(data, p.parseDocument(data))
	return p.finish()
}

// ParseBodies parses a document from its sections. Sections whose text is the
// same as in previous are taken from it without parsing them again; previous may
// be nil. It returns the same errors as Parse, but positions are relative to the
// section's body.
func ParseBodies(bodies Bodies, previous *Document) (*Document, error) {
	return parseBodies(bodies, previous, nil)
}

// ParseChange is ParseBodies for a document that is to replace previous, nil for none. It reports
// what ParseNew does for the pipelines that previous does not have with the same stages: those
// were accepted, and their section may belong to another team.
func ParseChange(bodies Bodies, previous *Document) (*Document, error) {
	return parseBodies(bodies, previous, func(p Pipeline) bool { return !previous.hasStages(p) })
}

// hasStages reports whether a document has a pipeline with the same stages.
func (d *Document) hasStages(p Pipeline) bool {
	if d == nil {
		return false
	}
	same, known := d.Pipeline(p.Name)
	return known && slices.Equal(same.Stages, p.Stages)
}

func parseBodies(bodies Bodies, previous *Document, isNew func(Pipeline) bool) (*Document, error) {
	p := newParser(true)
	p.document.bodies, p.isNew = bodies, isNew
	for _, body := range bodies {
		if !p.reuseSection(body, previous) && !p.reuseWorkspaces(body, previous) {
			p.parseBody(body)
		}
	}
	document, err := p.finish()
	// A reused section has no nodes, so that problems in it have no position. Parse
	// every section to find the positions.
	if err != nil && previous != nil {
		return parseBodies(bodies, nil, isNew)
	}
	return document, err
}

// Bodies returns the sections' texts from which the document was parsed.
func (d *Document) Bodies() Bodies { return d.bodies }

// sectionFields maps each section to the index of its field in Document.
var sectionFields = func() map[Section]int {
	indexes := make(map[Section]int)
	for key, i := range strictyaml.Keys(reflect.TypeFor[Document]()) {
		indexes[Section(key)] = i
	}
	return indexes
}()

// parser builds a document from its sections.
type parser struct {
	document *Document
	problems problemList
	// positionsPerSection is true if positions are relative to the section's
	// body.
	positionsPerSection bool
	nodes               map[Section]*yaml.Node
	// isNew selects the pipelines whose flow is checked; nil selects none.
	isNew func(Pipeline) bool
}

func newParser(positionsPerSection bool) *parser {
	return &parser{document: &Document{}, positionsPerSection: positionsPerSection, nodes: make(map[Section]*yaml.Node)}
}

// parseDocument decodes every section of a whole document's text.
func (p *parser) parseDocument(data []byte) []sectionNode {
	sections := parseSections(data, "", &p.problems)
	for _, entry := range sections {
		p.decodeSection(entry)
	}
	return sections
}

// parseBody parses and decodes the text of one section.
func (p *parser) parseBody(body Body) {
	for _, entry := range parseSections(body.Text, body.Section, &p.problems) {
		p.decodeSection(entry)
	}
}

// decodeSection decodes a section into its field of the document.
func (p *parser) decodeSection(entry sectionNode) {
	p.nodes[entry.section] = entry.value
	section := p.positionSection(entry.section)
	d := strictyaml.Decoder{Report: func(node *yaml.Node, message string) {
		p.problems.add(position{section, node.Line, node.Column}, "%s", message)
	}}
	d.Decode(entry.value, reflect.ValueOf(p.document).Elem().Field(sectionFields[entry.section]))
}

// reuseSection copies a section from the previous document if its text is
// unchanged, and reports whether it did.
func (p *parser) reuseSection(body Body, previous *Document) bool {
	if previous == nil || !p.unchanged(body.Section, previous) {
		return false
	}
	// A pipeline's default deadline depends on its class.
	if body.Section == SectionPipelines && !p.unchanged(SectionClasses, previous) {
		return false
	}
	field := sectionFields[body.Section]
	reflect.ValueOf(p.document).Elem().Field(field).Set(reflect.ValueOf(previous).Elem().Field(field))
	if body.Section == SectionWorkspaces {
		p.document.index.workspaces = previous.index.workspaces
		p.document.index.keyHashes = previous.index.keyHashes
		p.document.workspaceLayout = previous.workspaceLayout
	}
	return true
}

// unchanged reports whether a section has the same text in the previous
// document.
func (p *parser) unchanged(section Section, previous *Document) bool {
	return bytes.Equal(previous.bodies.Get(section), p.document.bodies.Get(section))
}

// positionSection returns the section to put into a position: none if positions
// are relative to the whole document.
func (p *parser) positionSection(section Section) Section {
	if p.positionsPerSection {
		return section
	}
	return ""
}

// finish sets the derived defaults, validates the document and returns it.
func (p *parser) finish() (*Document, error) {
	c := &checker{parser: p, document: p.document}
	c.indexNames()
	p.document.fillDerivedDefaults()
	c.checkAll()
	if err := p.problems.err(); err != nil {
		return nil, err
	}
	if p.document.workspaceLayout == nil {
		p.document.workspaceLayout = findLayout(p.document.bodies.Get(SectionWorkspaces), len(p.document.Workspaces))
	}
	return p.document, nil
}
