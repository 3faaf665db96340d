package instance

import "time"

// limit is the limit that a process has named for the requests of all hosts.
type limit struct {
	named bool
	// perSecond is how many requests a second the process takes.
	perSecond float64
	// namedAt is when an answer last named the limit.
	namedAt time.Time
	// unnamed is how many answers since then named none.
	unnamed int
	// withdrawnAt is when the limit was last withdrawn.
	withdrawnAt time.Time
}

const (
	// unnamedToWithdraw is how many answers in a row without a limit withdraw it, and
	// withdrawTime the least time since the last answer with one: answers on several
	// connections may overtake each other.
	unnamedToWithdraw = 2
	withdrawTime      = time.Second
)

// update records what an answer to a call says of the limit. It returns true if that changes
// it. One answer withdraws the limit if its call was sent withdrawTime after the last answer
// that named it, so that neither the network nor the clocks of two hosts can have swapped them.
func (l *limit) update(perSecond float64, named bool, sentAt, now time.Time) (changed bool) {
	switch {
	case named:
		changed = !l.named || l.perSecond != perSecond
		*l = limit{named: true, perSecond: perSecond, namedAt: now, withdrawnAt: l.withdrawnAt}
	case l.named:
		l.unnamed++
		isLater := !sentAt.IsZero() && sentAt.Sub(l.namedAt) >= withdrawTime
		if changed = isLater || l.unnamed >= unnamedToWithdraw && now.Sub(l.namedAt) >= withdrawTime; changed {
			*l = limit{withdrawnAt: now}
		}
	}
	return changed
}

// merge records what another host has seen of the limit at a time, unless something newer is
// known. Of two limits that were seen at the same time the lower one holds. It returns true
// if that changes the limit.
func (l *limit) merge(perSecond float64, named bool, at time.Time) (changed bool) {
	known := later(l.namedAt, l.withdrawnAt)
	lower := named && at.Equal(known) && (!l.named || perSecond < l.perSecond)
	switch {
	case !at.After(known) && !lower:
	case named:
		changed = !l.named || l.perSecond != perSecond
		*l = limit{named: true, perSecond: perSecond, namedAt: at, withdrawnAt: l.withdrawnAt}
	default:
		changed = l.named
		*l = limit{withdrawnAt: at}
	}
	return changed
}

// SetLimit records whether a process names a limit in an answer, and which. sentAt is when the
// call that it answers was sent, zero if that is not known. It returns true if that changes
// what is known of the limit.
func (t *Table) SetLimit(p Process, perSecond float64, named bool, sentAt, now time.Time) (changed bool) {
	t.mu.Lock()
	i, n := t.noticeOf(p, now)
	if named {
		n.saidAt = now
	}
	if i == nil && !named && !n.limit.named {
		t.mu.Unlock()
		return false
	}
	changed = n.limit.update(perSecond, named, sentAt, now)
	t.limitChanged(p, i, n, changed, SourceAnswer)
	return changed
}

// MergeLimit records whether a process has named a limit in an answer to another host at a
// time, and which.
func (t *Table) MergeLimit(p Process, perSecond float64, named bool, at time.Time) {
	t.mu.Lock()
	i, n := t.noticeOfExactly(p)
	changed := n.limit.merge(perSecond, named, at)
	t.limitChanged(p, i, n, changed, SourceHost)
}

// limitChanged stores the notice of a process after an update of its limit. The caller holds
// mu, which limitChanged unlocks.
func (t *Table) limitChanged(p Process, i *Instance, n *notice, changed bool, source Source) {
	if changed && !n.limit.named {
		n.throttledUntil = time.Time{} // it was the time of the next request within the limit
	}
	if i == nil {
		t.keep(p, *n)
		t.mu.Unlock()
		return
	}
	change := Change{Entry: i.Entry, Kind: "unlimited", Source: source}
	if n.limit.named {
		change.Kind, change.Limit = "limited", n.limit.perSecond
	}
	t.mu.Unlock()
	if changed {
		t.changed(change)
	}
}

// noticeOf returns the notice of a process whose answer arrived at a time, and the listed
// upstream that it is part of, nil if there is none. The caller holds mu.
func (t *Table) noticeOf(p Process, at time.Time) (*Instance, *notice) {
	if i := t.sender(p, at); i != nil {
		return i, &i.notice
	}
	return t.noticeOfExactly(p)
}

// noticeOfExactly is noticeOf for what another host says of a process. That host has told it
// from its successor as far as it could. The caller holds mu.
func (t *Table) noticeOfExactly(p Process) (*Instance, *notice) {
	if i := t.listed(p); i != nil {
		return i, &i.notice
	}
	n := t.kept[p.key()].notice
	return nil, &n
}

// Limit returns the limit that a process has named, in requests a second of all hosts,
// and when it last did; false if there is none.
func (t *Table) Limit(p Process) (perSecond float64, namedAt time.Time, named bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limitOf(p)
}

// limitOf is Limit. The caller holds mu.
func (t *Table) limitOf(p Process) (perSecond float64, namedAt time.Time, named bool) {
	l := t.kept[p.key()].limit
	if i := t.listed(p); i != nil {
		l = i.limit
	}
	return l.perSecond, l.namedAt, l.named
}
