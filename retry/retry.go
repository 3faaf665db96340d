// Package retry bounds how often requests are sent a second time, so that the
// repeats of all hosts together stay within one budget.
package retry

import (
	"sync"
	"time"
)

// Bounds are those of the whole fleet for one service.
type Bounds struct {
	// Ratio is how many repeats each request of the window allows.
	Ratio float64
	// Slack is how many repeats are allowed besides.
	Slack int
	// Window is the span over which both are counted.
	Window time.Duration
}

const (
	// share is the part of the bounds that hosts use: requests are not spread
	// evenly over hosts, and windows slide.
	share = 0.7
	// buckets are the parts of a window that are counted apart.
	buckets = 10
)

// Budget is one host's part of the bounds. It is safe for concurrent use.
type Budget struct {
	hosts func() int
	start time.Time // windows are counted from here, by the monotonic clock

	mu       sync.Mutex // guards what follows
	bounds   Bounds
	services map[string]*window
}

// New makes a budget that counts from start. hosts is how many hosts share the
// bounds.
func New(bounds Bounds, hosts func() int, start time.Time) *Budget {
	return &Budget{bounds: bounds, hosts: hosts, start: start, services: make(map[string]*window)}
}

// SetBounds replaces the bounds. What was counted stays.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// window counts the requests and repeats of one service.
type window struct {
	slot     int64
	requests [buckets]int
	repeats  [buckets]int
}

// Request counts a first sending.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	w.requests[w.slot%buckets]++
}

// Take takes the right to send once more, and says whether there was one left.
func (b *Budget) Take(service string, now time.Time) bool {
	return b.TakeMany(service, 1, float64(max(b.hosts(), 1)), now)
}

// TakeMany takes n rights when this host shares the slack with a number of
// others.
func (b *Budget) TakeMany(service string, n int, sharers float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.at(service, now)
	allowed := share * (b.bounds.Ratio*float64(sum(w.requests)) + float64(b.bounds.Slack)/sharers)
	if float64(sum(w.repeats)+n) > allowed {
		return false
	}
	w.repeats[w.slot%buckets] += n
	return true
}

// at returns a service's window, moved on to now.
func (b *Budget) at(service string, now time.Time) *window {
	slot := int64(now.Sub(b.start) / (max(b.bounds.Window, time.Second) / buckets))
	w := b.services[service]
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for steps := 0; w.slot < slot && steps < buckets; steps++ {
		w.slot++
		w.requests[w.slot%buckets], w.repeats[w.slot%buckets] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return w
}

func sum(counts [buckets]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
