package policy

import (
	"math"
	"time"
)

const (
	histogramBuckets = 96
	histogramFloor   = 500 * time.Microsecond
	histogramGrowth  = 1.15
	// histogramMemory is the weight at which old samples are halved.
	histogramMemory = 256
	// priorWeight is how many samples the declared typical time counts for.
	priorWeight = 8
	// floorEvery is how many samples lie between comparisons of the floor.
	floorEvery = 32
	// floorDrift lets the floor rise when the work itself changes.
	floorDrift = 1.002
)

var logGrowth = math.Log(histogramGrowth)

// histogram is a decaying log-scale histogram of durations. It starts from a
// prior around the declared typical time, so that few samples can't mislead.
type histogram struct {
	counts [histogramBuckets]float32
	total  float32
	sum    float64
	// floor is the lowest median so far, slowly rising, and sinceFloor the
	// samples since it was last compared.
	floor      time.Duration
	sinceFloor int
}

func newHistogram(typical time.Duration) *histogram {
	h := &histogram{}
	h.addWeighted(typical, priorWeight)
	return h
}

func bucketOf(d time.Duration) int {
	if d <= histogramFloor {
		return 0
	}
	b := int(math.Log(float64(d)/float64(histogramFloor)) / logGrowth)
	return min(b, histogramBuckets-1)
}

func bucketUpper(b int) time.Duration {
	return time.Duration(float64(histogramFloor) * math.Pow(histogramGrowth, float64(b)+0.5))
}

func (h *histogram) add(d time.Duration) {
	h.addWeighted(d, 1)
	h.sinceFloor++
	if h.sinceFloor < floorEvery {
		return
	}
	h.sinceFloor = 0
	median := h.quantile(typicalQuantile)
	if h.floor == 0 {
		h.floor = median
	}
	h.floor = min(time.Duration(float64(h.floor)*floorDrift), median)
}

// slowdown compares a time with the floor; it is 0 while there is none.
func (h *histogram) slowdown(d time.Duration) float64 {
	if h.floor == 0 {
		return 0
	}
	return float64(d) / float64(h.floor)
}

func (h *histogram) addWeighted(d time.Duration, weight float32) {
	h.counts[bucketOf(d)] += weight
	h.total += weight
	h.sum += float64(d) * float64(weight)
	if h.total >= histogramMemory {
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

// quantile returns the middle of the bucket that holds the share q.
func (h *histogram) quantile(q float64) time.Duration {
	left := float32(q) * h.total
	for b, n := range h.counts {
		left -= n
		if left <= 0 && n > 0 {
			return bucketUpper(b)
		}
	}
	return bucketUpper(histogramBuckets - 1)
}
