package policy

import (
	"math/bits"
	"time"
)

// timingKey names calls that take about as long as each other.
type timingKey struct {
	stage string
	class string
	size  int
}

// timings learns how long stages take, by stage, class and size.
type timings struct {
	byKey map[timingKey]*histogram
}

func newTimings() *timings { return &timings{byKey: make(map[timingKey]*histogram)} }

// sizeOf puts prompt lengths within a factor of four together.
func sizeOf(tokens int) int { return bits.Len(uint(max(tokens, 0))) / 2 }

func keyOf(a *Arrival, stage int) timingKey {
	return timingKey{stage: a.Stages[stage].Name, class: a.Class.Name, size: sizeOf(a.InputTokens)}
}

// of returns the histogram of a stage, made from the declared typical time
// when no call was seen yet.
func (t *timings) of(a *Arrival, stage int) *histogram {
	key := keyOf(a, stage)
	h := t.byKey[key]
	if h == nil {
		h = newHistogram(max(a.Stages[stage].Typical, time.Millisecond))
		t.byKey[key] = h
	}
	return h
}

// rest returns the sum of a quantile over the stages from first on.
func (t *timings) rest(a *Arrival, first int, q float64) time.Duration {
	var sum time.Duration
	for i := first; i < len(a.Stages); i++ {
		sum += t.of(a, i).quantile(q)
	}
	return sum
}
