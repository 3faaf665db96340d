package tunnel

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/ownership"
)

// peersMaxAge is how long a list of the other hosts is used, so that the members of a
// large fleet are not walked for every connection.
const peersMaxAge = 200 * time.Millisecond

// peers chooses hosts to open tunnels through. It is safe for concurrent use.
type peers struct {
	fleet   host.View
	avoided ownership.Avoided

	mu       sync.Mutex // guards the fields below
	alive    []host.Info
	listedAt time.Time
}

// choose returns a random host that is alive and was not tried, preferably one that is not
// avoided.
func (p *peers) choose(tried map[host.ID]bool, random *rand.Rand, now time.Time) (chosen host.Info, found bool) {
	all := p.list(now)
	for _, i := range random.Perm(len(all)) {
		switch peer := all[i]; {
		case tried[peer.ID]:
		case !p.avoided.Has(peer.ID, now):
			return peer, true
		default:
			chosen, found = peer, true
		}
	}
	return chosen, found
}

// list returns the other hosts that are alive.
func (p *peers) list(now time.Time) []host.Info {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.listedAt) < peersMaxAge {
		return p.alive
	}
	self := p.fleet.Self().ID
	p.listedAt, p.alive = now, nil
	for _, m := range p.fleet.Members() {
		if m.State == host.Alive && m.ID != self {
			p.alive = append(p.alive, m.Info)
		}
	}
	return p.alive
}
