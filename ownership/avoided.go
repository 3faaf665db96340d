package ownership

import (
	"maps"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// avoidDuration is how long a host that failed is avoided. By then the
// membership has found out whether it is alive.
const avoidDuration = 3 * time.Second

// Avoided is a set of hosts that failed and are avoided for a while. Its zero
// value is empty. It is safe for concurrent use.
type Avoided struct {
	mu    sync.Mutex // guards until
	until map[host.ID]time.Time
}

// Add makes a host avoided from now on.
func (a *Avoided) Add(id host.ID, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.until == nil {
		a.until = make(map[host.ID]time.Time)
	}
	maps.DeleteFunc(a.until, func(_ host.ID, until time.Time) bool { return now.After(until) })
	a.until[id] = now.Add(avoidDuration)
}

// Has reports whether a host is avoided.
func (a *Avoided) Has(id host.ID, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, there := a.until[id]
	return there && !now.After(until)
}

// Clear makes all hosts usable again.
func (a *Avoided) Clear() {
	a.mu.Lock()
	defer a.mu.Unlock()
	clear(a.until)
}
