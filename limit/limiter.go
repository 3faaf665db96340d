// Package limit enforces the limits of workspaces over all hosts. Each host
// takes from token buckets that hold its share of a limit; the shares follow
// the demand that the hosts tell each other by facts.
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

// factTopic is the topic of the claims that hosts spread.
const factTopic member.Topic = "limit"

// Times and sizes of a Limiter.
const (
	tickInterval = 200 * time.Millisecond
	// publishPerHost keeps what all hosts together publish within the budget
	// of the datagrams: the interval grows with the number of hosts.
	publishPerHost  = 80 * time.Millisecond
	publishInterval = time.Second
	// urgentPart is the part of that interval after which a large change of
	// demand is published.
	urgentPart = 0.3
	// repeatInterval is how often an unchanged demand is told again, for hosts
	// that missed it.
	repeatInterval = 5 * time.Second
	// maxClaims bounds the limits on which a host claims a share.
	maxClaims = 4 * claimsPerFact
)

// Config configures a Limiter. View must be set.
type Config struct {
	View host.View
	// Gossip tells the hosts of each other's demand; nil means one host alone.
	Gossip     member.Gossip
	Now        func() time.Time
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Limiter takes from the limits. It is safe for concurrent use.
type Limiter struct {
	config  Config
	taken   *prometheus.CounterVec
	invalid prometheus.Counter

	bookMu sync.Mutex
	book   *book

	told        []told // the facts published last, by number; used by Run alone
	publishedAt time.Time
}

// told is a fact as it was published last.
type told struct {
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
		config: config,
		book:   newBook(),
		taken: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_limit_takes_total",
			Help: "Requests that asked for a share of a limit, by result.",
		}, []string{"result"}),
		invalid: factory.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_limit_invalid_facts_total",
			Help: "Facts on demand that could not be read.",
		}),
	}
	if config.Gossip != nil {
		config.Gossip.Subscribe(factTopic, l.hear)
	}
	return l
}

// Configure takes over the limits of a document.
func (l *Limiter) Configure(doc *document.Document) {
	l.bookMu.Lock()
	defer l.bookMu.Unlock()
	l.book.configure(doc.Limits)
}

// Take uses up requests and tokens of every limit that applies to a workspace
// and class, or of none and says when to come back.
func (l *Limiter) Take(now time.Time, workspace string, class document.Class, requests, tokens int) (ok bool, retryAfter time.Duration) {
	l.bookMu.Lock()
	defer l.bookMu.Unlock()
	ok, retryAfter = l.book.take(now, workspace, class.Name, float64(requests), float64(tokens))
	if ok {
		l.taken.WithLabelValues("taken").Inc()
	} else {
		l.taken.WithLabelValues("refused").Inc()
	}
	return ok, retryAfter
}

// Refund gives back what a request took and did not use.
func (l *Limiter) Refund(workspace string, class document.Class, requests, tokens int) {
	l.bookMu.Lock()
	defer l.bookMu.Unlock()
	l.book.refund(workspace, class.Name, float64(requests), float64(tokens))
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
	l.bookMu.Lock()
	l.book.setMembers(now, alive)
	l.book.tick(now)
	urgent := l.book.urgent()
	l.bookMu.Unlock()
	if l.config.Gossip != nil && now.Sub(l.publishedAt) >= publishAfter(len(alive), urgent) {
		l.publishedAt = now
		l.publish(now)
	}
}

// publishAfter is how long a host waits between two publications.
func publishAfter(others int, urgent bool) time.Duration {
	wait := max(publishInterval, time.Duration(others)*publishPerHost)
	if urgent {
		return time.Duration(float64(wait) * urgentPart)
	}
	return wait
}

// publish tells the demand of this host; facts that are no longer needed are
// published empty.
func (l *Limiter) publish(now time.Time) {
	l.bookMu.Lock()
	claims := l.book.claims(now, maxClaims)
	l.bookMu.Unlock()
	chunk := 0
	for ; len(claims) > 0; chunk++ {
		count := min(claimsPerFact, len(claims))
		l.publishChunk(now, chunk, claims[:count])
		claims = claims[count:]
	}
	for ; chunk < len(l.told); chunk++ {
		l.publishChunk(now, chunk, nil)
	}
}

// withdraw tells the others at the end that this host asks for nothing more.
func (l *Limiter) withdraw() {
	if l.config.Gossip == nil {
		return
	}
	for chunk := range l.told {
		l.publishChunk(l.config.Now(), chunk, nil)
	}
}

// publishChunk publishes one fact unless it was told lately.
func (l *Limiter) publishChunk(now time.Time, chunk int, claims []claim) {
	payload, err := encodeClaims(claims)
	if err != nil {
		l.config.Logger.Error("demand not encoded", "error", err)
		return
	}
	if chunk == len(l.told) {
		l.told = append(l.told, told{})
	}
	last := &l.told[chunk]
	if bytes.Equal(last.payload, payload) && now.Sub(last.at) < repeatInterval {
		return
	}
	last.payload, last.at = payload, now
	if err := l.config.Gossip.Publish(factTopic, strconv.Itoa(chunk), payload); err != nil {
		l.config.Logger.Error("demand not published", "error", err)
	}
}

func (l *Limiter) hear(fact member.Fact) {
	claims, err := decodeClaims(fact.Payload)
	if err != nil {
		l.invalid.Inc()
		return
	}
	l.bookMu.Lock()
	defer l.bookMu.Unlock()
	l.book.hear(fact.From, fact.Key, claims)
}
