package tunnel

import (
	"maps"
	"net/netip"
	"sync"
	"time"
)

const (
	// trialInterval is the time between direct connections that are tried to an upstream
	// which is out of reach.
	trialInterval = 500 * time.Millisecond
	// downTime is how long no tunnel is tried to an upstream that other hosts could not
	// reach either.
	downTime = time.Second
	// verifyInterval is the time after a direct connection in which the host does not doubt
	// its own links, and the least time between doubts because of one upstream.
	verifyInterval = time.Second
	// minUpstreamsToJudge is how many upstreams must be out of reach, with no direct
	// connection in between, for the host to conclude that the fault is its own.
	minUpstreamsToJudge = 2
	// pathTTL is how long a path is kept that is not used.
	pathTTL = time.Minute
)

// path is what is known of the way to one upstream.
type path struct {
	// lost means that another host has connected to the upstream when this one could not.
	lost bool
	// triedAt is when a direct connection was last begun.
	triedAt time.Time
	// verifiedAt is when it was last found out whose fault a failure is.
	verifiedAt time.Time
	// downUntil is the end of the time in which no tunnel is tried.
	downUntil time.Time
	usedAt    time.Time
}

// paths decides how connections to upstreams are opened. Its methods take the time as an
// input and do no I/O. It is safe for concurrent use.
type paths struct {
	mu     sync.Mutex // guards the fields below
	byAddr map[netip.AddrPort]*path
	// lost are upstreams that another host reached when this one could not, since openedAt.
	lost map[netip.AddrPort]bool
	// openedAt is when a direct connection was last opened.
	openedAt time.Time
	prunedAt time.Time
}

func newPaths() *paths {
	return &paths{byAddr: make(map[netip.AddrPort]*path), lost: make(map[netip.AddrPort]bool)}
}

// plan is how a connection is opened. If both ways are tried, the first that connects is
// used. A way that is not planned is tried when the other has failed.
type plan struct {
	// direct begins a direct connection at once.
	direct bool
	// tunnelAfter is when a tunnel is tried as well, unless noTunnel is set.
	tunnelAfter time.Duration
	// noTunnel means that no tunnel is of use.
	noTunnel bool
}

// plan returns how to open a connection to an upstream.
func (p *paths) plan(addr netip.AddrPort, now time.Time) plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	way := p.path(addr, now)
	down := now.Before(way.downUntil)
	if down || !way.lost && !p.cutOff() {
		way.triedAt = now
		return plan{direct: true, tunnelAfter: tunnelDelay, noTunnel: down}
	}
	trial := now.Sub(way.triedAt) >= trialInterval
	if trial {
		way.triedAt = now
	}
	return plan{direct: trial}
}

// directOpened records that a direct connection was opened. It returns whether the
// upstream, or all, were out of reach before.
func (p *paths) directOpened(addr netip.AddrPort, now time.Time) (wasLost, wasCutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	way := p.path(addr, now)
	wasLost, wasCutOff = way.lost, p.cutOff()
	way.lost, way.downUntil = false, time.Time{}
	p.openedAt = now
	clear(p.lost)
	return wasLost, wasCutOff
}

// mustVerify reports whether to find out, through another host, whose fault it is that no
// direct connection could be opened for another host: this host may have no requests of its
// own that would tell.
func (p *paths) mustVerify(addr netip.AddrPort, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	way := p.path(addr, now)
	if now.Sub(p.openedAt) < verifyInterval || now.Sub(way.verifiedAt) < verifyInterval {
		return false
	}
	way.verifiedAt = now
	return true
}

// lose records that another host connected to an upstream to which this host could not. It
// returns whether the upstream was within reach before, and whether the host is now taken
// to have lost its links to all upstreams.
func (p *paths) lose(addr netip.AddrPort, now time.Time) (wasReached, isCutOff bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	way := p.path(addr, now)
	before := p.cutOff()
	wasReached = !way.lost
	way.lost = true
	p.lost[addr] = true
	return wasReached, !before && p.cutOff()
}

// down records that other hosts could not connect to an upstream either.
func (p *paths) down(addr netip.AddrPort, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path(addr, now).downUntil = now.Add(downTime)
}

// expected returns what a connection to an upstream for another host can be expected to
// come to.
func (p *paths) expected(addr netip.AddrPort, now time.Time) result {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.cutOff():
		return noPath
	case p.path(addr, now).lost:
		return unreachable
	}
	return connected
}

// lostCount returns how many upstreams are out of reach.
func (p *paths) lostCount() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, way := range p.byAddr {
		if way.lost {
			n++
		}
	}
	return n
}

// cutOff reports whether the host has lost its links to all upstreams. The caller holds mu.
func (p *paths) cutOff() bool { return len(p.lost) >= minUpstreamsToJudge }

// path returns what is known of the way to an upstream. The caller holds mu.
func (p *paths) path(addr netip.AddrPort, now time.Time) *path {
	way := p.byAddr[addr]
	if way == nil {
		way = &path{}
		p.byAddr[addr] = way
	}
	way.usedAt = now
	return way
}

// prune forgets paths that are not used. The caller holds mu.
func (p *paths) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pathTTL {
		return
	}
	p.prunedAt = now
	maps.DeleteFunc(p.byAddr, func(_ netip.AddrPort, way *path) bool { return now.Sub(way.usedAt) > pathTTL })
}
