package config

import (
	"bytes"
	"context"

	"github.com/galenaseam/galenaseam/document"
)

// content gathers objects by hash.
type content struct {
	byHash map[Hash][]byte
}

// contentOf starts from the objects of a snapshot, which may be nil.
func contentOf(s *Snapshot) *content {
	c := &content{byHash: make(map[Hash][]byte)}
	if s == nil {
		return c
	}
	for _, kept := range s.sections {
		c.add(kept.manifest)
		c.add(kept.chunks...)
	}
	return c
}

func (c *content) add(objects ...object) {
	for _, o := range objects {
		c.byHash[o.hash] = o.content
	}
}

// need makes sure that every object wanted is there.
func (c *content) need(ctx context.Context, from source, wanted []Hash) error {
	var missing []Hash
	asked := make(map[Hash]bool)
	for _, hash := range wanted {
		if c.byHash[hash] == nil && !asked[hash] {
			asked[hash] = true
			missing = append(missing, hash)
		}
	}
	if len(missing) == 0 {
		return nil
	}
	got, err := from.get(ctx, missing)
	c.add(got...)
	if missing = without(missing, got); len(missing) == 0 {
		return nil
	}
	if err == nil {
		err = Error.New("not found")
	}
	return Error.New("%d objects are missing, such as %s: %w", len(missing), missing[0], err)
}

// load fetches and checks the document that a head names. Sections that
// previous has too are not fetched again.
func load(ctx context.Context, h *head, previous *Snapshot, from source) (*Snapshot, error) {
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
func loadBodies(ctx context.Context, refs []SectionRef, previous *Snapshot, from source) (document.Bodies, error) {
	have := contentOf(previous)
	lists := make([]Hash, 0, len(refs))
	for _, ref := range refs {
		lists = append(lists, ref.Manifest)
	}
	if err := have.need(ctx, from, lists); err != nil {
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
	if err := have.need(ctx, from, chunks); err != nil {
		return nil, err
	}
	bodies := make(document.Bodies, 0, len(refs))
	for i, ref := range refs {
		bodies = append(bodies, document.Body{Section: ref.Section, Text: have.text(ref, manifests[i], previous)})
	}
	return bodies, nil
}

// text puts a section together, or takes it from previous when it is the same.
func (c *content) text(ref SectionRef, list manifest, previous *Snapshot) []byte {
	if previous != nil && previous.head.Record.section(ref.Section) == ref.Manifest {
		return previous.Bodies.Get(ref.Section)
	}
	var text bytes.Buffer
	for _, hash := range list.Chunks {
		text.Write(c.byHash[hash])
	}
	return text.Bytes()
}
