package throttle

import (
	"math/rand/v2"
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

const (
	// GrantLifetime is how long after a host asked for it a request to a cold upstream may be
	// sent. Without a bound, requests that were granted over several seconds could be sent in
	// the same one, after connections that were slow to open. It is longer than a host with a
	// small share of a processor usually has to wait for its turn.
	GrantLifetime = 150 * time.Millisecond
	// coldWindow is the time in which the bound on requests to a cold upstream counts them.
	coldWindow = time.Second
	// coldTTL is how long an upstream counts as cold at its owner after a host last reported it. The
	// owner then also counts the requests of hosts that only know of a limit of the upstream.
	coldTTL = 3 * time.Second
)

// ColdRate returns how many requests a second the owner of a cold upstream grants, if the
// upstream takes perSecond. The requests that are sent within coldWindow were granted within
// coldWindow and GrantLifetime, so that two owners together grant at most
// 2*grantedShare*perSecond + 2*burst of them.
func ColdRate(perSecond float64) float64 {
	return grantedShare * perSecond * float64(coldWindow) / float64(coldWindow+GrantLifetime)
}

// spread returns a random time from wait to twice that. All hosts that are refused a request
// to a cold upstream would otherwise ask again for the same one.
func spread(wait time.Duration) time.Duration { return wait + rand.N(max(wait, 1)) }

// coldBucket grants requests to one upstream while it is cold. It is kept by the upstream's
// ID: hosts that have not heard of a new process under the ID send it requests too.
type coldBucket struct {
	bucket
	perSecond  float64
	reportedAt time.Time // when a host last reported that the upstream is cold
}

// coldBucketFor returns the bucket that a request must be granted from because its upstream
// is cold, nil if it is not. The caller holds mu.
func (t *Throttle) coldBucketFor(r acquireRequest, now time.Time) *coldBucket {
	b := t.coldBuckets[r.ID]
	switch {
	case r.WarmupPerSecond > 0:
		if b == nil {
			b = &coldBucket{}
			t.coldBuckets[r.ID] = b
		}
		b.perSecond, b.reportedAt = r.WarmupPerSecond, now
	case b == nil || now.Sub(b.reportedAt) > coldTTL:
		return nil
	}
	return b
}

// Expect prepares for requests to cold upstreams, given with what each takes a second. The
// buckets of those that this host owns begin to fill now, so that the first request to each is
// not refused.
func (t *Throttle) Expect(cold map[instance.ID]float64) {
	now := t.config.Now()
	owned := make(map[instance.ID]float64)
	for id, perSecond := range cold {
		if _, own := t.config.Owners.AgreedOwner(taskOf(id), now); own {
			owned[id] = perSecond
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	for id, perSecond := range owned {
		t.coldBucketFor(acquireRequest{ID: id, WarmupPerSecond: perSecond}, now).fill(now)
	}
}

// fill adds what the bucket has gained since it was last asked.
func (b *coldBucket) fill(now time.Time) { b.bucket.fill(now, ColdRate(b.perSecond)) }

// wait returns when the bucket has a request to grant; 0 if it has one.
func (b *coldBucket) wait() time.Duration { return b.bucket.wait(ColdRate(b.perSecond)) }
