package placement

import (
	"encoding/binary"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
)

// prefixChain returns one hash for each part of a prompt. The hash covers the
// part and all parts before it, because an engine can use a cached part only if
// it has cached those too.
func prefixChain(parts []call.PromptPart) []uint64 {
	chain := make([]uint64, 0, len(parts))
	hash := uint64(0)
	for _, p := range parts {
		hash = xxh3.Hash(binary.BigEndian.AppendUint64([]byte(p.ID+"\x00"), hash))
		chain = append(chain, hash)
	}
	return chain
}

// maxCachedParts bounds the parts that are tracked for one engine.
const maxCachedParts = 4096

// cache models the prompt parts that an engine probably has cached: the most
// recently used ones.
type cache struct {
	parts    *lru.LRU[uint64, int] // tokens by the hash from prefixChain
	tokens   int                   // of all parts
	capacity int                   // in tokens
}

func newCache(capacity int) *cache {
	c := &cache{capacity: capacity}
	// NewLRU fails only if the size is not positive, and this one is a constant.
	c.parts, _ = lru.NewLRU(maxCachedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// cachedTokens returns how many tokens of a prompt are cached, up to the first
// part that is not.
func (c *cache) cachedTokens(chain []uint64, parts []call.PromptPart) int {
	tokens := 0
	for i, hash := range chain {
		if !c.parts.Contains(hash) {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// touch adds the parts of a prompt or marks them as recently used, and evicts
// the least recently used parts when the capacity is exceeded.
func (c *cache) touch(chain []uint64, parts []call.PromptPart) {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, there := c.parts.Get(chain[i]); !there {
			c.parts.Add(chain[i], parts[i].Tokens)
			c.tokens += parts[i].Tokens
		}
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
