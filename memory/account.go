// Package memory keeps one account of the bytes that a host holds for its callers: heads,
// bodies, answers and the pieces of stages. A request that needs more than is left waits for a short time, while
// requests that make no progress are ended.
package memory

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// ErrFull means that the memory is taken by other requests.
var ErrFull = errs.New("memory is taken by other requests")

// Kind is what memory is held for.
type Kind uint8

// The kinds.
const (
	Head Kind = iota
	Body
	Answer
	Pieces // of stages: queued, running, and with their results
	kinds
)

// String returns the kind's name in metrics and logs.
func (k Kind) String() string { return [kinds]string{"head", "body", "answer", "pieces"}[k] }

const (
	// SmallBytes is the most that a holder may have in order to use the part of the memory
	// that is kept for small ones.
	SmallBytes = 16 << 10
	// evictInterval is how often a waiting request looks for holders that have stalled.
	evictInterval = 50 * time.Millisecond
	// minSearchInterval is the least time between two searches through all holders. Without it,
	// 500 requests that wait and 500 bodies that arrive would take more than a small host's
	// processor share.
	minSearchInterval = 10 * time.Millisecond
	// logInterval bounds the log to one line of each kind and reason in this time.
	logInterval = 10 * time.Second
)

// Account is the memory that may be held. It is safe for concurrent use.
type Account struct {
	large, total int64 // bytes for large holders, and for all together; 0 means no limit
	logger       *slog.Logger
	ended        *prometheus.CounterVec

	mu       sync.Mutex // guards the fields below
	held     int64
	evicting int64 // part of held whose holders have been told to end
	byKind   [kinds]int64
	holders  map[*Holder]struct{} // those that may be evicted
	queue    []*waiter            // large requests, in the order of their calls
	loggedAt map[string]time.Time
	// searchedAt is when evictFor last looked through the holders.
	searchedAt time.Time
}

// waiter is a request for memory that does not fit yet.
type waiter struct {
	holder  *Holder
	bytes   int64
	granted chan struct{}
}

// New returns an account of large bytes and of small bytes more, which only small holders
// may use. Without large bytes there is no limit. registerer may be nil.
func New(large, small int64, logger *slog.Logger, registerer prometheus.Registerer) *Account {
	a := &Account{large: large, total: large + small, logger: logger, holders: make(map[*Holder]struct{}), loggedAt: make(map[string]time.Time)}
	if large <= 0 {
		a.large, a.total = 0, 0
	}
	a.ended = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "seam_memory_ended_total", Help: "Requests that were ended or refused for want of memory, by what they held and reason.",
	}, []string{"kind", "reason"})
	if registerer == nil {
		return a
	}
	registerer.MustRegister(a.ended)
	for k := range kinds {
		registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "seam_held_bytes", Help: "Memory that is held for callers, by what it holds.", ConstLabels: prometheus.Labels{"kind": k.String()},
		}, func() float64 { return float64(a.Held(k)) }))
	}
	return a
}

// Large returns the bytes for large holders; 0 means no limit.
func (a *Account) Large() int64 { return a.large }

// Held returns the bytes that are held for a kind.
func (a *Account) Held(k Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byKind[k]
}

// Holder is the memory that one request holds for one purpose. The zero value must be
// initialised with Init.
type Holder struct {
	account *Account
	kind    Kind
	evict   func()

	// meter shows the progress of what the memory is held for.
	meter *Meter
	own   Meter

	// guarded by account.mu
	bytes   int64
	evicted bool
	freed   bool
}

// Init sets what the holder is for. evict must make the request end soon and must not block;
// it is called without locks.
func (h *Holder) Init(a *Account, kind Kind, evict func()) {
	h.account, h.kind, h.evict, h.meter = a, kind, evict, &h.own
}

// UseMeter makes another meter show the holder's progress.
func (h *Holder) UseMeter(m *Meter) { h.meter = m }

// MayEvict sets whether the holder may be ended when it makes no progress from now on.
func (h *Holder) MayEvict(may bool, now time.Time) {
	if may {
		h.meter.Start(now)
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if may && !h.freed {
		h.account.holders[h] = struct{}{}
	} else {
		delete(h.account.holders, h)
	}
}

// Progress records on the holder's own meter that bytes have moved.
func (h *Holder) Progress(bytes int, now time.Time) { h.own.Moved(bytes, now) }

// Evicted reports whether the account has ended the holder.
func (h *Holder) Evicted() bool {
	if h.account == nil {
		return false
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// fits reports whether a holder may have bytes more. The caller holds mu.
func (a *Account) fits(h *Holder, bytes int64) bool {
	if a.large == 0 || h.bytes+bytes <= SmallBytes {
		return a.large == 0 || a.held+bytes <= a.total
	}
	return a.held+bytes <= a.large
}

// add changes what a holder has. The caller holds mu.
func (a *Account) add(h *Holder, bytes int64) {
	h.bytes += bytes
	a.held += bytes
	a.byKind[h.kind] += bytes
	if h.evicted {
		a.evicting += bytes
	}
}

// TryGrow takes bytes more if they are free now. If they are not, it ends holders that have
// stalled, whose memory becomes free soon.
func (h *Holder) TryGrow(bytes int64, now time.Time) bool {
	a := h.account
	a.mu.Lock()
	granted := a.tryGrow(h, bytes)
	a.mu.Unlock()
	if !granted {
		a.evictFor(bytes, now)
	}
	return granted
}

// tryGrow takes bytes if they are free and no large request that waits would be passed. The
// caller holds mu.
func (a *Account) tryGrow(h *Holder, bytes int64) bool {
	isSmall := h.bytes+bytes <= SmallBytes
	if h.freed || !a.fits(h, bytes) || !isSmall && len(a.queue) > 0 {
		return false
	}
	a.add(h, bytes)
	return true
}

// Grow takes bytes more. It waits for at most a time until they are free, and returns ErrFull
// if that takes too long or ctx ends. Large requests are served in the order of their calls.
func (h *Holder) Grow(ctx context.Context, bytes int64, wait time.Duration) error {
	a := h.account
	a.mu.Lock()
	if a.tryGrow(h, bytes) {
		a.mu.Unlock()
		return nil
	}
	if freed := h.freed; freed || a.large > 0 && h.bytes+bytes > a.large {
		a.mu.Unlock()
		if !freed {
			a.note(h.kind, "refused")
		}
		return ErrFull
	}
	w := &waiter{holder: h, bytes: bytes, granted: make(chan struct{})}
	a.queue = append(a.queue, w)
	a.mu.Unlock()
	ticks, timeout := time.NewTicker(evictInterval), time.NewTimer(wait)
	defer ticks.Stop()
	defer timeout.Stop()
	for {
		a.evictFor(bytes, time.Now())
		select {
		case <-w.granted:
			return nil
		case <-ticks.C:
			continue
		case <-ctx.Done():
		case <-timeout.C:
		}
		if !a.leaveQueue(w) {
			return nil
		}
		if !errors.Is(ctx.Err(), context.Canceled) {
			a.note(h.kind, "refused")
		}
		return ErrFull
	}
}

// leaveQueue removes a waiter. It returns false if the waiter has been granted its bytes.
func (a *Account) leaveQueue(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, other := range a.queue {
		if other == w {
			a.queue = append(a.queue[:i:i], a.queue[i+1:]...)
			a.grant()
			return true
		}
	}
	return false
}

// grant serves waiters: small ones as soon as they fit, large ones in their order. The
// caller holds mu.
func (a *Account) grant() {
	kept, blocked := a.queue[:0], false
	for _, w := range a.queue {
		isSmall := w.holder.bytes+w.bytes <= SmallBytes
		if w.holder.freed || blocked && !isSmall || !a.fits(w.holder, w.bytes) {
			blocked = blocked || !isSmall && !w.holder.freed
			kept = append(kept, w)
			continue
		}
		a.add(w.holder, w.bytes)
		close(w.granted)
	}
	clear(a.queue[len(kept):])
	a.queue = kept
}

// Release gives back bytes.
func (h *Holder) Release(bytes int64) {
	if h.account == nil || bytes <= 0 {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.add(h, -min(bytes, h.bytes))
	h.account.grant()
}

// Bytes returns what the holder has.
func (h *Holder) Bytes() int64 {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.bytes
}

// Reset gives back everything. The holder can be used again.
func (h *Holder) Reset() { h.end(false) }

// Free gives back everything for good: the holder gets nothing more. Calling it again has no
// effect.
func (h *Holder) Free() { h.end(true) }

func (h *Holder) end(forGood bool) {
	if h.account == nil {
		return
	}
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.holders, h)
	a.add(h, -h.bytes)
	h.freed = h.freed || forGood
	a.grant()
}

// evictFor ends holders that have stalled until bytes, or the most that a request waits for, are
// free or about to be. It does nothing if it has just looked for such holders.
func (a *Account) evictFor(bytes int64, now time.Time) {
	a.mu.Lock()
	if since := now.Sub(a.searchedAt); a.large == 0 || since >= 0 && since < minSearchInterval {
		a.mu.Unlock()
		return
	}
	for _, w := range a.queue {
		bytes = max(bytes, w.bytes)
	}
	need := a.held - a.evicting + bytes - a.large
	if need <= 0 {
		a.mu.Unlock()
		return
	}
	a.searchedAt = now
	chosen := a.mark(chooseStalled(a.candidates(now), need))
	a.mu.Unlock()
	a.endAll(chosen)
}

// EndStalled ends at most n holders that have stalled, those that have longest.
func (a *Account) EndStalled(n int, now time.Time) {
	a.mu.Lock()
	chosen := stalled(a.candidates(now))
	chosen = a.mark(chosen[:min(n, len(chosen))])
	a.mu.Unlock()
	a.endAll(chosen)
}

// candidates returns the holders that may be evicted. The caller holds mu.
func (a *Account) candidates(now time.Time) []candidate {
	all := make([]candidate, 0, len(a.holders))
	for h := range a.holders {
		if !h.evicted {
			all = append(all, candidate{holder: h, bytes: h.bytes, idle: h.meter.idle(now)})
		}
	}
	return all
}

// mark marks holders as evicted. The caller holds mu.
func (a *Account) mark(chosen []candidate) []candidate {
	for _, c := range chosen {
		c.holder.evicted = true
		a.evicting += c.holder.bytes
	}
	return chosen
}

// endAll tells marked holders to end.
func (a *Account) endAll(chosen []candidate) {
	for _, c := range chosen {
		a.note(c.holder.kind, "stalled")
		c.holder.evict()
	}
}

// note counts an ended request and logs it, at most once in logInterval for each reason.
func (a *Account) note(k Kind, reason string) {
	a.ended.WithLabelValues(k.String(), reason).Inc()
	a.mu.Lock()
	now, key := time.Now(), k.String()+reason
	quiet := now.Sub(a.loggedAt[key]) < logInterval
	if !quiet {
		a.loggedAt[key] = now
	}
	held := a.held
	a.mu.Unlock()
	if !quiet {
		a.logger.Warn("request ended for want of memory", "kind", k.String(), "reason", reason, "held_bytes", held, "limit_bytes", a.total)
	}
}
