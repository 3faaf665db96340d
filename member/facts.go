package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Sizes of the store of facts.
const (
	maxFacts        = 65536
	refreshBytes    = 400 // of old facts, told again in a quiet round
	refreshInterval = time.Second
)

// factKey names a fact: a newer one with the same name replaces an older one.
type factKey struct {
	from  host.ID
	topic Topic
	key   string
}

// storedFact is a fact as it came, and as it travels on.
type storedFact struct {
	factRecord
	raw cbor.RawMessage
}

// factStore holds the newest version of every fact.
type factStore struct {
	byKey       map[factKey]*storedFact
	byHost      map[host.ID]map[factKey]bool
	ring        []factKey // those still to be told again in this round
	nextRefresh time.Time
	dropped     uint64
}

func newFactStore() factStore {
	return factStore{
		byKey:  make(map[factKey]*storedFact),
		byHost: make(map[host.ID]map[factKey]bool),
	}
}

func (f *factRecord) name() factKey { return factKey{from: f.From, topic: f.Topic, key: f.Key} }

func (f *factRecord) publishedAt() time.Time { return time.UnixMilli(int64(f.Version)) }

// put stores a fact unless the same or a newer version is there.
func (s *factStore) put(f factRecord, raw cbor.RawMessage) bool {
	name := f.name()
	if old, known := s.byKey[name]; known && old.Version >= f.Version {
		return false
	} else if !known && len(s.byKey) >= maxFacts {
		s.dropped++
		return false
	}
	s.byKey[name] = &storedFact{factRecord: f, raw: raw}
	if s.byHost[f.From] == nil {
		s.byHost[f.From] = make(map[factKey]bool)
	}
	s.byHost[f.From][name] = true
	return true
}

func (s *factStore) drop(name factKey) {
	delete(s.byKey, name)
	delete(s.byHost[name.from], name)
	if len(s.byHost[name.from]) == 0 {
		delete(s.byHost, name.from)
	}
}

func (s *factStore) dropHost(id host.ID) {
	for name := range s.byHost[id] {
		delete(s.byKey, name)
	}
	delete(s.byHost, id)
}

// publish spreads a fact of this host.
func (c *core) publish(now time.Time, topic Topic, key string, payload []byte) error {
	if len(payload) > MaxFactBytes || len(key) > maxNameBytes || len(topic) > maxNameBytes {
		return Error.New("fact %s/%s of %d bytes is too large", topic, key, len(payload))
	}
	c.now = now
	f := factRecord{From: c.self.Info.ID, Topic: topic, Key: key, Version: uint64(now.UnixMilli()), Payload: payload}
	if old, known := c.facts.byKey[f.name()]; known {
		f.Version = max(f.Version, old.Version+1)
	}
	raw := encodeItem(&f)
	c.facts.put(f, raw)
	if c.small() {
		c.news.addOwnFact(f, raw)
		return nil
	}
	c.news.addFact(f, raw, true, c.factTransmits(f))
	return nil
}

// mergeFact takes in a fact of another host.
func (c *core) mergeFact(f factRecord, raw cbor.RawMessage) {
	origin, known := c.peers[f.From]
	age := c.now.Sub(f.publishedAt())
	switch {
	case f.From == c.self.Info.ID,
		known && origin.State == host.Dead,
		age > c.timing.FactTTL,
		age < -c.timing.MaxAge:
		return
	}
	if !c.facts.put(f, raw) {
		return
	}
	c.delivered = append(c.delivered, Fact{From: f.From, Topic: f.Topic, Key: f.Key, Payload: f.Payload})
	c.news.addFact(f, raw, known && c.isLocal(origin.Info.Place), c.factTransmits(f))
}

// cleanFacts drops facts past their time and publishes own ones again before
// they are.
func (c *core) cleanFacts() {
	for name, f := range c.facts.byKey {
		if c.now.Sub(f.publishedAt()) > c.timing.FactTTL {
			c.facts.drop(name)
		}
	}
	var old []factKey
	for name := range c.facts.byHost[c.self.Info.ID] {
		f := c.facts.byKey[name]
		if len(f.Payload) > 0 && c.now.Sub(f.publishedAt()) > c.timing.FactTTL/2 {
			old = append(old, name)
		}
	}
	slices.SortFunc(old, compareFactKeys)
	for _, name := range old {
		_ = c.publish(c.now, name.topic, name.key, c.facts.byKey[name].Payload) // its size was checked when it was first published
	}
}

// refresh tells a random host some of the facts again, so that what got lost
// on the way comes in the end.
func (c *core) refresh() {
	s := &c.facts
	if c.now.Before(s.nextRefresh) || c.news.tokens < c.timing.BytesPerSecond || len(s.byKey) == 0 {
		return
	}
	s.nextRefresh = c.now.Add(refreshInterval)
	if len(s.ring) == 0 {
		for name := range s.byKey {
			s.ring = append(s.ring, name)
		}
		c.shuffle(s.ring)
	}
	m := &message{Kind: kindGossip}
	left := refreshBytes
	for len(s.ring) > 0 && left > 0 {
		name := s.ring[len(s.ring)-1]
		s.ring = s.ring[:len(s.ring)-1]
		if f, known := s.byKey[name]; known {
			m.Facts = append(m.Facts, f.raw)
			left -= len(f.raw)
		}
	}
	for _, p := range c.pick(1, nil) {
		c.news.tokens -= float64(headerBytes + refreshBytes - left)
		c.send(p, m)
	}
}
