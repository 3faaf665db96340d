package policy

import (
	"math"
	"time"
)

const (
	// adaptInterval is the time between two adjustments of a limit.
	adaptInterval = 100 * time.Millisecond
	// adaptGain is the share of the distance to the target backlog that one
	// adjustment corrects. maxAdaptStep bounds the relative change of the limit
	// per adjustment.
	adaptGain    = 0.3
	maxAdaptStep = 0.1
	// targetBacklog is the desired length of the upstreams' queues per slot. It
	// is large enough that no upstream idles while hosts hold calls back.
	targetBacklog = 0.35
	// initialLimitFactor and initialExtraSlots set how far the initial limit
	// exceeds the host's fair share of the slots.
	initialLimitFactor = 1.15
	initialExtraSlots  = 1.0
	// minLimitShare is the lowest limit, as a share of the host's fair share.
	minLimitShare = 0.7
	// slowdownThreshold is the ratio of the mean slowdown to its baseline above
	// which calls count as queued, where upstreams report no load.
	slowdownThreshold = 1.5
	// limitBaselineDrift lets the baseline rise slowly when the work changes.
	limitBaselineDrift = 1.002
	// slowdownWindow is the number of samples in one mean.
	slowdownWindow = 16
	// unknownBacklog means that no upstream reported its load lately.
	unknownBacklog = -1.0
)

// concurrencyLimit is the number of calls that this host runs on a pool at
// once. It starts a little above the host's fair share of the slots. It grows
// while the host reaches it and the upstreams' queues are below the target, and
// shrinks while they are above it.
type concurrencyLimit struct {
	poolSlots int
	fairShare float64
	current   float64
	reached   bool
	adaptedAt time.Time

	// slowdownSum and samples make up the current mean slowdown; baseline is
	// the lowest mean so far, raised by limitBaselineDrift per mean. slow is
	// true if the last mean was above slowdownThreshold times the baseline.
	slowdownSum float64
	samples     int
	baseline    float64
	slow        bool
}

func (l *concurrencyLimit) value() int { return max(1, int(math.Ceil(l.current-0.01))) }

func (l *concurrencyLimit) markReached() { l.reached = true }

// resize adapts the limit to the pool's slots and the number of hosts that
// share them. When the fair share changes, the limit starts anew.
func (l *concurrencyLimit) resize(slots, hosts int) {
	l.poolSlots = slots
	fair := float64(slots) / float64(hosts)
	if fair != l.fairShare {
		l.current = l.initial(fair)
	}
	l.fairShare = fair
}

// initial returns the limit before any adjustment. It never exceeds the pool's
// slots.
func (l *concurrencyLimit) initial(fair float64) float64 {
	return min(fair*initialLimitFactor+initialExtraSlots, float64(l.poolSlots))
}

// growth returns the ratio of the limit to its initial value, at least 1. A
// ratio above 1 means that the upstreams run more calls at once than
// configured.
func (l *concurrencyLimit) growth() float64 {
	start := l.initial(l.fairShare)
	if start <= 0 {
		return 1
	}
	return max(l.current/start, 1)
}

// addSlowdown records the slowdown of a call against the baseline of its
// histogram. Zero means that the histogram has no baseline yet.
func (l *concurrencyLimit) addSlowdown(ratio float64) {
	if ratio == 0 {
		return
	}
	l.slowdownSum += ratio
	l.samples++
	if l.samples < slowdownWindow {
		return
	}
	mean := l.slowdownSum / float64(l.samples)
	l.slowdownSum = 0
	l.samples = 0
	if l.baseline == 0 {
		l.baseline = mean
	}
	l.baseline = min(l.baseline*limitBaselineDrift, mean)
	l.slow = mean > slowdownThreshold*l.baseline
}

// adapt adjusts the limit if adaptInterval has passed. backlog is the length of
// the upstreams' queues per slot, or unknownBacklog. waiting is true while
// calls wait in this host's queue.
func (l *concurrencyLimit) adapt(now time.Time, backlog float64, waiting bool) {
	if now.Sub(l.adaptedAt) < adaptInterval {
		return
	}
	l.adaptedAt = now
	if backlog == unknownBacklog {
		backlog = 0
		if l.slow {
			backlog = 2 * targetBacklog
		}
	}
	step := min(max(adaptGain*(targetBacklog-backlog), -maxAdaptStep), maxAdaptStep)
	switch {
	case step < 0:
		l.current *= 1 + step
	case l.reached && waiting:
		l.current += l.current*step + step
	default:
		l.current += step * (l.initial(l.fairShare) - l.current)
	}
	l.current = min(max(l.current, l.fairShare*minLimitShare), max(float64(l.poolSlots), 1))
	l.reached = false
}
