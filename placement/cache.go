package placement

import (
	"encoding/binary"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/call"
)

// chainOf names each part of a prompt together with all before it: an engine
// uses a cached part only if it has those too.
func chainOf(parts []call.PromptPart) []uint64 {
	chain := make([]uint64, 0, len(parts))
	before := uint64(0)
	for _, p := range parts {
		before = xxh3.Hash(binary.BigEndian.AppendUint64([]byte(p.ID+"\x00"), before))
		chain = append(chain, before)
	}
	return chain
}

// maxCached bounds the parts that are remembered for one engine.
const maxCached = 4096

// cache is the prompt parts that an engine is likely to hold: those used last.
type cache struct {
	parts    *lru.LRU[uint64, int]
	tokens   int
	capacity int
}

func newCache(capacity int) *cache {
	c := &cache{capacity: capacity}
	// The size is a constant above 0, the only thing that can be wrong.
	c.parts, _ = lru.NewLRU(maxCached, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// kept is how many tokens of a prompt need not be read again.
func (c *cache) kept(chain []uint64, parts []call.PromptPart) int {
	tokens := 0
	for i, name := range chain {
		if !c.parts.Contains(name) {
			break
		}
		tokens += parts[i].Tokens
	}
	return tokens
}

// use notes that a prompt is read.
func (c *cache) use(chain []uint64, parts []call.PromptPart) {
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
