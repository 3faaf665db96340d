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

// maxCacheEvents bounds the events that can still be asked for.
const maxCacheEvents = 4096

// CacheEvent says that a block came into the cache or left it.
type CacheEvent struct {
	Seq   int64  `json:"seq"`
	Type  string `json:"type"` // stored or removed
	Block uint64 `json:"block,string"`

	at time.Time
}

// prefixCache keeps blocks of prompt prefixes, least recently used out first.
// It is safe for concurrent use.
type prefixCache struct {
	limit    int
	lag      time.Duration
	gapEvery int64 // each event with a multiple of this number is never seen

	mu     sync.Mutex
	order  *list.List // of uint64, most recent first
	blocks map[uint64]*list.Element
	seq    int64
	events []CacheEvent
}

func newPrefixCache(limit int, lag time.Duration, gapEvery int64) *prefixCache {
	return &prefixCache{limit: limit, lag: lag, gapEvery: gapEvery, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// Blocks returns the digest of each whole block of a prompt. A digest covers
// all that comes before it.
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

// use brings blocks into the cache and returns how many leading ones it held.
func (c *prefixCache) use(blocks []uint64) (hits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	leading := true
	for _, b := range blocks {
		element, held := c.blocks[b]
		if held {
			c.order.MoveToFront(element)
		} else {
			c.store(b)
		}
		leading = leading && held
		if leading {
			hits++
		}
	}
	return hits
}

// store adds one block and puts others out. The caller holds mu.
func (c *prefixCache) store(block uint64) {
	c.blocks[block] = c.order.PushFront(block)
	c.note("stored", block)
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		gone := oldest.Value.(uint64)
		c.order.Remove(oldest)
		delete(c.blocks, gone)
		c.note("removed", gone)
	}
}

// note records an event. The caller holds mu.
func (c *prefixCache) note(kind string, block uint64) {
	c.seq++
	c.events = append(c.events, CacheEvent{Seq: c.seq, Type: kind, Block: block, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events after seq that are old enough to be seen.
func (c *prefixCache) since(seq int64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []CacheEvent{}
	horizon := time.Now().Add(-c.lag)
	for _, e := range c.events {
		if e.Seq <= seq || e.at.After(horizon) {
			continue
		}
		if c.gapEvery > 0 && e.Seq%c.gapEvery == 0 {
			continue
		}
		visible = append(visible, e)
	}
	return visible
}

// held returns which of the blocks the cache holds, up to the first it lacks.
func (c *prefixCache) held(blocks []uint64) []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, b := range blocks {
		if _, ok := c.blocks[b]; !ok {
			return blocks[:i]
		}
	}
	return blocks
}

// share returns how full the cache is, from 0 to 1.
func (c *prefixCache) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.order.Len()) / float64(c.limit)
}
