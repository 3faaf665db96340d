package request

import (
	"hash"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/document"
)

// bytesPerToken turns a length of text into an estimate of its tokens.
const bytesPerToken = 4

// prefixBlockBytes is how much text one prefix digest adds.
const prefixBlockBytes = 256

// maxPrefixDigests bounds the digests that one request carries.
const maxPrefixDigests = 64

// estimateTokens guesses the input's tokens from its length.
func estimateTokens(input string, history []Message) int {
	bytes := len(input)
	for _, m := range history {
		bytes += len(m.Content)
	}
	return bytes/bytesPerToken + 1
}

// prefixDigests hashes growing prefixes of the prompt, block by block. The
// workspace goes first, so that two workspaces never share a digest.
func prefixDigests(workspace string, history []Message, input string) []uint64 {
	h := xxh3.New()
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	var digests []uint64
	for _, text := range promptTexts(history, input) {
		for len(text) > 0 && len(digests) < maxPrefixDigests {
			n := min(len(text), prefixBlockBytes)
			_, _ = h.WriteString(text[:n])
			digests = append(digests, h.Sum64())
			text = text[n:]
		}
	}
	return digests
}

// promptTexts lists the texts of a prompt in order.
func promptTexts(history []Message, input string) []string {
	texts := make([]string, 0, len(history)+1)
	for _, m := range history {
		texts = append(texts, m.Content)
	}
	return append(texts, input)
}

// writeField adds a field to a hash with its length, so that two fields can't
// run into each other.
func writeField(h hash.Hash, field string) {
	n := len(field)
	_, _ = h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
	_, _ = h.Write([]byte(field))
}

// poolNoEcho says whether a pool's upstreams leave out the identity headers.
func poolNoEcho(doc *document.Document, name string) bool {
	pool, ok := doc.Pool(name)
	return ok && pool.NoEcho
}
