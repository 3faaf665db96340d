package member

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/galenaseam/galenaseam/host"
)

// Limits of the fact store, and of the periodic repetition of stored facts.
const (
	maxFacts        = 65536
	refreshBytes    = 400 // of facts in one refresh message
	refreshInterval = time.Second
)

// factKey identifies a fact: a newer fact with the same key replaces an older
// one.
type factKey struct {
	from  host.ID
	topic Topic
	key   string
}

// storedFact is a decoded fact and the encoding in which it is forwarded.
type storedFact struct {
	factRecord
	raw cbor.RawMessage
}

// factStore holds the newest version of every fact.
type factStore struct {
	byKey        map[factKey]*storedFact
	byHost       map[host.ID]map[factKey]bool
	refreshQueue []factKey // facts still to be repeated in this round
	nextRefresh  time.Time
	dropped      uint64
}

func newFactStore() factStore {
	return factStore{
		byKey:  make(map[factKey]*storedFact),
		byHost: make(map[host.ID]map[factKey]bool),
	}
}

func (f *factRecord) storeKey() factKey { return factKey{from: f.From, topic: f.Topic, key: f.Key} }

func (f *factRecord) publishedAt() time.Time { return time.UnixMilli(int64(f.Version)) }

// put stores a fact and returns true, unless the same or a newer version is
// already stored or the store is full.
func (s *factStore) put(f factRecord, raw cbor.RawMessage) bool {
	key := f.storeKey()
	if old, known := s.byKey[key]; known && old.Version >= f.Version {
		return false
	} else if !known && len(s.byKey) >= maxFacts {
		s.dropped++
		return false
	}
	s.byKey[key] = &storedFact{factRecord: f, raw: raw}
	if s.byHost[f.From] == nil {
		s.byHost[f.From] = make(map[factKey]bool)
	}
	s.byHost[f.From][key] = true
	return true
}

func (s *factStore) drop(key factKey) {
	delete(s.byKey, key)
	delete(s.byHost[key.from], key)
	if len(s.byHost[key.from]) == 0 {
		delete(s.byHost, key.from)
	}
}

func (s *factStore) dropHost(id host.ID) {
	for key := range s.byHost[id] {
		delete(s.byKey, key)
	}
	delete(s.byHost, id)
}

// publish stores a fact of the local host and queues it for gossip.
func (c *core) publish(now time.Time, topic Topic, key string, payload []byte) error {
	if len(payload) > MaxFactBytes || len(key) > maxNameBytes || len(topic) > maxNameBytes {
		return Error.New("fact %s/%s of %d bytes is too large", topic, key, len(payload))
	}
	c.now = now
	f := factRecord{From: c.self.Info.ID, Topic: topic, Key: key, Version: uint64(now.UnixMilli()), Payload: payload}
	if old, known := c.facts.byKey[f.storeKey()]; known {
		f.Version = max(f.Version, old.Version+1)
	}
	raw := encodeItem(&f)
	c.facts.put(f, raw)
	if c.isSmallFleet() {
		c.queue.addDirectFact(f, raw)
		return nil
	}
	c.queue.addFact(f, raw, true, c.factTransmitLimit(f))
	c.pushUrgent([]string{factItemKey(f)})
	return nil
}

// mergeFact processes a fact of another host: if it is newer than the stored
// version, it is stored, delivered to subscribers and forwarded. It returns true then.
func (c *core) mergeFact(f factRecord, raw cbor.RawMessage) bool {
	origin, known := c.peers[f.From]
	age := c.now.Sub(f.publishedAt())
	switch {
	case f.From == c.self.Info.ID,
		known && origin.State == host.Dead,
		age > c.timing.FactTTL,
		age < -c.timing.MaxAge:
		return false
	}
	if !c.facts.put(f, raw) {
		return false
	}
	c.factsToDeliver = append(c.factsToDeliver, Fact{From: f.From, Topic: f.Topic, Key: f.Key, Payload: f.Payload})
	c.queue.addFact(f, raw, known && c.isLocal(origin.Info.Place), c.factTransmitLimit(f))
	return true
}

// cleanFacts removes expired facts and republishes the local host's facts at
// half their lifetime. Facts with an empty payload are left to expire.
func (c *core) cleanFacts() {
	for key, f := range c.facts.byKey {
		if c.now.Sub(f.publishedAt()) > c.timing.FactTTL {
			c.facts.drop(key)
		}
	}
	var expiring []factKey
	for key := range c.facts.byHost[c.self.Info.ID] {
		f := c.facts.byKey[key]
		if len(f.Payload) > 0 && c.now.Sub(f.publishedAt()) > c.timing.FactTTL/2 {
			expiring = append(expiring, key)
		}
	}
	slices.SortFunc(expiring, compareFactKeys)
	for _, key := range expiring {
		_ = c.publish(c.now, key.topic, key.key, c.facts.byKey[key].Payload) // the size was checked at the first publication
	}
}

// refreshFacts repeats some of the stored facts to a random host when little
// else is to be sent, so that facts whose datagrams were lost still arrive.
func (c *core) refreshFacts() {
	s := &c.facts
	if c.now.Before(s.nextRefresh) || c.queue.tokens < c.timing.GossipBytesPerSecond || len(s.byKey) == 0 {
		return
	}
	s.nextRefresh = c.now.Add(refreshInterval)
	if len(s.refreshQueue) == 0 {
		for key := range s.byKey {
			s.refreshQueue = append(s.refreshQueue, key)
		}
		c.shuffleFactKeys(s.refreshQueue)
	}
	m := &message{Kind: kindGossip}
	budget := refreshBytes
	for len(s.refreshQueue) > 0 && budget > 0 {
		key := s.refreshQueue[len(s.refreshQueue)-1]
		s.refreshQueue = s.refreshQueue[:len(s.refreshQueue)-1]
		if f, known := s.byKey[key]; known {
			m.Facts = append(m.Facts, f.raw)
			budget -= len(f.raw)
		}
	}
	for _, p := range c.pickRandom(1, nil) {
		c.queue.tokens -= float64(headerBytes + refreshBytes - budget)
		c.send(p, m)
	}
}
