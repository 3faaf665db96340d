package policy

import (
	"math"
	"time"
)

const (
	// adaptEvery is how often a limit moves.
	adaptEvery = 100 * time.Millisecond
	// limitDecrease and limitIncrease are the factors of one move.
	limitDecrease = 0.9
	limitIncrease = 1.05
	// leastLimitShare bounds how far a limit falls under its fair share.
	leastLimitShare = 0.25
	// congestedShare is the share of upstreams with a queue that counts as
	// congestion.
	congestedShare = 0.25
	// slowdown is how far the mean time may rise over its rest before it
	// counts as congestion.
	slowdown = 1.5
	// restDrift lets the remembered rest rise when the work changes.
	restDrift = 1.002
	// limitWindow is how many samples one comparison needs.
	limitWindow = 16
)

// limit is how many calls this host keeps on a pool at once. It starts at the
// host's fair part of the pool, grows while it is used up and the pool shows
// no queue, and shrinks when the pool slows down.
type limit struct {
	slots   int
	fair    float64
	current float64
	full    bool
	moved   time.Time

	sum     float64
	samples int
	rest    float64
	slow    bool
}

func (l *limit) value() int { return max(1, int(math.Ceil(l.current-0.01))) }

func (l *limit) markFull() { l.full = true }

// resize follows the pool's size and the number of hosts that share it.
func (l *limit) resize(slots, hosts int) {
	fair := float64(slots) / float64(hosts)
	switch {
	case l.fair == 0 || fair == 0:
		l.current = fair
	case fair != l.fair:
		l.current *= fair / l.fair
	}
	l.fair = fair
	l.slots = slots
}

// sample takes in how long a call took against its kind's floor; a zero
// says that the floor isn't known yet.
func (l *limit) sample(ratio float64) {
	if ratio == 0 {
		return
	}
	l.sum += ratio
	l.samples++
	if l.samples < limitWindow {
		return
	}
	mean := l.sum / float64(l.samples)
	l.sum = 0
	l.samples = 0
	if l.rest == 0 {
		l.rest = mean
	}
	l.rest = min(l.rest*restDrift, mean)
	l.slow = mean > slowdown*l.rest
}

func (l *limit) adapt(now time.Time, congested float64, waiting bool) {
	if now.Sub(l.moved) < adaptEvery {
		return
	}
	l.moved = now
	switch {
	case l.slow || congested > congestedShare:
		l.current = max(l.current*limitDecrease, l.fair*leastLimitShare)
	case l.full && waiting:
		l.current = min(max(l.current*limitIncrease, l.current+0.25), float64(l.slots))
	case l.current > l.fair:
		l.current = max(l.current*limitDecrease, l.fair)
	case l.current < l.fair:
		l.current = min(l.current*limitIncrease, l.fair)
	}
	l.full = false
}
