package resume

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxRecords bounds the records of one host. Above it the record that was
	// stored or refreshed longest ago is dropped.
	maxRecords = 16384
	// maxTTL bounds the life of a record, whatever its caller's timeout.
	maxTTL = 2 * time.Minute
)

// entry is a record and when it expires.
type entry struct {
	Record
	expires time.Time
}

// table holds the records of one host. It does no I/O and is safe for concurrent
// use.
type table struct {
	mu      sync.Mutex // guards records
	records *lru.LRU[string, entry]
}

func newTable() *table {
	// NewLRU fails only if the size is not positive, and this one is a constant.
	records, _ := lru.NewLRU[string, entry](maxRecords, nil)
	return &table{records: records}
}

// put stores a record. A record that is already known keeps its service and
// version, and the later of the two expiries.
func (t *table) put(r Record, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExpired(now)
	e := entry{Record: r, expires: now.Add(min(r.TTL, maxTTL))}
	if old, known := t.records.Peek(r.Attempt); known && now.Before(old.expires) {
		e.Record = old.Record
		if old.expires.After(e.expires) {
			e.expires = old.expires
		}
	}
	t.records.Add(r.Attempt, e)
}

// get returns the record of an attempt. Its TTL is what is left at now.
func (t *table) get(attempt string, now time.Time) (Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.records.Peek(attempt)
	if !known || !now.Before(e.expires) {
		return Record{}, false
	}
	r := e.Record
	r.TTL = e.expires.Sub(now)
	return r, true
}

// ofService returns the records of a service. Their TTLs are what is left at now.
func (t *table) ofService(service string, now time.Time) (all []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records.Values() {
		if e.Service == service && now.Before(e.expires) {
			e.TTL = e.expires.Sub(now)
			all = append(all, e.Record)
		}
	}
	return all
}

// dropExpired drops expired records, oldest first, up to the first that has not
// expired. The caller holds mu.
func (t *table) dropExpired(now time.Time) {
	for {
		_, oldest, there := t.records.GetOldest()
		if !there || now.Before(oldest.expires) {
			return
		}
		t.records.RemoveOldest()
	}
}
