package policy

import (
	"math/bits"
	"time"
)

// timingKey identifies calls that are expected to take about the same time.
type timingKey struct {
	stage     string
	class     string
	sizeClass int
}

// timings keeps the observed durations of stages by stage, class and input
// size.
type timings struct {
	byKey map[timingKey]*histogram
}

func newTimings() *timings { return &timings{byKey: make(map[timingKey]*histogram)} }

// sizeClass returns the size class of an input. One class spans a factor of
// four in tokens.
func sizeClass(tokens int) int { return bits.Len(uint(max(tokens, 0))) / 2 }

func timingKeyOf(a *Arrival, stage int) timingKey {
	return timingKey{stage: a.Stages[stage].Name, class: a.Class.Name, sizeClass: sizeClass(a.InputTokens)}
}

// histogramOf returns the histogram of a stage. A new one starts from the
// stage's typical time.
func (t *timings) histogramOf(a *Arrival, stage int) *histogram {
	key := timingKeyOf(a, stage)
	h := t.byKey[key]
	if h == nil {
		h = newHistogram(max(a.Stages[stage].Typical, time.Millisecond))
		t.byKey[key] = h
	}
	return h
}

// remaining returns the sum of a quantile over the stages from first on.
func (t *timings) remaining(a *Arrival, first int, q float64) time.Duration {
	var sum time.Duration
	for i := first; i < len(a.Stages); i++ {
		sum += t.histogramOf(a, i).quantile(q)
	}
	return sum
}
