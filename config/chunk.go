package config

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/document"
)

// The sizes of chunks in bytes. Chunks end where a line's own hash says so,
// so that an edit changes only the chunks it touches.
const (
	minChunkBytes = 4 << 10
	maxChunkBytes = 256 << 10
	// chunkLineMask ends a chunk at about one line in 256.
	chunkLineMask = 0xff
)

// manifest lists the chunks of one section in order.
type manifest struct {
	Chunks []Hash `cbor:"1,keyasint"`
}

// object is a piece of content with its hash.
type object struct {
	hash    Hash
	content []byte
}

// newObject hashes content.
func newObject(content []byte) object { return object{hashOf(content), content} }

// cutChunks cuts a section's text. The chunks are parts of text.
func cutChunks(text []byte) []object {
	var chunks []object
	start, at := 0, 0
	for line := range bytes.Lines(text) {
		at += len(line)
		size := at - start
		ends := size >= minChunkBytes && xxh3.Hash(line)&chunkLineMask == 0
		if ends || size >= maxChunkBytes {
			chunks = append(chunks, cutLong(text[start:at])...)
			start = at
		}
	}
	if start < len(text) {
		chunks = append(chunks, cutLong(text[start:])...)
	}
	return chunks
}

// cutLong cuts what a very long line made too large.
func cutLong(text []byte) []object {
	var chunks []object
	for len(text) > maxChunkBytes {
		chunks = append(chunks, newObject(text[:maxChunkBytes]))
		text = text[maxChunkBytes:]
	}
	return append(chunks, newObject(text))
}

// section is one section's content as objects.
type section struct {
	ref      SectionRef
	manifest object
	chunks   []object
}

// makeSection cuts one body into its objects.
func makeSection(body document.Body) section {
	chunks := cutChunks(body.Text)
	list := manifest{Chunks: make([]Hash, 0, len(chunks))}
	for _, chunk := range chunks {
		list.Chunks = append(list.Chunks, chunk.hash)
	}
	listed := newObject(encode(list))
	return section{SectionRef{body.Section, listed.hash}, listed, chunks}
}

// makeSections cuts every body into its objects.
func makeSections(bodies document.Bodies) []section {
	sections := make([]section, 0, len(bodies))
	for _, body := range bodies {
		sections = append(sections, makeSection(body))
	}
	return sections
}

// refsOf lists what sections a generation is made of.
func refsOf(sections []section) []SectionRef {
	refs := make([]SectionRef, 0, len(sections))
	for _, s := range sections {
		refs = append(refs, s.ref)
	}
	return refs
}

// decodeManifest reads a list of chunks.
func decodeManifest(content []byte) (manifest, error) {
	var list manifest
	if err := cbor.Unmarshal(content, &list); err != nil {
		return manifest{}, Error.New("unreadable manifest: %w", err)
	}
	return list, nil
}
