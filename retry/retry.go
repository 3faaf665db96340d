// Package retry bounds how often requests are retried, so that the retries of
// all hosts together stay within one budget per service.
package retry

import (
	"sync"
	"time"
)

// Bounds limit the retries of one service over the whole fleet.
type Bounds struct {
	// Ratio is the number of retries allowed per request in the window.
	Ratio float64
	// Slack is the number of retries allowed per window in addition.
	Slack int
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// safetyFactor is the part of the bounds that the hosts use. It leaves room
	// because requests are not spread evenly over the hosts and the windows
	// slide.
	safetyFactor = 0.7
	// bucketCount is the number of buckets that a window is divided into.
	bucketCount = 10
)

// Budget is one host's share of the bounds. It is safe for concurrent use.
type Budget struct {
	hosts func() int // number of hosts that share the bounds
	start time.Time  // origin of the bucket numbers, on the monotonic clock

	mu       sync.Mutex // guards the fields below
	bounds   Bounds
	services map[string]*window
}

// New returns a budget that counts time from start. hosts returns the number of
// hosts that share the bounds.
func New(bounds Bounds, hosts func() int, start time.Time) *Budget {
	return &Budget{bounds: bounds, hosts: hosts, start: start, services: make(map[string]*window)}
}

// SetBounds replaces the bounds and keeps the counts.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bounds = bounds
}

// window counts the requests and retries of one service in a ring of buckets.
type window struct {
	bucket   int64
	requests [bucketCount]int
	retries  [bucketCount]int
}

// RecordRequest records the first attempt of a request.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	w.requests[w.bucket%bucketCount]++
}

// AllowRetry reports whether a request may be retried, and counts the retry if
// so.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	return b.AllowRetries(service, 1, float64(max(b.hosts(), 1)), now)
}

// AllowRetries reports whether n retries may be made, and counts them if so. It
// allows all or none. sharers is the number of hosts that share the slack,
// including this one.
func (b *Budget) AllowRetries(service string, n int, sharers float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.windowAt(service, now)
	allowed := safetyFactor * (b.bounds.Ratio*float64(sum(w.requests)) + float64(b.bounds.Slack)/sharers)
	if float64(sum(w.retries)+n) > allowed {
		return false
	}
	w.retries[w.bucket%bucketCount] += n
	return true
}

// windowAt returns a service's window after advancing it to now.
func (b *Budget) windowAt(service string, now time.Time) *window {
	bucket := int64(now.Sub(b.start) / (max(b.bounds.Window, time.Second) / bucketCount))
	w := b.services[service]
	if w == nil {
		w = &window{bucket: bucket}
		b.services[service] = w
	}
	for steps := 0; w.bucket < bucket && steps < bucketCount; steps++ {
		w.bucket++
		w.requests[w.bucket%bucketCount], w.retries[w.bucket%bucketCount] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}

func sum(counts [bucketCount]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
