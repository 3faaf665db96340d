// Package throttle keeps the requests that all hosts together send to an upstream within
// the limit that the upstream names. One host grants the requests to an upstream: its
// owner among the hosts. The others ask it before they send one.
package throttle

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// acquireMethod asks the owner of an upstream to grant a request to it.
const acquireMethod link.Method = "throttle.Acquire"

const (
	// acquireTimeout bounds asking the owner. It is many round trips between data
	// centres.
	acquireTimeout = 200 * time.Millisecond
	// ownerFailedWait is how long a host sends an upstream nothing after the owner
	// could not be asked.
	ownerFailedWait = 300 * time.Millisecond
	// idleBucketTTL is how long a bucket is kept that is not asked for.
	idleBucketTTL = time.Minute
)

// Config configures a Throttle. Now and Registerer are optional.
type Config struct {
	Owners     *ownership.Table
	Caller     link.Caller
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Limit is the limit of an upstream process.
type Limit struct {
	Process instance.Process
	// PerSecond is how many requests a second the process takes from all hosts
	// together.
	PerSecond float64
	// NamedAt is when an answer last named it.
	NamedAt time.Time
}

// Throttle grants requests to the upstreams that this host owns, and asks the owners of
// the others. It is safe for concurrent use.
type Throttle struct {
	config Config
	asked  *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below
	buckets  map[bucketKey]*bucket
	prunedAt time.Time
}

// bucketKey identifies an upstream process.
type bucketKey struct {
	id          instance.ID
	startMillis int64 // Unix time
}

// acquireRequest asks for one request to a process.
type acquireRequest struct {
	ID          instance.ID   `cbor:"1,keyasint"`
	StartMillis int64         `cbor:"2,keyasint"`
	PerSecond   float64       `cbor:"3,keyasint"`
	Age         time.Duration `cbor:"4,keyasint"` // since the limit was last named
}

// acquireReply says whether the request is granted, and if not, when to ask again.
type acquireReply struct {
	Granted bool          `cbor:"1,keyasint"`
	Wait    time.Duration `cbor:"2,keyasint"`
}

// New creates a throttle and registers the method that other hosts call.
func New(config Config, registrar link.Registrar) *Throttle {
	if config.Now == nil {
		config.Now = time.Now
	}
	t := &Throttle{
		config:  config,
		buckets: make(map[bucketKey]*bucket),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_limited_requests_total", Help: "Requests to upstreams that name a limit, by what their owner said.",
		}, []string{"result"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(t.asked)
	}
	link.HandleTyped(registrar, acquireMethod, func(_ context.Context, r acquireRequest) (acquireReply, error) {
		return t.grant(r), nil
	})
	return t
}

// Acquire asks for the right to send one request to a process that names a limit. If it
// is not granted, wait is when to ask again.
func (t *Throttle) Acquire(ctx context.Context, l Limit) (wait time.Duration, granted bool) {
	now := t.config.Now()
	request := acquireRequest{
		ID: l.Process.ID, StartMillis: l.Process.StartTime.UnixMilli(), PerSecond: l.PerSecond, Age: now.Sub(l.NamedAt),
	}
	reply, err := t.ask(ctx, request, now)
	switch {
	case ctx.Err() != nil:
		return 0, false // the call ends, which says nothing about the owner
	case err != nil:
		t.asked.WithLabelValues("owner_failed").Inc()
		return ownerFailedWait, false
	}
	if reply.Granted {
		t.asked.WithLabelValues("granted").Inc()
	} else {
		t.asked.WithLabelValues("denied").Inc()
	}
	return reply.Wait, reply.Granted
}

// ask has the owner of a process decide. An owner that fails is avoided for a while.
func (t *Throttle) ask(ctx context.Context, r acquireRequest, now time.Time) (acquireReply, error) {
	owner, own := t.config.Owners.Owner("limit/"+string(r.ID), now)
	if own {
		return t.grant(r), nil
	}
	askCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	// A call that is repeated may be granted twice, which only costs a grant.
	reply, err := link.CallIdempotent[acquireRequest, acquireReply](askCtx, t.config.Caller, owner.LinkAddr, acquireMethod, r)
	if err != nil && ctx.Err() == nil {
		t.config.Owners.Avoid(owner.ID, now)
		t.config.Logger.Warn("limit owner failed", "upstream", string(r.ID), "owner", string(owner.ID), "error", err.Error())
	}
	return reply, err
}

// grant decides on one request to a process that this host owns.
func (t *Throttle) grant(r acquireRequest) acquireReply {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	key := bucketKey{r.ID, r.StartMillis}
	b := t.buckets[key]
	if b == nil {
		b = &bucket{}
		t.buckets[key] = b
	}
	b.update(r.PerSecond, now.Add(-r.Age))
	wait, granted := b.take(now)
	return acquireReply{Granted: granted, Wait: wait}
}

// prune removes buckets that are not asked for. The caller holds mu.
func (t *Throttle) prune(now time.Time) {
	if now.Sub(t.prunedAt) < idleBucketTTL {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.buckets, func(_ bucketKey, b *bucket) bool { return now.Sub(b.filledAt) > idleBucketTTL })
}
