package policy

import (
	"cmp"
	"slices"

	"github.com/galenaseam/galenaseam/upstream"
)

// PoolStatus is the state of a pool on one host, for operators and metrics.
type PoolStatus struct {
	Pool      string        `json:"pool"`
	Upstreams int           `json:"upstreams"`
	InFlight  int           `json:"in_flight"`
	Limit     int           `json:"limit"`
	Queued    int           `json:"queued"`
	SetAside  []upstream.ID `json:"set_aside,omitempty"`
}

// Status returns the state of every pool, sorted by name.
func (c *Core) Status() []PoolStatus {
	all := make([]PoolStatus, 0, len(c.pools))
	for _, p := range c.pools {
		all = append(all, p.status())
	}
	slices.SortFunc(all, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	return all
}

func (p *pool) status() PoolStatus {
	status := PoolStatus{
		Pool: p.name, Upstreams: len(p.upstreams), InFlight: p.inFlight,
		Limit: p.limit.value(), Queued: p.queue.size,
	}
	for _, s := range p.upstreams {
		if len(s.setAsideClasses) > 0 {
			status.SetAside = append(status.SetAside, s.ID)
		}
	}
	return status
}
