package edge

import (
	"context"
	"sync/atomic"

	"github.com/galenaseam/galenaseam/directory"
	"github.com/galenaseam/galenaseam/infra"
)

// directoryHostList lists the hosts in the directory for the membership. Building
// the directory takes the membership, so the directory is set afterwards.
type directoryHostList struct {
	directory atomic.Pointer[directory.Directory]
}

func (l *directoryHostList) setDirectory(d *directory.Directory) { l.directory.Store(d) }

// List returns the registered hosts, or none before the directory is set.
func (l *directoryHostList) List(ctx context.Context) ([]infra.Listing, error) {
	d := l.directory.Load()
	if d == nil {
		return nil, nil
	}
	return d.List(ctx)
}
