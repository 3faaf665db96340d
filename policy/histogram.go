package policy

import (
	"math"
	"time"
)

const (
	histogramBuckets = 96
	histogramMin     = 500 * time.Microsecond
	histogramGrowth  = 1.15
	// histogramMaxWeight is the total weight at which all counts are halved, so
	// that old samples lose influence.
	histogramMaxWeight = 256
	// priorWeight is the number of samples that the declared typical time
	// counts as.
	priorWeight = 8
	// baselineInterval is the number of samples between updates of the
	// baseline.
	baselineInterval = 32
	// baselineDrift lets the baseline rise slowly when the work itself takes
	// longer.
	baselineDrift = 1.002
)

var logGrowth = math.Log(histogramGrowth)

// histogram is a decaying histogram of durations with logarithmic buckets. It
// starts with a prior at the declared typical time, so that a few unusual
// samples have little effect.
type histogram struct {
	counts [histogramBuckets]float32
	total  float32
	sum    float64
	// baseline is the lowest median so far, and rises by baselineDrift per
	// update. sinceBaseline counts the samples since the last update.
	baseline      time.Duration
	sinceBaseline int
}

func newHistogram(typical time.Duration) *histogram {
	h := &histogram{}
	h.addWeighted(typical, priorWeight)
	return h
}

func bucketOf(d time.Duration) int {
	if d <= histogramMin {
		return 0
	}
	b := int(math.Log(float64(d)/float64(histogramMin)) / logGrowth)
	return min(b, histogramBuckets-1)
}

func bucketMidpoint(b int) time.Duration {
	return time.Duration(float64(histogramMin) * math.Pow(histogramGrowth, float64(b)+0.5))
}

func (h *histogram) add(d time.Duration) {
	h.addWeighted(d, 1)
	h.sinceBaseline++
	if h.sinceBaseline < baselineInterval {
		return
	}
	h.sinceBaseline = 0
	median := h.quantile(typicalQuantile)
	if h.baseline == 0 {
		h.baseline = median
	}
	h.baseline = min(time.Duration(float64(h.baseline)*baselineDrift), median)
}

// slowdown returns the ratio of a duration to the baseline, or 0 while there is
// no baseline.
func (h *histogram) slowdown(d time.Duration) float64 {
	if h.baseline == 0 {
		return 0
	}
	return float64(d) / float64(h.baseline)
}

func (h *histogram) addWeighted(d time.Duration, weight float32) {
	h.counts[bucketOf(d)] += weight
	h.total += weight
	h.sum += float64(d) * float64(weight)
	if h.total >= histogramMaxWeight {
		h.halve()
	}
}

func (h *histogram) halve() {
	for i := range h.counts {
		h.counts[i] /= 2
	}
	h.total /= 2
	h.sum /= 2
}

func (h *histogram) mean() time.Duration { return time.Duration(h.sum / float64(h.total)) }

// quantile returns the midpoint of the bucket that contains the quantile q.
func (h *histogram) quantile(q float64) time.Duration {
	left := float32(q) * h.total
	for b, n := range h.counts {
		left -= n
		if left <= 0 && n > 0 {
			return bucketMidpoint(b)
		}
	}
	return bucketMidpoint(histogramBuckets - 1)
}
