package directory

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/infra"
)

// confirmer serializes the calls of Confirm, so that callers at the same time share one
// call to the store.
type confirmer struct {
	turn chan struct{} // holds one token, taken by the caller that may call the store
	// sent is when the newest successful call was sent. Whoever has the token may use it.
	sent time.Time
}

func newConfirmer() confirmer {
	c := confirmer{turn: make(chan struct{}, 1)}
	c.turn <- struct{}{}
	return c
}

// Confirm returns nil once this copy has every change that the store had acknowledged when
// Confirm was called. Without it, a host that is out of touch with the store can't know
// that it lacks changes.
func (d *Directory) Confirm(ctx context.Context) error {
	called := time.Now()
	select {
	case <-d.confirmer.turn:
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
	defer func() { d.confirmer.turn <- struct{}{} }()
	if d.confirmer.sent.After(called) {
		return nil
	}
	sent := time.Now()
	if err := d.readChanges(ctx); err != nil {
		return err
	}
	d.confirmer.sent = sent
	return nil
}

// readChanges makes one call to the store for the changes up to now and applies them.
func (d *Directory) readChanges(ctx context.Context) error {
	if d.position() == (infra.Position{}) {
		return Error.New("the store was not read yet")
	}
	items, asOf, err := d.awaitChanges(ctx, confirmWait)
	if err != nil {
		return Error.Wrap(err)
	}
	now := time.Now()
	d.recordAnswer(now)
	if !d.applyChanges(items, asOf, now) {
		return Error.New("the store is in era %d, this host in another", asOf.Era)
	}
	if len(items) > 0 {
		d.publishPosition()
	}
	return nil
}
