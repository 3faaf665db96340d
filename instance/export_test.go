package instance

import (
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// KeptNotices returns the number of notices of processes that are not listed.
func (t *Table) KeptNotices() int { return len(t.kept) }

// SetClock replaces the table's clock.
func (t *Table) SetClock(now func() time.Time) { t.now = now }

// MarkDataCentreCold is markDataCentreCold.
func (t *Table) MarkDataCentreCold(dc host.DataCentre, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markDataCentreCold(dc, now)
}
