package config

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/infra"
)

// Limits of a Writer's retries.
const (
	maxTries     = 64
	minRetryWait = 5 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
)

// HostState is what a Writer knows of its host and the fleet. Syncer
// implements it.
type HostState interface {
	// Current returns the snapshot that the host serves, or nil.
	Current() *Snapshot
	// Floor returns the newest generation that the host knows to be served
	// anywhere.
	Floor() Generation
}

// WriterConfig configures a Writer.
type WriterConfig struct {
	Store infra.Store
	// HostState detects a store that has returned to an older state. It is nil
	// in a program that runs on no host.
	HostState HostState
	Logger    *slog.Logger
	// Registerer registers the metrics; nil for none.
	Registerer prometheus.Registerer
	// Now is the clock for the times of acceptance; nil for time.Now.
	Now func() time.Time
}

// Writer accepts changes to the document. It is safe for concurrent use, and
// any number of hosts may run one at the same time.
type Writer struct {
	cfg     WriterConfig
	objects objectSource
	metrics *writerMetrics
	// lastLoaded is the document last loaded to check a change against.
	lastLoaded atomic.Pointer[Snapshot]
}

// NewWriter returns a Writer.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Writer{cfg: cfg, objects: storeSource{cfg.Store}, metrics: newWriterMetrics(cfg.Registerer)}
}

// Apply accepts a change or returns the reason for its refusal: *InvalidError,
// *ForbiddenError, *ConflictError, ErrStaleStore, ErrUnknownGeneration,
// ErrBusy, ErrUnavailable (certainly not accepted) or ErrUncertain.
func (w *Writer) Apply(ctx context.Context, e Edit) (Result, error) {
	if e.OperationID == "" || len(e.Sections) == 0 {
		return Result{}, Error.New("an edit needs an operation ID and sections")
	}
	c := &change{writer: w, edit: e, since: e.Base}
	result, err := c.run(ctx)
	w.recordOutcome(c, result, err)
	return result, err
}

// Create stores the first document in an empty store. It returns ErrStaleStore
// if hosts already serve a document.
func (w *Writer) Create(ctx context.Context, operationID string, bodies document.Bodies, reason string) (Result, error) {
	c := &change{writer: w, create: true, edit: Edit{OperationID: operationID, Sections: bodies, Reason: reason}}
	result, err := c.run(ctx)
	w.recordOutcome(c, result, err)
	return result, err
}

// recordOutcome logs and counts the outcome of a change.
func (w *Writer) recordOutcome(c *change, result Result, err error) {
	w.metrics.countOutcome(err)
	attrs := []any{
		"operation", c.edit.OperationID, "team", c.team, "sections", c.edit.sectionNames(),
		"base", uint64(c.edit.Base), "reason", c.edit.Reason,
	}
	if err != nil {
		w.cfg.Logger.Warn("configuration change refused", append(attrs, "cause", outcomeOf(err), "error", err.Error())...)
		return
	}
	w.cfg.Logger.Info("configuration change accepted",
		append(attrs, "generation", uint64(result.Generation), "already", result.Repeated)...)
}

// outcomeOf returns the name of an outcome in logs and metrics.
func outcomeOf(err error) string {
	var invalid *InvalidError
	var forbidden *ForbiddenError
	var conflict *ConflictError
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &invalid):
		return "invalid"
	case errors.As(err, &forbidden):
		return "forbidden"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, ErrStaleStore):
		return "stale_store"
	case errors.Is(err, ErrUncertain):
		return "uncertain"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	}
	return "other"
}

// readHead reads the head, which is nil if the store has none.
func (w *Writer) readHead(ctx context.Context) (*head, infra.Version, error) {
	entry, err := w.cfg.Store.Get(ctx, headKey)
	if err != nil || entry.Version == infra.NoVersion {
		return nil, infra.NoVersion, Error.Wrap(err)
	}
	h, err := decodeHead(entry.Value)
	return h, entry.Version, err
}

// servedSnapshot returns what the Writer's host serves, or nil.
func (w *Writer) servedSnapshot() *Snapshot {
	if w.cfg.HostState == nil {
		return nil
	}
	return w.cfg.HostState.Current()
}

// floor returns the newest generation that the Writer's host knows of.
func (w *Writer) floor() Generation {
	if w.cfg.HostState == nil {
		return 0
	}
	return w.cfg.HostState.Floor()
}

// guard refuses a head that does not continue what hosts serve. floorBefore is
// the floor from before the head was read: a head below it is certainly stale.
// If only the current floor is above the head, then either the head has moved
// on since it was read, or the store had returned to an older state before.
// The next attempt tells which.
func (w *Writer) guard(ctx context.Context, h *head, floorBefore Generation) error {
	if h.generation() < floorBefore {
		return Error.Wrap(ErrStaleStore)
	}
	if h.generation() < w.floor() {
		return errHeadMoved
	}
	if h == nil {
		return nil
	}
	relation, err := compareHeadsWithHistory(ctx, headOf(w.servedSnapshot()), h, w.objects)
	if err == nil && (relation == headFork || relation == headOlder) {
		err = Error.Wrap(ErrStaleStore)
	}
	return err
}

// sleepBackoff waits for the jittered, exponentially growing delay of an
// attempt, or until ctx ends.
func sleepBackoff(ctx context.Context, try int) error {
	longest := min(minRetryWait<<min(try, 10), maxRetryWait)
	timer := time.NewTimer(longest/2 + rand.N(longest/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
