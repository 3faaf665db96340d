package config

import (
	"slices"

	"github.com/galenaseam/galenaseam/document"
)

// Snapshot is one generation, whole. It must not be changed.
type Snapshot struct {
	Generation Generation
	Document   *document.Document
	Bodies     document.Bodies
	// Hash names the generation's record, and so all of its content and
	// history.
	Hash Hash
	// Operation is the change that made the generation.
	Operation Operation

	head     *head
	sections []section
	// records are the records before, as far as this host has seen them.
	records []object
}

// newSnapshot cuts a document into the objects that it is kept as. Sections
// that previous has too are taken from it.
func newSnapshot(h *head, parsed *document.Document, previous *Snapshot) *Snapshot {
	return &Snapshot{
		Generation: h.generation(),
		Document:   parsed,
		Bodies:     parsed.Bodies(),
		Hash:       h.hash(),
		Operation:  h.Record.Operation,
		head:       h,
		sections:   previous.sectionsFor(parsed.Bodies()),
		records:    previous.recordsBefore(),
	}
}

// recordsBefore lists a snapshot's record and those before it.
func (s *Snapshot) recordsBefore() []object {
	if s == nil {
		return nil
	}
	records := s.records
	if len(records) >= recentLimit {
		records = records[len(records)-recentLimit+1:]
	}
	return append(slices.Clone(records), newObject(encode(s.head.Record)))
}

// sectionsFor cuts bodies into objects, reusing those of unchanged sections.
func (s *Snapshot) sectionsFor(bodies document.Bodies) []section {
	sections := make([]section, 0, len(bodies))
	for _, body := range bodies {
		kept, ok := s.sameSection(body)
		if !ok {
			kept = makeSection(body)
		}
		sections = append(sections, kept)
	}
	return sections
}

// sameSection returns the objects of a section whose text is the same.
func (s *Snapshot) sameSection(body document.Body) (section, bool) {
	if s == nil || string(s.Bodies.Get(body.Section)) != string(body.Text) {
		return section{}, false
	}
	for _, kept := range s.sections {
		if kept.ref.Section == body.Section {
			return kept, true
		}
	}
	return section{}, false
}

// headOf returns the head of a snapshot; nil for none.
func headOf(s *Snapshot) *head {
	if s == nil {
		return nil
	}
	return s.head
}

// documentOf returns the document of a snapshot; nil for none.
func documentOf(s *Snapshot) *document.Document {
	if s == nil {
		return nil
	}
	return s.Document
}
