package config

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/document"
)

// Chunk sizes in bytes. The hash of a line decides whether a chunk ends after
// it, so that an edit changes only the chunks around it.
const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 256 << 10
	// chunkBoundaryMask lets a chunk end after about one line in 256.
	chunkBoundaryMask = 0xff
)

// manifest lists the chunks of one section in order.
type manifest struct {
	Chunks []Hash `cbor:"1,keyasint"`
}

// object is stored content with its hash.
type object struct {
	hash    Hash
	content []byte
}

// newObject returns content as an object.
func newObject(content []byte) object { return object{hashOf(content), content} }

// splitChunks splits a section's text into chunks, which are subslices of
// text.
func splitChunks(text []byte) []object {
	var chunks []object
	start, at := 0, 0
	for line := range bytes.Lines(text) {
		at += len(line)
		size := at - start
		ends := size >= minChunkBytes && xxh3.Hash(line)&chunkBoundaryMask == 0
		if ends || size >= maxChunkBytes {
			chunks = append(chunks, splitOversized(text[start:at])...)
			start = at
		}
	}
	if start < len(text) {
		chunks = append(chunks, splitOversized(text[start:])...)
	}
	return chunks
}

// splitOversized splits text that a very long line has made larger than a
// chunk may be.
func splitOversized(text []byte) []object {
	var chunks []object
	for len(text) > maxChunkBytes {
		chunks = append(chunks, newObject(text[:maxChunkBytes]))
		text = text[maxChunkBytes:]
	}
	return append(chunks, newObject(text))
}

// sectionObjects holds the objects of one section.
type sectionObjects struct {
	ref      SectionRef
	manifest object
	chunks   []object
}

// chunkSection splits one section into its objects.
func chunkSection(body document.Body) sectionObjects {
	chunks := splitChunks(body.Text)
	list := manifest{Chunks: make([]Hash, 0, len(chunks))}
	for _, chunk := range chunks {
		list.Chunks = append(list.Chunks, chunk.hash)
	}
	manifestObject := newObject(encode(list))
	return sectionObjects{SectionRef{body.Section, manifestObject.hash}, manifestObject, chunks}
}

// chunkSections splits every section into its objects.
func chunkSections(bodies document.Bodies) []sectionObjects {
	sections := make([]sectionObjects, 0, len(bodies))
	for _, body := range bodies {
		sections = append(sections, chunkSection(body))
	}
	return sections
}

// sectionRefs returns the references that a record holds to sections.
func sectionRefs(sections []sectionObjects) []SectionRef {
	refs := make([]SectionRef, 0, len(sections))
	for _, s := range sections {
		refs = append(refs, s.ref)
	}
	return refs
}

// decodeManifest decodes a manifest.
func decodeManifest(content []byte) (manifest, error) {
	var list manifest
	if err := cbor.Unmarshal(content, &list); err != nil {
		return manifest{}, Error.New("unreadable manifest: %w", err)
	}
	return list, nil
}
