// Package budget limits one host's calls to the platform's store to its share
// of the store's rate. Claims have the highest priority, then configuration, then
// everything else. While the store fails, calls back off with jitter. After an
// outage the rate rises gradually, so that the fleet does not overload the
// recovering store.
//
// A Budget holds the state that all priorities share; Budget.Store returns a
// wrapper for one priority. Budget.mu is the only lock and is never held during a
// store call.
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

// Settings configures a Budget. Zero fields take the values of DefaultSettings.
type Settings struct {
	// ReadsPerSecond and WritesPerSecond are the rates that the platform grants
	// to the whole fleet.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// BaseBackoff is the base of the exponential backoff: the pause after n
	// consecutive failures is BaseBackoff<<n, at most MaxBackoff, with jitter.
	BaseBackoff time.Duration
	MaxBackoff  time.Duration
	// RampUp is the time in which the rate rises to its full value after an
	// outage.
	RampUp time.Duration
}

// DefaultSettings returns the settings for a store that takes a few hundred
// writes per second.
func DefaultSettings() Settings {
	return Settings{
		ReadsPerSecond:  2000,
		WritesPerSecond: 300,
		BaseBackoff:     100 * time.Millisecond,
		MaxBackoff:      2 * time.Second,
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
	if s.BaseBackoff == 0 {
		s.BaseBackoff = d.BaseBackoff
	}
	if s.MaxBackoff == 0 {
		s.MaxBackoff = d.MaxBackoff
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

	mu                  sync.Mutex // guards the fields below
	hosts               int        // hosts that share the fleet's rates
	watches             int        // open watches of this host
	readLimiter         *rate.Limiter
	writeLimiter        *rate.Limiter
	consecutiveFailures int
	// retryAt is when the next call may be sent to a failing store.
	retryAt time.Time
	// recoveredAt is when a call first succeeded after the last outage; zero if
	// there was none.
	recoveredAt time.Time
}

// Config contains the settings and dependencies of a Budget. Now, Jitter and
// Registerer are optional.
type Config struct {
	Settings Settings
	Now      func() time.Time
	// Jitter randomizes a backoff pause; the default returns 0.5 to 1.5 times it.
	Jitter     func(time.Duration) time.Duration
	Registerer prometheus.Registerer
}

// New returns a budget for a fleet of one host. SetHosts sets the fleet's size.
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
		readLimiter:  rate.NewLimiter(1, initialBurst),
		writeLimiter: rate.NewLimiter(1, initialBurst),
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

// SetHosts sets the number of hosts that share the fleet's rates. Callers should
// include suspected hosts: with too low a number the host uses more than its
// share.
func (b *Budget) SetHosts(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(hosts, 1)
	b.updateRates()
}

// burstSeconds is the burst size, in seconds of the host's rate. With a dozen
// hosts in the fleet it is enough to read a shard's ring and segments.
const burstSeconds = 2.0

// minBurst is the smallest burst size. It lets a host with a very small share
// still read the head record and the ring of a shard.
const minBurst = 16

// initialBurst is larger than any burst size, so that a new limiter starts full
// whatever its burst size is later set to.
const initialBurst = 1 << 20

// updateRates sets the rates from the size of the fleet, the number of open
// watches and the time since the last outage. mu must be held.
func (b *Budget) updateRates() {
	share := 1 / float64(b.hosts)
	ramp := 1.0
	if !b.recoveredAt.IsZero() {
		ramp = min(float64(b.now().Sub(b.recoveredAt))/float64(b.settings.RampUp), 1)
		ramp = max(ramp, initialRampShare)
	}
	// Each open watch counts as one read per second.
	reads := max(b.settings.ReadsPerSecond*share-float64(b.watches), 1) * ramp
	b.setRate(b.readLimiter, reads)
	b.setRate(b.writeLimiter, b.settings.WritesPerSecond*share*ramp)
}

// initialRampShare is the share of the full rate that is allowed right after an
// outage.
const initialRampShare = 0.1

// setRate sets a limiter's rate and the burst size that goes with it.
func (b *Budget) setRate(l *rate.Limiter, perSecond float64) {
	now := b.now()
	l.SetLimitAt(now, rate.Limit(perSecond))
	l.SetBurstAt(now, max(int(perSecond*burstSeconds), minBurst))
}

// reservedBurst is the share of the burst that calls of a priority leave unused
// for calls of higher priority.
var reservedBurst = map[infra.Priority]float64{
	infra.PriorityClaim:  0,
	infra.PriorityConfig: 0.3,
	infra.PriorityOther:  0.6,
}

// admit admits one call and returns 0, or returns how long to wait before the
// next try. It returns infra.ErrUnavailable if the store is failing and must not
// be called now.
func (b *Budget) admit(p infra.Priority, write bool) (time.Duration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if b.consecutiveFailures > 0 {
		if now.Before(b.retryAt) {
			return 0, Error.Wrap(infra.ErrUnavailable)
		}
		// One call probes the store. The others fail until it has succeeded or
		// the next backoff has passed.
		b.retryAt = now.Add(b.backoff())
		return 0, nil
	}
	b.updateRates()
	limiter := b.readLimiter
	if write {
		limiter = b.writeLimiter
	}
	deficit := 1 + reservedBurst[p]*float64(limiter.Burst()) - limiter.TokensAt(now)
	if deficit <= 0 {
		limiter.AllowN(now, 1)
		return 0, nil
	}
	pause := time.Duration(deficit / float64(limiter.Limit()) * float64(time.Second))
	return max(pause, minPause), nil
}

// minPause keeps the wait of a call that was not admitted from being rounded down
// to 0, which means admitted.
const minPause = 100 * time.Microsecond

// backoff returns the pause for the current number of consecutive failures. mu
// must be held.
func (b *Budget) backoff() time.Duration {
	pause := b.settings.BaseBackoff << min(b.consecutiveFailures, 16)
	return b.jitter(min(pause, b.settings.MaxBackoff))
}

// wait waits until one call is admitted. It returns infra.ErrBudgetExhausted if
// ctx ends first or would end during the next pause, and infra.ErrUnavailable
// during the backoff of a failing store.
func (b *Budget) wait(ctx context.Context, p infra.Priority, write bool) error {
	for {
		pause, err := b.admit(p, write)
		if err != nil || pause == 0 {
			return b.countCall(p, err)
		}
		if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < pause {
			return b.countCall(p, Error.Wrap(infra.ErrBudgetExhausted))
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return b.countCall(p, Error.Wrap(infra.ErrBudgetExhausted))
		case <-timer.C:
		}
	}
}

// countCall counts a call as admitted or refused and returns err.
func (b *Budget) countCall(p infra.Priority, err error) error {
	counter := b.calls
	if err != nil {
		counter = b.refused
	}
	counter.WithLabelValues(priorityLabels[p]).Inc()
	return err
}

var priorityLabels = map[infra.Priority]string{
	infra.PriorityClaim:  "claim",
	infra.PriorityConfig: "config",
	infra.PriorityOther:  "other",
}

// recordResult updates the backoff and the ramp with the result of a call.
func (b *Budget) recordResult(err error) {
	failed := errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrUncertain)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case failed:
		b.consecutiveFailures++
		b.retryAt = b.now().Add(b.backoff())
	case b.consecutiveFailures >= outageThreshold:
		b.consecutiveFailures = 0
		b.recoveredAt = b.now()
	default:
		b.consecutiveFailures = 0
	}
}

// outageThreshold is the number of consecutive failures that count as an outage.
// Only a recovery from an outage ramps up the rate.
const outageThreshold = 3

// addWatches changes the number of open watches, for the next updateRates.
func (b *Budget) addWatches(change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watches += change
}
