// Package budget keeps one host's calls on the platform's store within its
// share of the store's rate. Claims go before configuration, and both before
// the rest. While the store fails, calls back off with jitter, and when it is
// back the rate rises step by step, so that the fleet does not stampede.
//
// A Budget holds the shared state; Store gives one wrapper for each priority.
// Lock order: Budget.mu is the only lock and is held during no call.
package budget

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/galenaseam/galenaseam/infra"
)

// Error is the class of every error this package returns.
var Error = errs.Class("budget")

// Settings tune a Budget. Zero fields take the defaults.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are the fleet's rates, as the platform
	// grants them.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// FirstBackoff is the pause after the first failure in a row; it doubles up
	// to LastBackoff.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
	// RampUp is how long the rate takes to rise to its full value after an
	// outage.
	RampUp time.Duration
}

// DefaultSettings returns the settings for a store of some hundred writes a
// second.
func DefaultSettings() Settings {
	return Settings{
		ReadsPerSecond:  2000,
		WritesPerSecond: 300,
		FirstBackoff:    100 * time.Millisecond,
		LastBackoff:     2 * time.Second,
		RampUp:          2 * time.Second,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.ReadsPerSecond == 0 {
		s.ReadsPerSecond = d.ReadsPerSecond
	}
	if s.WritesPerSecond == 0 {
		s.WritesPerSecond = d.WritesPerSecond
	}
	if s.FirstBackoff == 0 {
		s.FirstBackoff = d.FirstBackoff
	}
	if s.LastBackoff == 0 {
		s.LastBackoff = d.LastBackoff
	}
	if s.RampUp == 0 {
		s.RampUp = d.RampUp
	}
	return s
}

// Budget is one host's share of the store's rate. It is safe for concurrent
// use.
type Budget struct {
	settings Settings
	now      func() time.Time
	jitter   func(time.Duration) time.Duration
	calls    *prometheus.CounterVec
	refused  *prometheus.CounterVec

	mu       sync.Mutex // guards all below
	hosts    int
	watches  int
	reads    *rate.Limiter
	writes   *rate.Limiter
	failures int
	// retryAt is when the next call may try a store that fails.
	retryAt time.Time
	// backAt is when the store was first seen to answer after an outage.
	backAt time.Time
}

// Config is what a Budget is made of. Now, Jitter and Registerer may be left
// out.
type Config struct {
	Settings Settings
	Now      func() time.Time
	// Jitter spreads a pause.
	Jitter     func(time.Duration) time.Duration
	Registerer prometheus.Registerer
}

// New makes a budget for a fleet of one host; SetHosts tells the fleet's size.
func New(cfg Config) (*Budget, error) {
	b := &Budget{
		settings: cfg.Settings.withDefaults(),
		now:      cfg.Now,
		jitter:   cfg.Jitter,
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_store_calls_total", Help: "Calls on the platform's store, by priority.",
		}, []string{"priority"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_store_calls_refused_total", Help: "Calls on the store that the host's budget refused, by priority.",
		}, []string{"priority"}),
		reads:  rate.NewLimiter(1, fullBurst),
		writes: rate.NewLimiter(1, fullBurst),
	}
	if b.now == nil {
		b.now = time.Now
	}
	if b.jitter == nil {
		b.jitter = func(d time.Duration) time.Duration { return d/2 + rand.N(d) }
	}
	if cfg.Registerer != nil {
		for _, c := range []prometheus.Collector{b.calls, b.refused} {
			if err := cfg.Registerer.Register(c); err != nil {
				return nil, Error.Wrap(err)
			}
		}
	}
	b.SetHosts(1)
	return b, nil
}

// SetHosts tells the size of the fleet; the host's share follows. A host whose
// list is too short takes too much, so that callers should count suspects too.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
	b.adjust()
}

// burstSeconds is how many seconds' share may be used at once: enough of it at
// a dozen hosts to read a shard's ring and segments.
const burstSeconds = 2.0

// minBurst lets the smallest host still read its head record and its ring.
const minBurst = 16

// fullBurst is more than any burst: a new limiter starts full.
const fullBurst = 1 << 20

// adjust sets the rates from the fleet's size, the waiting watches and the time
// since an outage. mu must be held.
func (b *Budget) adjust() {
	share := 1 / float64(b.hosts)
	rising := 1.0
	if !b.backAt.IsZero() {
		rising = min(float64(b.now().Sub(b.backAt))/float64(b.settings.RampUp), 1)
		rising = max(rising, lowestShare)
	}
	// A watch that waits counts as a call on the store all the time.
	reads := max(b.settings.ReadsPerSecond*share-float64(b.watches), 1) * rising
	b.set(b.reads, reads)
	b.set(b.writes, b.settings.WritesPerSecond*share*rising)
}

// lowestShare is the part of the full rate right after an outage.
const lowestShare = 0.1

func (b *Budget) set(l *rate.Limiter, perSecond float64) {
	now := b.now()
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(int(perSecond*burstSeconds), minBurst))
}

// reserved is the part of the burst that each priority leaves to those before
// it.
var reserved = map[infra.Priority]float64{
	infra.PriorityClaim:  0,
	infra.PriorityConfig: 0.3,
	infra.PriorityOther:  0.6,
}

// admit takes one call from the budget, or says how long to wait for it. An
// error says that the store is not to be tried now.
func (b *Budget) admit(p infra.Priority, write bool) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.failures > 0 {
		if now.Before(b.retryAt) {
			return 0, Error.Wrap(infra.ErrUnavailable)
		}
		// One call tries the store; the others wait for what it finds.
		b.retryAt = now.Add(b.backoff())
		return 0, nil
	}
	b.adjust()
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	short := 1 + reserved[p]*float64(limiter.Burst()) - limiter.TokensAt(now)
	if short <= 0 {
		limiter.AllowN(now, 1)
		return 0, nil
	}
	pause := time.Duration(short / float64(limiter.Limit()) * float64(time.Second))
	return max(pause, shortestPause), nil
}

// shortestPause keeps a call that has no room from being taken for one that has.
const shortestPause = 100 * time.Microsecond

// backoff is the pause after the failures so far. mu must be held.
func (b *Budget) backoff() time.Duration {
	pause := b.settings.FirstBackoff << min(b.failures, 16)
	return b.jitter(min(pause, b.settings.LastBackoff))
}

// wait takes one call from the budget, waiting as long as ctx allows.
func (b *Budget) wait(ctx context.Context, p infra.Priority, write bool) error {
	for {
		pause, err := b.admit(p, write)
		if err != nil || pause == 0 {
			return b.counted(p, err)
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < pause {
			return b.counted(p, Error.Wrap(infra.ErrBudget))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return b.counted(p, Error.Wrap(infra.ErrBudget))
		case <-timer.C:
		}
	}
}

func (b *Budget) counted(p infra.Priority, err error) error {
	series := b.calls
	if err != nil {
		series = b.refused
	}
	series.WithLabelValues(priorityNames[p]).Inc()
	return err
}

var priorityNames = map[infra.Priority]string{
	infra.PriorityClaim:  "claim",
	infra.PriorityConfig: "config",
	infra.PriorityOther:  "other",
}

// report learns from a call's end whether the store answers.
func (b *Budget) report(err error) {
	failed := errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrUncertain)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case failed:
		b.failures++
		b.retryAt = b.now().Add(b.backoff())
	case b.failures >= outageFailures:
		b.failures = 0
		b.backAt = b.now()
	default:
		b.failures = 0
	}
}

// outageFailures is how many failures in a row count as an outage.
const outageFailures = 3

func (b *Budget) watching(change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches += change
}
