package throttle

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

const (
	// rejectionWindow is the time in which an upstream may turn no more requests away than
	// it says.
	rejectionWindow = time.Second
	// rejectionShare is the share of these rejections that one owner risks. Two hosts may
	// own an upstream while their views of the fleet differ.
	rejectionShare = 0.5
	// provenTTL is about how long an upstream is taken to have room for as many requests as
	// it had.
	provenTTL = 10 * time.Second
)

// slotGrant is the right of a host to use one slot of an upstream.
type slotGrant struct {
	holder    host.ID
	expiresAt time.Time
	// inUse is how many slots were in use with it.
	inUse int
}

// slotBook grants the slots of one upstream process that falls over when it must turn many
// requests away. The slots that it has granted are not all that are in use: others sent
// requests before the upstream was known to be brittle, or while another host owned it, and
// an engine may run out of memory first. So only as many requests are in question at a time
// as the upstream may turn away: those beyond the number for which it has had room lately.
//
// It does no I/O; its methods take the time as an input. It is not safe for concurrent use.
type slotBook struct {
	askedAt    time.Time
	grants     map[uint64]slotGrant // by the ID of the request for a slot
	rejections []time.Time          // within rejectionWindow
	// proven is the most slots in use for which the upstream had room since provenSince,
	// and provenBefore that of the time before. Each lasts half of provenTTL.
	proven, provenBefore int
	provenSince          time.Time
}

func newSlotBook(now time.Time) *slotBook {
	return &slotBook{grants: make(map[uint64]slotGrant), provenSince: now}
}

// take grants a slot for a time unless all slots are in use, or too many requests are in
// question.
func (b *slotBook) take(now time.Time, r slotRequest) bool {
	b.askedAt = now
	b.expire(now)
	if _, granted := b.grants[r.ID]; granted {
		return true
	}
	inQuestion := max(rejectionBudget(r.MaxRejections)-len(b.rejections), 0)
	if inUse := len(b.grants); inUse >= r.Slots || inUse >= max(b.proven, b.provenBefore)+inQuestion {
		return false
	}
	b.grants[r.ID] = slotGrant{holder: r.Holder, expiresAt: now.Add(r.Hold), inUse: len(b.grants) + 1}
	return true
}

// rejectionBudget returns how many rejections within rejectionWindow one owner risks.
func rejectionBudget(maxRejections int) int {
	return max(int(rejectionShare*float64(maxRejections)), 1)
}

// update records what became of a granted request.
func (b *slotBook) update(now time.Time, id uint64, state slotState) {
	b.expire(now)
	grant, granted := b.grants[id]
	if state != slotAccepted {
		delete(b.grants, id)
	}
	switch {
	case state == slotRejected:
		b.rejections = append(b.rejections, now)
		b.proven = min(b.proven, max(len(b.grants)-1, 0))
		b.provenBefore = min(b.provenBefore, b.proven)
	case granted && len(b.rejections) == 0:
		b.proven = max(b.proven, grant.inUse)
	}
}

// release frees the slots of hosts that are no longer members.
func (b *slotBook) release(isMember func(host.ID) bool) {
	for id, g := range b.grants {
		if !isMember(g.holder) {
			delete(b.grants, id)
		}
	}
}

// expire forgets grants that were not returned in time, rejections that no longer count, and
// room that was proven long ago.
func (b *slotBook) expire(now time.Time) {
	for id, g := range b.grants {
		if now.After(g.expiresAt) {
			delete(b.grants, id)
		}
	}
	b.rejections = slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) > rejectionWindow })
	if now.Sub(b.provenSince) >= provenTTL/2 {
		b.provenBefore, b.proven, b.provenSince = b.proven, 0, now
	}
}
