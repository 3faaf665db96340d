// Package throttle keeps the requests that all hosts together send to an upstream within
// the limit that the upstream names, within what a cold upstream takes, and within the room
// that a brittle upstream has. One host grants the requests to an upstream: its owner among
// the hosts. The others ask it before they send one.
package throttle

import (
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
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
	Self       host.ID
	Owners     *ownership.Table
	Caller     link.Caller
	Logger     *slog.Logger
	Now        func() time.Time
	Registerer prometheus.Registerer
}

// Limit is what holds back the requests to an upstream process: a limit that it names, or
// that it is cold.
type Limit struct {
	Process instance.Process
	// PerSecond is how many requests a second the process takes from all hosts
	// together.
	PerSecond float64
	// NamedAt is when an answer last named it.
	NamedAt time.Time
	// Unlimited means that the process names no limit, so that it is only cold.
	Unlimited bool
	// WarmupPerSecond is how many requests a second the process takes while it is cold; 0 if
	// it is not.
	WarmupPerSecond float64
}

// Throttle grants requests to the upstreams that this host owns, and asks the owners of
// the others. It is safe for concurrent use.
type Throttle struct {
	config Config
	asked  *prometheus.CounterVec
	// askedCold counts the requests to cold upstreams.
	askedCold *prometheus.CounterVec

	slots *prometheus.CounterVec

	mu            sync.Mutex // guards the fields below
	buckets       map[processID]*bucket
	coldBuckets   map[instance.ID]*coldBucket
	prunedAt      time.Time
	books         map[processID]*slotBook
	booksPrunedAt time.Time
}

// processID identifies an upstream process.
type processID struct {
	ID          instance.ID `cbor:"1,keyasint"`
	StartMillis int64       `cbor:"2,keyasint"` // Unix time
}

func newProcessID(p instance.Process) processID {
	return processID{ID: p.ID, StartMillis: p.StartTime.UnixMilli()}
}

// acquireRequest asks for one request to a process.
type acquireRequest struct {
	ID          instance.ID   `cbor:"1,keyasint"`
	StartMillis int64         `cbor:"2,keyasint"`
	PerSecond   float64       `cbor:"3,keyasint"`
	Age         time.Duration `cbor:"4,keyasint"` // since the limit was last named
	// WarmupPerSecond and Unlimited are those of Limit. An owner of the build before, which
	// does not know them, takes a cold process for one with a limit of 0.
	WarmupPerSecond float64 `cbor:"5,keyasint,omitempty"`
	Unlimited       bool    `cbor:"6,keyasint,omitempty"`
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
		config:      config,
		buckets:     make(map[processID]*bucket),
		coldBuckets: make(map[instance.ID]*coldBucket),
		books:       make(map[processID]*slotBook),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_limited_requests_total", Help: "Requests to upstreams that name a limit, by what their owner said.",
		}, []string{"result"}),
		askedCold: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_cold_requests_total", Help: "Requests to cold upstreams, by what their owner said.",
		}, []string{"result"}),
		slots: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_slots_total", Help: "Requests to brittle upstreams, by whether a slot was granted.",
		}, []string{"result"}),
	}
	if config.Registerer != nil {
		config.Registerer.MustRegister(t.asked, t.askedCold, t.slots)
	}
	link.HandleTyped(registrar, takeSlotMethod, func(_ context.Context, r slotRequest) (slotReply, error) { return t.grantSlot(r), nil })
	link.HandleTyped(registrar, updateSlotMethod, func(_ context.Context, u slotUpdate) (struct{}, error) { return t.updateSlot(u), nil })
	link.HandleTyped(registrar, acquireMethod, func(_ context.Context, r acquireRequest) (acquireReply, error) {
		return t.grant(r), nil
	})
	return t
}

// Acquire asks for the right to send one request to a process that names a limit or is cold.
// If it is not granted, wait is when to ask again. The right to send one to a cold process
// must be used within GrantLifetime of the call.
func (t *Throttle) Acquire(ctx context.Context, l Limit) (wait time.Duration, granted bool) {
	now := t.config.Now()
	request := acquireRequest{
		ID: l.Process.ID, StartMillis: l.Process.StartTime.UnixMilli(), PerSecond: l.PerSecond, Age: now.Sub(l.NamedAt),
		WarmupPerSecond: l.WarmupPerSecond, Unlimited: l.Unlimited,
	}
	if l.Unlimited {
		request.Age = 0
	}
	isCold := l.WarmupPerSecond > 0
	// A call that is repeated may be granted twice, which only costs a grant.
	owner, own := t.ownerFor(l, now)
	if own && isCold && !t.config.Owners.SeesMost() {
		t.askedCold.WithLabelValues("owner_failed").Inc()
		return ownerFailedWait, false
	}
	if own {
		return t.count(t.grant(request), isCold)
	}
	reply, err := askOwner[acquireRequest, acquireReply](ctx, t, owner, acquireMethod, request)
	if err != nil && ctx.Err() == nil && !isCold {
		t.config.Owners.Avoid(owner.ID, now)
	}
	switch {
	case ctx.Err() != nil:
		return 0, false // the call ends, which says nothing about the owner
	case err != nil:
		t.counter(isCold).WithLabelValues("owner_failed").Inc()
		return ownerFailedWait, false
	}
	return t.count(reply, isCold)
}

// ownerFor returns the host that grants the requests to a process. The owner of a cold one is
// replaced only once the membership takes it for lost: hosts that replaced it by themselves
// would ask several owners, which together would grant more than a cold process takes.
func (t *Throttle) ownerFor(l Limit, now time.Time) (owner host.Info, own bool) {
	if l.WarmupPerSecond > 0 {
		return t.config.Owners.AgreedOwner(taskOf(l.Process.ID), now)
	}
	return t.config.Owners.Owner(taskOf(l.Process.ID), now)
}

// count counts what an owner said and returns it.
func (t *Throttle) count(reply acquireReply, isCold bool) (wait time.Duration, granted bool) {
	result := "denied"
	if reply.Granted {
		result = "granted"
	}
	t.counter(isCold).WithLabelValues(result).Inc()
	if isCold && !reply.Granted {
		return spread(reply.Wait), false
	}
	return reply.Wait, reply.Granted
}

// counter returns the metric that counts what owners said.
func (t *Throttle) counter(isCold bool) *prometheus.CounterVec {
	if isCold {
		return t.askedCold
	}
	return t.asked
}

// taskOf returns the task of the owner of an upstream.
func taskOf(id instance.ID) string { return "limit/" + string(id) }

// askOwner makes an idempotent call to the owner of an upstream.
func askOwner[Req, Resp any](ctx context.Context, t *Throttle, owner host.Info, method link.Method, r Req) (Resp, error) {
	askCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	reply, err := link.CallIdempotent[Req, Resp](askCtx, t.config.Caller, owner.LinkAddr, method, r)
	if err != nil && ctx.Err() == nil {
		t.config.Logger.Warn("limit owner failed", "method", string(method), "owner", string(owner.ID), "error", err.Error())
	}
	return reply, err
}

// grant decides on one request to a process that this host owns.
func (t *Throttle) grant(r acquireRequest) acquireReply {
	now := t.config.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	cold := t.coldBucketFor(r, now)
	if cold != nil {
		cold.fill(now)
		if wait := cold.wait(); wait > 0 {
			return acquireReply{Wait: wait}
		}
	}
	if !r.Unlimited {
		key := processID{r.ID, r.StartMillis}
		b := t.buckets[key]
		if b == nil {
			b = &bucket{}
			t.buckets[key] = b
		}
		b.update(r.PerSecond, now.Add(-r.Age))
		if wait, granted := b.take(now); !granted {
			return acquireReply{Wait: wait}
		}
	}
	if cold != nil {
		cold.tokens--
	}
	return acquireReply{Granted: true}
}

// prune removes buckets that are not asked for. The caller holds mu.
func (t *Throttle) prune(now time.Time) {
	if now.Sub(t.prunedAt) < idleBucketTTL {
		return
	}
	t.prunedAt = now
	maps.DeleteFunc(t.buckets, func(_ processID, b *bucket) bool { return now.Sub(b.filledAt) > idleBucketTTL })
	maps.DeleteFunc(t.coldBuckets, func(_ instance.ID, b *coldBucket) bool { return now.Sub(b.filledAt) > idleBucketTTL })
}
