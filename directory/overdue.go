package directory

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/galenaseam/galenaseam/infra"
)

// overdueMargin is how much longer than its wait a call for changes may take until the store is
// asked on a new connection as well. A slow store answers within it.
const overdueMargin = 150 * time.Millisecond

// arrivalFraction of Config.MaxPropagationDelay is how long an answer may take from its first byte
// on until another one is asked for, which would share the link with it.
const arrivalFraction = 0.33

// changesAnswer is the result of Source.Changes.
type changesAnswer struct {
	items []Item
	asOf  infra.Position
	err   error
}

// isFinal reports whether another call for the same changes would not get a better answer.
func (a changesAnswer) isFinal() bool {
	return a.err == nil || errors.Is(a.err, ErrHistoryGone) || errors.Is(a.err, ErrUnreadable) || errors.Is(a.err, ErrWatchCut)
}

// awaitChanges waits up to wait for changes after the current position. Open connections to the
// store may fall silent for good while new ones work: if the answer is overdue, the changes up to
// now are asked for on a new connection too, and the first answer counts. The error is that of the
// last call that failed.
func (d *Directory) awaitChanges(ctx context.Context, wait time.Duration) ([]Item, infra.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan changesAnswer, 2) // of the call and the one on a new connection
	arriving := make(chan struct{}, 1)
	ask := func(wait time.Duration, onArrival func()) {
		items, asOf, err := d.config.Source.Changes(ctx, d.position(), wait, onArrival)
		answers <- changesAnswer{items, asOf, err}
	}
	go ask(wait, func() { arriving <- struct{}{} })
	overdue := time.NewTimer(wait + overdueMargin)
	defer overdue.Stop()
	for asked := 1; ; {
		select {
		case a := <-answers:
			if asked--; a.isFinal() || asked == 0 {
				return a.items, a.asOf, a.err
			}
		case <-arriving:
			d.countReceiving(1)
			defer d.countReceiving(-1)
			overdue.Reset(max(d.fractionOfMaxDelay(arrivalFraction), overdueMargin))
		case <-overdue.C:
			d.overdueAnswers.Inc()
			d.config.Logger.Info("answer of the store is overdue, asking on a new connection", "wait_ms", wait.Milliseconds())
			d.config.Source.Reconnect()
			asked++
			go ask(confirmWait, func() {})
		}
	}
}

// countReceiving adds to the number of answers of the store that are arriving.
func (d *Directory) countReceiving(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.receiving += n
}

func newOverdueCounter(registerer prometheus.Registerer) prometheus.Counter {
	return promauto.With(registerer).NewCounter(prometheus.CounterOpts{
		Name: "seam_store_answers_overdue_total", Help: "Calls for changes whose answer was overdue, so that the store was asked on a new connection.",
	})
}
