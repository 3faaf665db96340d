package model

import (
	"container/list"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
)

// blockTokens is how many tokens one block of KV cache holds.
const blockTokens = 16

// maxCacheEvents is how many recent events the cache keeps.
const maxCacheEvents = 4096

// CacheEvent reports that a block was stored in the cache or removed from it.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Type  string `json:"type"` // stored or removed
	Block uint64 `json:"block,string"`

	at time.Time
}

// prefixCache is an LRU cache of blocks of prompt prefixes. It is safe for
// concurrent use.
type prefixCache struct {
	limit       int
	eventLag    time.Duration
	hiddenEvery int64 // events whose Seq is a multiple of this are never returned

	mu     sync.Mutex
	lru    *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
	seq    int64
	events []CacheEvent
}

func newPrefixCache(limit int, eventLag time.Duration, hiddenEvery int64) *prefixCache {
	return &prefixCache{limit: limit, eventLag: eventLag, hiddenEvery: hiddenEvery, lru: list.New(), blocks: map[uint64]*list.Element{}}
}

// Blocks returns the digest of each full block of a prompt. A digest also
// covers the model and all blocks before.
func Blocks(model, prompt string) []uint64 {
	tokens := Tokens(prompt)
	digest := xxh3.HashString(model)
	var blocks []uint64
	for start := 0; start+blockTokens <= len(tokens); start += blockTokens {
		text := strings.Join(tokens[start:start+blockTokens], " ")
		digest = xxh3.HashStringSeed(text, digest)
		blocks = append(blocks, digest)
	}
	return blocks
}

// insert puts blocks into the cache and returns how many leading ones it
// already held.
func (c *prefixCache) insert(blocks []uint64) (hits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leading := true
	for _, b := range blocks {
		element, held := c.blocks[b]
		if held {
			c.lru.MoveToFront(element)
		} else {
			c.add(b)
		}
		leading = leading && held
		if leading {
			hits++
		}
	}
	return hits
}

// add adds one block and evicts the least recently used blocks over the limit.
// The caller holds mu.
func (c *prefixCache) add(block uint64) {
	c.blocks[block] = c.lru.PushFront(block)
	c.recordEvent("stored", block)
	for c.lru.Len() > c.limit {
		oldest := c.lru.Back()
		evicted := oldest.Value.(uint64)
		c.lru.Remove(oldest)
		delete(c.blocks, evicted)
		c.recordEvent("removed", evicted)
	}
}

// recordEvent records an event. The caller holds mu.
func (c *prefixCache) recordEvent(kind string, block uint64) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: kind, Block: block, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsSince returns the events after seq that are older than eventLag,
// without the hidden ones.
func (c *prefixCache) eventsSince(seq int64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []CacheEvent{}
	horizon := time.Now().Add(-c.eventLag)
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(horizon) {
			continue
		}
		if c.hiddenEvery > 0 && e.Seq%c.hiddenEvery == 0 {
			continue
		}
		visible = append(visible, e)
	}
	return visible
}

// cachedPrefix returns the leading blocks that the cache holds, up to the first
// that is missing.
func (c *prefixCache) cachedPrefix(blocks []uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return blocks[:i]
		}
	}
	return blocks
}

// useShare returns the used share of the cache, from 0 to 1.
func (c *prefixCache) useShare() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.lru.Len()) / float64(c.limit)
}
