package config

import (
	"context"
	"errors"

	"github.com/galenaseam/galenaseam/infra"
)

// Restore writes the snapshot in force on the Writer's host to a store that
// lost its head or came back with an older one. It makes no new generation. It
// returns ErrStaleStore if another host is known to serve a newer generation;
// restore from that host instead.
func (w *Writer) Restore(ctx context.Context) (Result, error) {
	floor := w.floor()
	served := w.servedSnapshot()
	if served == nil || served.Generation < floor {
		return Result{}, Error.Wrap(ErrStaleStore)
	}
	result := Result{Generation: served.Generation, Hash: served.Hash}
	h, version, err := w.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if h != nil {
		relation := compareHeads(served.head, h)
		if relation == headSame || relation == headDescendant {
			result.Repeated = true
			return result, nil
		}
	}
	if err := putObjects(ctx, w.cfg.Store, append(changedObjects(served.sections, Record{}), served.records...)); err != nil {
		return Result{}, err
	}
	_, err = w.cfg.Store.CompareAndSwap(ctx, headKey, version, encode(served.head), infra.NoLease)
	if err != nil && !errors.Is(err, infra.ErrConflict) {
		return Result{}, Error.Wrap(err)
	}
	if err != nil {
		return Result{}, Error.Wrap(ErrBusy)
	}
	w.cfg.Logger.Warn("configuration store restored from this host",
		"generation", uint64(result.Generation), "found", uint64(h.generation()))
	return result, nil
}
