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

// The writer's retries.
const (
	maxTries     = 64
	minRetryWait = 5 * time.Millisecond
	maxRetryWait = 500 * time.Millisecond
)

// InForce is what a host holds already; a Syncer gives it.
type InForce interface {
	// Current returns what the host serves; nil for nothing yet.
	Current() *Snapshot
	// Floor returns the newest generation that the host has heard of.
	Floor() Generation
}

// WriterConfig is what a Writer works with.
type WriterConfig struct {
	Store infra.Store
	// InForce guards against a store that has fallen back; nil for a program
	// that runs on no host.
	InForce InForce
	Logger  *slog.Logger
	// Registerer takes the metrics; nil for none.
	Registerer prometheus.Registerer
	// Now is the clock that accepted changes are stamped by; nil for time.Now.
	Now func() time.Time
}

// Writer accepts changes of the document. It is safe for concurrent use, and
// any number of hosts may run one at once.
type Writer struct {
	cfg     WriterConfig
	objects source
	metrics *writerMetrics
	// last is the newest document that a change was checked against.
	last atomic.Pointer[Snapshot]
}

// NewWriter makes a Writer.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Writer{cfg: cfg, objects: storeSource{cfg.Store}, metrics: newWriterMetrics(cfg.Registerer)}
}

// Apply accepts a change, or says why not: *InvalidError, *ForbiddenError,
// *ConflictError, ErrStaleStore, ErrUnknownGeneration, ErrBusy, ErrUnavailable
// (surely not accepted) or ErrUncertain.
func (w *Writer) Apply(ctx context.Context, e Edit) (Result, error) {
	if e.OperationID == "" || len(e.Sections) == 0 {
		return Result{}, Error.New("an edit needs an operation ID and sections")
	}
	c := &change{writer: w, edit: e, since: e.Base}
	result, err := c.run(ctx)
	w.report(c, result, err)
	return result, err
}

// Create accepts the first document of a store that has none. It returns
// ErrStaleStore when hosts hold a document.
func (w *Writer) Create(ctx context.Context, operationID string, bodies document.Bodies, reason string) (Result, error) {
	c := &change{writer: w, first: true, edit: Edit{OperationID: operationID, Sections: bodies, Reason: reason}}
	result, err := c.run(ctx)
	w.report(c, result, err)
	return result, err
}

// report logs and counts one decision.
func (w *Writer) report(c *change, result Result, err error) {
	w.metrics.decided(err)
	attrs := []any{
		"operation", c.edit.OperationID, "team", c.team, "sections", c.edit.sections(),
		"base", uint64(c.edit.Base), "reason", c.edit.Reason,
	}
	if err != nil {
		w.cfg.Logger.Warn("configuration change refused", append(attrs, "cause", causeOf(err), "error", err.Error())...)
		return
	}
	w.cfg.Logger.Info("configuration change accepted",
		append(attrs, "generation", uint64(result.Generation), "already", result.Already)...)
}

// causeOf names an outcome for logs and metrics.
func causeOf(err error) string {
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

// readHead reads the head; nil when the store has none.
func (w *Writer) readHead(ctx context.Context) (*head, infra.Version, error) {
	entry, err := w.cfg.Store.Get(ctx, headKey)
	if err != nil || entry.Version == infra.NoVersion {
		return nil, infra.NoVersion, Error.Wrap(err)
	}
	h, err := decodeHead(entry.Value)
	return h, entry.Version, err
}

// inForce returns what the writer's host serves; nil for nothing.
func (w *Writer) inForce() *Snapshot {
	if w.cfg.InForce == nil {
		return nil
	}
	return w.cfg.InForce.Current()
}

// floor returns the newest generation that the writer's host has heard of.
func (w *Writer) floor() Generation {
	if w.cfg.InForce == nil {
		return 0
	}
	return w.cfg.InForce.Floor()
}

// guard refuses a head that is not a continuation of what hosts hold. before
// is the floor as it was before the head was read: a head below it is surely
// old. One that is only below the floor of now may have moved on since, or the
// store may have fallen back before it was read; the next try tells.
func (w *Writer) guard(ctx context.Context, h *head, before Generation) error {
	if h.generation() < before {
		return Error.Wrap(ErrStaleStore)
	}
	if h.generation() < w.floor() {
		return errAgain
	}
	if h == nil {
		return nil
	}
	seen, err := judgeFully(ctx, headOf(w.inForce()), h, w.objects)
	if err == nil && (seen == verdictFork || seen == verdictOlder) {
		err = Error.Wrap(ErrStaleStore)
	}
	return err
}

// sleep waits about as long as the try asks for, or until ctx ends.
func sleep(ctx context.Context, try int) error {
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
