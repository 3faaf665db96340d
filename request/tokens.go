package request

import (
	"hash"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/document"
)

// bytesPerToken is the average text length of a token, used for estimates.
const bytesPerToken = 4

// prefixBlockBytes is how much text each prefix digest covers beyond the previous
// one.
const prefixBlockBytes = 256

// maxPrefixDigests is the maximum number of digests per request.
const maxPrefixDigests = 64

// estimateTokens estimates the number of input tokens from the text's length.
func estimateTokens(input string, history []Message) int {
	bytes := len(input)
	for _, m := range history {
		bytes += len(m.Content)
	}
	return bytes/bytesPerToken + 1
}

// prefixDigests hashes increasingly long prefixes of the prompt, one block at a
// time. The workspace is hashed first, so that workspaces don't share digests.
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

// promptTexts returns the texts of a prompt in order.
func promptTexts(history []Message, input string) []string {
	texts := make([]string, 0, len(history)+1)
	for _, m := range history {
		texts = append(texts, m.Content)
	}
	return append(texts, input)
}

// writeField adds a field to a hash, preceded by its length, so that different
// splits of the same bytes into fields hash differently.
func writeField(h hash.Hash, field string) {
	n := len(field)
	_, _ = h.Write([]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
	_, _ = h.Write([]byte(field))
}

// poolNoEcho reports whether a pool's upstreams leave the identity headers out of
// their answers.
func poolNoEcho(doc *document.Document, name string) bool {
	pool, ok := doc.Pool(name)
	return ok && pool.NoEcho
}
