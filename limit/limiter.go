// Package limit enforces the rate limits of workspaces over all hosts. Each
// host takes from token buckets that hold its share of a limit. The shares
// follow the demand, which the hosts publish to each other as facts.
package limit

import (
	"bytes"
	"context"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/zeebo/errs"
)

// Error is the class of every error this package returns.
var Error = errs.Class("limit")

// factTopic is the topic of the facts that carry claims.
const factTopic member.Topic = "limit"

// Times and sizes of a Limiter.
const (
	tickInterval = 200 * time.Millisecond
	// The time between two publications is publishIntervalPerHost times the
	// number of other hosts, and at least publishInterval. This keeps the
	// traffic of all hosts together within the datagram budget.
	publishIntervalPerHost = 80 * time.Millisecond
	publishInterval        = time.Second
	// urgentIntervalFactor shortens the publish interval after a large change
	// of demand.
	urgentIntervalFactor = 0.3
	// republishInterval is how often unchanged demand is published again, for
	// hosts that missed it.
	republishInterval = 5 * time.Second
	// maxClaims bounds the limits for which a host publishes its demand.
	maxClaims = 4 * claimsPerFact
)

// Config configures a Limiter. View must be set.
type Config struct {
	View host.View
	// Gossip exchanges demand with the other hosts. If it is nil, the host
	// publishes and receives no demand.
	Gossip     member.Gossip
	Now        func() time.Time
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Limiter enforces the limits on one host. It is safe for concurrent use.
type Limiter struct {
	config  Config
	takes   *prometheus.CounterVec
	invalid prometheus.Counter

	allocatorMu sync.Mutex
	allocator   *allocator

	publishedFacts []publishedFact // by chunk number; used only by Run
	publishedAt    time.Time
}

// publishedFact is the last published version of a fact.
type publishedFact struct {
	payload []byte
	at      time.Time
}

// New returns a limiter without limits; Configure sets them.
func New(config Config) *Limiter {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	factory := promauto.With(config.Registerer)
	l := &Limiter{
		config:    config,
		allocator: newAllocator(),
		takes: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_limit_takes_total",
			Help: "Requests that asked for a share of a limit, by result.",
		}, []string{"result"}),
		invalid: factory.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_limit_invalid_facts_total",
			Help: "Facts on demand that could not be read.",
		}),
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(factTopic, l.receiveFact)
	}
	return l
}

// Configure replaces the limits by those of a document.
func (l *Limiter) Configure(doc *document.Document) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	l.allocator.configure(doc.Limits)
}

// Take takes requests and tokens from every limit that applies to the workspace
// and class, or from none. If it takes none, it returns when to retry.
func (l *Limiter) Take(now time.Time, workspace string, class document.Class, requests, tokens int) (ok bool, retryAfter time.Duration) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	ok, retryAfter = l.allocator.take(now, workspace, class.Name, float64(requests), float64(tokens))
	if ok {
		l.takes.WithLabelValues("taken").Inc()
	} else {
		l.takes.WithLabelValues("refused").Inc()
	}
	return ok, retryAfter
}

// Refund returns requests and tokens that a request took and did not use.
func (l *Limiter) Refund(workspace string, class document.Class, requests, tokens int) {
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	l.allocator.refund(workspace, class.Name, float64(requests), float64(tokens))
}

// Run measures demand and exchanges it with the other hosts until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		l.step()
		select {
		case <-ctx.Done():
			l.withdraw()
			return nil
		case <-ticker.C:
		}
	}
}

func (l *Limiter) step() {
	now := l.config.Now()
	self := l.config.View.Self().ID
	alive := make(map[host.ID]bool)
	for _, m := range l.config.View.Members() {
		if m.ID != self {
			alive[m.ID] = true
		}
	}
	l.allocatorMu.Lock()
	l.allocator.setMembers(now, alive)
	l.allocator.tick(now)
	urgent := l.allocator.hasUrgentChange()
	l.allocatorMu.Unlock()
	if l.config.Gossip != nil && now.Sub(l.publishedAt) >= publishWait(len(alive), urgent) {
		l.publishedAt = now
		l.publish(now)
	}
}

// publishWait returns the minimum time between two publications.
func publishWait(others int, urgent bool) time.Duration {
	wait := max(publishInterval, time.Duration(others)*publishIntervalPerHost)
	if urgent {
		return time.Duration(float64(wait) * urgentIntervalFactor)
	}
	return wait
}

// publish publishes this host's demand. Facts that are no longer needed are
// published without claims.
func (l *Limiter) publish(now time.Time) {
	l.allocatorMu.Lock()
	claims := l.allocator.claims(now, maxClaims)
	l.allocatorMu.Unlock()
	chunk := 0
	for ; len(claims) > 0; chunk++ {
		count := min(claimsPerFact, len(claims))
		l.publishChunk(now, chunk, claims[:count])
		claims = claims[count:]
	}
	for ; chunk < len(l.publishedFacts); chunk++ {
		l.publishChunk(now, chunk, nil)
	}
}

// withdraw publishes empty facts when the host stops, so that the other hosts
// drop its demand.
func (l *Limiter) withdraw() {
	if l.config.Gossip == nil {
		return
	}
	for chunk := range l.publishedFacts {
		l.publishChunk(l.config.Now(), chunk, nil)
	}
}

// publishChunk publishes one fact, unless the same was published less than
// republishInterval ago.
func (l *Limiter) publishChunk(now time.Time, chunk int, claims []claim) {
	payload, err := encodeClaims(claims)
	if err != nil {
		l.config.Logger.Error("demand not encoded", "error", err)
		return
	}
	if chunk == len(l.publishedFacts) {
		l.publishedFacts = append(l.publishedFacts, publishedFact{})
	}
	last := &l.publishedFacts[chunk]
	if bytes.Equal(last.payload, payload) && now.Sub(last.at) < republishInterval {
		return
	}
	last.payload, last.at = payload, now
	if err := l.config.Gossip.Publish(factTopic, strconv.Itoa(chunk), payload); err != nil {
		l.config.Logger.Error("demand not published", "error", err)
	}
}

func (l *Limiter) receiveFact(fact member.Fact) {
	claims, err := decodeClaims(fact.Payload)
	if err != nil {
		l.invalid.Inc()
		return
	}
	l.allocatorMu.Lock()
	defer l.allocatorMu.Unlock()
	l.allocator.recordClaims(fact.From, fact.Key, claims)
}
