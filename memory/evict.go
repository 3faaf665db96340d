package memory

import (
	"cmp"
	"slices"
	"time"
)

const (
	// progressBytes and stallTime define progress: a holder has stalled if fewer bytes than
	// this moved in this time. A caller on a link of 64 kbit/s is not stalled. The time is far
	// above a round trip with a lost packet.
	progressBytes = 8 << 10
	stallTime     = time.Second
)

// candidate is a holder that may be ended.
type candidate struct {
	holder *Holder
	bytes  int64
	idle   time.Duration // since it last made progress
}

// stalled returns the candidates without progress, longest first. Those that make progress are
// never ended.
func stalled(from []candidate) []candidate {
	from = slices.DeleteFunc(from, func(c candidate) bool { return c.idle < stallTime })
	slices.SortFunc(from, func(a, b candidate) int { return cmp.Compare(b.idle, a.idle) })
	return from
}

// chooseStalled returns the candidates to end in order to free a number of bytes, fewer if
// those that have stalled do not hold as many.
func chooseStalled(from []candidate, need int64) []candidate {
	from = stalled(slices.DeleteFunc(from, func(c candidate) bool { return c.bytes == 0 }))
	for i, c := range from {
		if need <= 0 {
			return from[:i]
		}
		need -= c.bytes
	}
	return from
}
