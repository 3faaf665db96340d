package resume

import (
	"sync"

	"github.com/galenaseam/galenaseam/host"
)

// maxPending bounds the records that wait to be sent to one host.
const maxPending = 4096

// outgoing is a record on its way to another host.
type outgoing struct {
	Record
	resends int // how often it was queued again because a host could not be reached
}

// outbox holds the records that wait to be sent, by destination. It does no I/O and
// is safe for concurrent use.
type outbox struct {
	mu           sync.Mutex // guards the fields below
	destinations map[host.ID]*destination
	closed       bool
}

// destination is what waits for one host. It exists while a sender works on it.
type destination struct {
	pending []outgoing
	dropped int // records beyond maxPending since the last batch
}

func newOutbox() *outbox { return &outbox{destinations: make(map[host.ID]*destination)} }

// add queues a record. If no sender works on the destination, it calls start, with
// the lock held, which must start one.
func (o *outbox) add(to host.ID, r outgoing, start func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	d := o.destinations[to]
	if d == nil {
		d = &destination{}
		o.destinations[to] = d
		start()
	}
	if len(d.pending) >= maxPending {
		d.dropped++
		return
	}
	d.pending = append(d.pending, r)
}

// take returns what waits for a destination, and how many records were dropped since
// the last call. If it returns no records, the sender must end.
func (o *outbox) take(to host.ID) (batch []outgoing, dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.destinations[to]
	if len(d.pending) == 0 || o.closed {
		delete(o.destinations, to)
		return nil, d.dropped
	}
	batch, dropped = d.pending, d.dropped
	d.pending, d.dropped = nil, 0
	return batch, dropped
}

// close drops what waits and what is added later.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
}
