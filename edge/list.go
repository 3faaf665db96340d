package edge

import (
	"context"
	"sync/atomic"

	"github.com/galenaseam/galenaseam/directory"
	"github.com/galenaseam/galenaseam/infra"
)

// lateList gives the membership the directory's hosts. The directory needs the
// membership first, so it is set later.
type lateList struct {
	directory atomic.Pointer[directory.Directory]
}

func (l *lateList) set(d *directory.Directory) { l.directory.Store(d) }

// List returns the hosts that are registered.
func (l *lateList) List(ctx context.Context) ([]infra.Listing, error) {
	d := l.directory.Load()
	if d == nil {
		return nil, nil
	}
	return d.List(ctx)
}
