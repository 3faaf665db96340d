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
}

const (
	// unnamedToWithdraw is how many answers in a row without a limit withdraw it, and
	// withdrawTime the least time since the last answer with one: answers on several
	// connections may overtake each other.
	unnamedToWithdraw = 2
	withdrawTime      = time.Second
)

// update records what an answer says of the limit. It returns true if that changes it.
func (l *limit) update(perSecond float64, named bool, now time.Time) (changed bool) {
	switch {
	case named:
		changed = !l.named || l.perSecond != perSecond
		*l = limit{named: true, perSecond: perSecond, namedAt: now}
	case l.named:
		l.unnamed++
		if changed = l.unnamed >= unnamedToWithdraw && now.Sub(l.namedAt) >= withdrawTime; changed {
			*l = limit{}
		}
	}
	return changed
}

// SetLimit records whether a process names a limit in an answer, and which.
func (t *Table) SetLimit(p Process, perSecond float64, named bool, now time.Time) {
	t.mu.Lock()
	var change *Change
	if i := t.sender(p, now); i != nil {
		if named {
			i.saidAt = now
		}
		if i.limit.update(perSecond, named, now) {
			change = &Change{Entry: i.Entry, Kind: "unlimited", Source: SourceAnswer}
			if named {
				change.Kind, change.Limit = "limited", perSecond
			}
		}
	} else if n := t.kept[p.key()].notice; named || n.limit.named {
		n.limit.update(perSecond, named, now)
		if named {
			n.saidAt = now
		}
		t.keep(p, n)
	}
	t.mu.Unlock()
	if change != nil {
		t.changed(*change)
	}
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
