package config

import (
	"bytes"
	"context"

	"github.com/galenaseam/galenaseam/document"
)

// objectSet holds the content of objects by hash.
type objectSet struct {
	byHash map[Hash][]byte
}

// objectSetOf returns the objects of a snapshot's sections. The snapshot may
// be nil.
func objectSetOf(s *Snapshot) *objectSet {
	set := &objectSet{byHash: make(map[Hash][]byte)}
	if s == nil {
		return set
	}
	for _, section := range s.sections {
		set.add(section.manifest)
		set.add(section.chunks...)
	}
	return set
}

func (s *objectSet) add(objects ...object) {
	for _, o := range objects {
		s.byHash[o.hash] = o.content
	}
}

// fetchMissing fetches the wanted objects that are not in the set.
func (s *objectSet) fetchMissing(ctx context.Context, from objectSource, wanted []Hash) error {
	var missing []Hash
	asked := make(map[Hash]bool)
	for _, hash := range wanted {
		if s.byHash[hash] == nil && !asked[hash] {
			asked[hash] = true
			missing = append(missing, hash)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	got, err := from.get(ctx, missing)
	s.add(got...)
	if missing = missingHashes(missing, got); len(missing) == 0 {
		return nil
	}
	if err == nil {
		err = Error.New("not found")
	}
	return Error.New("%d objects are missing, such as %s: %w", len(missing), missing[0], err)
}

// load fetches and parses the document of a head. Sections that are unchanged
// since previous are not fetched.
func load(ctx context.Context, h *head, previous *Snapshot, from objectSource) (*Snapshot, error) {
	bodies, err := loadBodies(ctx, h.Record.Sections, previous, from)
	if err != nil {
		return nil, err
	}
	parsed, err := document.ParseBodies(bodies, documentOf(previous))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return newSnapshot(h, parsed, previous), nil
}

// loadBodies fetches the texts of sections.
func loadBodies(ctx context.Context, refs []SectionRef, previous *Snapshot, from objectSource) (document.Bodies, error) {
	have := objectSetOf(previous)
	manifestHashes := make([]Hash, 0, len(refs))
	for _, ref := range refs {
		manifestHashes = append(manifestHashes, ref.Manifest)
	}
	if err := have.fetchMissing(ctx, from, manifestHashes); err != nil {
		return nil, err
	}
	var chunks []Hash
	manifests := make([]manifest, len(refs))
	for i, ref := range refs {
		var err error
		if manifests[i], err = decodeManifest(have.byHash[ref.Manifest]); err != nil {
			return nil, err
		}
		chunks = append(chunks, manifests[i].Chunks...)
	}
	if err := have.fetchMissing(ctx, from, chunks); err != nil {
		return nil, err
	}
	bodies := make(document.Bodies, 0, len(refs))
	for i, ref := range refs {
		bodies = append(bodies, document.Body{Section: ref.Section, Text: have.sectionText(ref, manifests[i], previous)})
	}
	return bodies, nil
}

// sectionText joins the chunks of a section, or returns previous's text if the
// section is unchanged.
func (s *objectSet) sectionText(ref SectionRef, list manifest, previous *Snapshot) []byte {
	if previous != nil && previous.head.Record.manifestOf(ref.Section) == ref.Manifest {
		return previous.Bodies.Get(ref.Section)
	}
	var text bytes.Buffer
	for _, hash := range list.Chunks {
		text.Write(s.byHash[hash])
	}
	return text.Bytes()
}
