package policy

import (
	"math"
	"time"
)

const (
	// adaptEvery is how often a limit moves.
	adaptEvery = 100 * time.Millisecond
	// adaptGain is how much of the distance to the wanted backlog one move
	// takes back, and mostStep bounds a move.
	adaptGain = 0.3
	mostStep  = 0.1
	// wantedBacklog is the queue that upstreams should have, in shares of
	// their slots: enough that none falls idle while hosts hold calls.
	wantedBacklog = 0.35
	// spareShare and spareSlots are what a host may use over its fair part
	// from the start.
	spareShare = 1.15
	spareSlots = 1.0
	// leastLimitShare bounds how far a limit falls under its fair part.
	leastLimitShare = 0.7
	// slowdown is how far the mean time may rise over its rest before it
	// counts as a backlog, where upstreams report no load.
	slowdown = 1.5
	// restDrift lets the remembered rest rise when the work changes.
	restDrift = 1.002
	// limitWindow is how many samples one comparison needs.
	limitWindow = 16
	// unknownBacklog stands for upstreams that report no load.
	unknownBacklog = -1.0
)

// limit is how many calls this host keeps on a pool at once. It starts a
// little over the host's fair part, grows while it is used up and the
// upstreams have no queue, and shrinks when they do.
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
	l.slots = slots
	fair := float64(slots) / float64(hosts)
	if fair != l.fair {
		l.current = l.start(fair)
	}
	l.fair = fair
}

// start is the limit before anything was learned. A host that is alone uses
// its pool and no more.
func (l *limit) start(fair float64) float64 {
	return min(fair*spareShare+spareSlots, float64(l.slots))
}

// growth is how far the limit has grown over its start, which tells that the
// upstreams run more calls at once than declared; it is never under 1.
func (l *limit) growth() float64 {
	start := l.start(l.fair)
	if start <= 0 {
		return 1
	}
	return max(l.current/start, 1)
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

// adapt moves the limit once. backlog is the queue on the upstreams in shares
// of their slots, or unknownBacklog.
func (l *limit) adapt(now time.Time, backlog float64, waiting bool) {
	if now.Sub(l.moved) < adaptEvery {
		return
	}
	l.moved = now
	if backlog == unknownBacklog {
		backlog = 0
		if l.slow {
			backlog = 2 * wantedBacklog
		}
	}
	step := min(max(adaptGain*(wantedBacklog-backlog), -mostStep), mostStep)
	switch {
	case step < 0:
		l.current *= 1 + step
	case l.full && waiting:
		l.current += l.current*step + step
	default:
		l.current += step * (l.start(l.fair) - l.current)
	}
	l.current = min(max(l.current, l.fair*leastLimitShare), max(float64(l.slots), 1))
	l.full = false
}
