package config

import (
	"slices"

	"github.com/galenaseam/galenaseam/document"
)

// Snapshot is one complete generation. It must not be modified.
type Snapshot struct {
	Generation Generation
	Document   *document.Document
	Bodies     document.Bodies
	// Hash is the hash of the generation's record. It covers all content and
	// history.
	Hash Hash
	// Operation is the change that made the generation.
	Operation Operation

	head     *head
	sections []sectionObjects
	// records holds the preceding records that this host has seen, at most
	// recentLimit.
	records []object
}

// newSnapshot returns the snapshot of a parsed document. Objects of sections
// that are unchanged since previous are reused.
func newSnapshot(h *head, parsed *document.Document, previous *Snapshot) *Snapshot {
	return &Snapshot{
		Generation: h.generation(),
		Document:   parsed,
		Bodies:     parsed.Bodies(),
		Hash:       h.hash(),
		Operation:  h.Record.Operation,
		head:       h,
		sections:   previous.chunkBodies(parsed.Bodies()),
		records:    previous.recordHistory(),
	}
}

// recordHistory returns the snapshot's record preceded by those before it.
func (s *Snapshot) recordHistory() []object {
	if s == nil {
		return nil
	}
	records := s.records
	if len(records) >= recentLimit {
		records = records[len(records)-recentLimit+1:]
	}
	return append(slices.Clone(records), newObject(encode(s.head.Record)))
}

// chunkBodies splits sections into objects and reuses the snapshot's objects
// for unchanged sections.
func (s *Snapshot) chunkBodies(bodies document.Bodies) []sectionObjects {
	sections := make([]sectionObjects, 0, len(bodies))
	for _, body := range bodies {
		section, unchanged := s.unchangedSection(body)
		if !unchanged {
			section = chunkSection(body)
		}
		sections = append(sections, section)
	}
	return sections
}

// unchangedSection returns the snapshot's objects of a section if its text is
// the same.
func (s *Snapshot) unchangedSection(body document.Body) (sectionObjects, bool) {
	if s == nil || string(s.Bodies.Get(body.Section)) != string(body.Text) {
		return sectionObjects{}, false
	}
	for _, section := range s.sections {
		if section.ref.Section == body.Section {
			return section, true
		}
	}
	return sectionObjects{}, false
}

// headOf returns the head of a snapshot, or nil without one.
func headOf(s *Snapshot) *head {
	if s == nil {
		return nil
	}
	return s.head
}

// documentOf returns the document of a snapshot, or nil without one.
func documentOf(s *Snapshot) *document.Document {
	if s == nil {
		return nil
	}
	return s.Document
}
