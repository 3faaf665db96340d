package throttle

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/link"
)

// Methods by which hosts ask the owner of a brittle upstream for its slots, and tell it what
// became of them.
const (
	takeSlotMethod   link.Method = "throttle.TakeSlot"
	updateSlotMethod link.Method = "throttle.UpdateSlot"
)

const (
	// slotWait is how long a request waits for a slot before another upstream is tried, and
	// slotRetryInterval the time between asking for it.
	slotWait          = 150 * time.Millisecond
	slotRetryInterval = 25 * time.Millisecond
	// updateSlotTimeout bounds telling the owner. A slot whose end it does not learn of is
	// free when the request's time is over.
	updateSlotTimeout = 2 * time.Second
	// defaultHold is how long a request without a deadline may hold a slot.
	defaultHold = 30 * time.Second
	// membersInterval is how often the slots of hosts that are no longer members are freed.
	membersInterval = 250 * time.Millisecond
)

// slotState is what became of a granted request.
type slotState uint8

const (
	slotEnded    slotState = iota
	slotAccepted           // the upstream has begun to answer
	slotRejected           // the upstream had no room
)

// slotRequest asks for a slot of a process.
type slotRequest struct {
	Process       processID     `cbor:"1,keyasint"`
	ID            uint64        `cbor:"2,keyasint"`
	Holder        host.ID       `cbor:"3,keyasint"`
	Slots         int           `cbor:"4,keyasint"`
	MaxRejections int           `cbor:"5,keyasint"`
	Hold          time.Duration `cbor:"6,keyasint"` // at most
}

type slotReply struct {
	Granted bool `cbor:"1,keyasint"`
}

// slotUpdate tells what became of a granted request.
type slotUpdate struct {
	Process processID `cbor:"1,keyasint"`
	ID      uint64    `cbor:"2,keyasint"`
	State   slotState `cbor:"3,keyasint"`
}

// Room is the room that a brittle process has.
type Room struct {
	Process instance.Process
	Slots   int
	// MaxRejections is how many requests a second it turns away before it falls over.
	MaxRejections int
}

// Slot is the right to send one request to a brittle process. End must be called once the
// request has ended.
type Slot struct {
	throttle *Throttle
	update   slotUpdate
	once     sync.Once
}

// TakeSlot waits for a slot of a brittle process. It returns nil if there is none soon.
func (t *Throttle) TakeSlot(ctx context.Context, room Room) *Slot {
	r := slotRequest{
		Process: newProcessID(room.Process), ID: rand.Uint64(), Holder: t.config.Self, Slots: max(room.Slots, 1),
		MaxRejections: room.MaxRejections, Hold: defaultHold,
	}
	for begun := t.config.Now(); ; {
		now := t.config.Now()
		if deadline, bounded := ctx.Deadline(); bounded {
			r.Hold = time.Until(deadline)
		}
		reply, err := askSlotOwner(ctx, t, r.Process, takeSlotMethod, r, t.grantSlot)
		switch {
		case err == nil && reply.Granted:
			t.slots.WithLabelValues("granted").Inc()
			return &Slot{throttle: t, update: slotUpdate{Process: r.Process, ID: r.ID}}
		case ctx.Err() != nil || now.Sub(begun) >= slotWait:
			t.slots.WithLabelValues("denied").Inc()
			return nil
		}
		if sleep.For(ctx, slotRetryInterval) != nil {
			return nil
		}
	}
}

// Accepted records that the process has begun to answer.
func (s *Slot) Accepted() { s.tell(slotAccepted) }

// Rejected records that the process had no room for the request.
func (s *Slot) Rejected() { s.once.Do(func() { s.tell(slotRejected) }) }

// End gives the slot back.
func (s *Slot) End() { s.once.Do(func() { s.tell(slotEnded) }) }

// tell tells the owner in the background.
func (s *Slot) tell(state slotState) {
	update := s.update
	update.State = state
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), updateSlotTimeout)
		defer cancel()
		for {
			_, err := askSlotOwner(ctx, s.throttle, update.Process, updateSlotMethod, update, s.throttle.updateSlot)
			if err == nil || sleep.For(ctx, slotRetryInterval) != nil {
				return // a slot whose owner can't be told is free when its time is over
			}
		}
	}()
}

// askSlotOwner makes a call to the host that all hosts take for the owner of a process's
// slots, which local serves if that is this host. One that does not answer is not replaced by
// this host alone: several owners would together give out more slots than there are.
func askSlotOwner[Req, Resp any](ctx context.Context, t *Throttle, p processID, method link.Method, r Req, local func(Req) Resp) (Resp, error) {
	owner, own := t.config.Owners.AgreedOwner(taskOf(p.ID), t.config.Now())
	if own {
		return local(r), nil
	}
	return askOwner[Req, Resp](ctx, t, owner, method, r)
}

// grantSlot decides on a slot of a process that this host owns.
func (t *Throttle) grantSlot(r slotRequest) slotReply {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneBooks(now)
	b := t.books[r.Process]
	if b == nil {
		b = newSlotBook(now)
		t.books[r.Process] = b
	}
	return slotReply{Granted: b.take(now, r)}
}

// updateSlot records what became of a granted request.
func (t *Throttle) updateSlot(u slotUpdate) struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.books[u.Process]; b != nil {
		b.update(t.config.Now(), u.ID, u.State)
	}
	return struct{}{}
}

// pruneBooks frees the slots of hosts that are no longer members and removes books that are
// not asked for. The caller holds mu.
func (t *Throttle) pruneBooks(now time.Time) {
	if now.Sub(t.booksPrunedAt) < membersInterval {
		return
	}
	t.booksPrunedAt = now
	for _, b := range t.books {
		b.release(func(id host.ID) bool { return id == t.config.Self || t.config.Owners.IsMember(id) })
	}
	maps.DeleteFunc(t.books, func(_ processID, b *slotBook) bool { return now.Sub(b.askedAt) > idleBucketTTL })
}
