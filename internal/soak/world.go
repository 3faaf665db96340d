package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Sizes of a run.
const (
	hostCount     = 3
	plainServers  = 3
	engineServers = 3
	pieceServers  = 2
	eventCount    = 12
)

// world is everything outside the hosts.
type world struct {
	store     *platformtest.Store
	upstreams []*platformtest.Upstream
	proxies   []*proxy
	hosts     []*hostProcess

	mu      sync.Mutex // guards what follows
	version int
	keys    []string
}

// newWorld starts the store, the upstreams and the hosts.
func newWorld(binary, dir string) (*world, error) {
	w := &world{store: platformtest.NewStore(), keys: []string{"key-0", "kept"}}
	if err := w.start(binary, dir); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// start starts the upstreams and the hosts.
func (w *world) start(binary, dir string) error {
	for service, n := range map[string]int{"plain": plainServers, "events": engineServers, platformtest.StageService: pieceServers} {
		for i := range n {
			u := &platformtest.Upstream{ID: fmt.Sprintf("%s-%d", service, i), Service: service, Zone: "riga-a", Work: 5 * time.Millisecond}
			if service == "events" {
				u.Events, u.EventPause = eventCount, 10*time.Millisecond
			}
			if err := w.add(u); err != nil {
				return err
			}
		}
	}
	w.configure()
	var seeds []netip.AddrPort
	for i := range hostCount {
		front := platformtest.NewTurnstile(w.store.Addr())
		s := platformtest.HostSettings{
			Name: fmt.Sprint("entry-", i), Callers: freeAddr(), Readiness: freeAddr(), Peers: freeAddr(),
			Seeds: seeds, Store: front.Addr(), GraceS: graceSeconds,
		}
		seeds = append(seeds, s.Peers)
		h, err := newHost(binary, dir, s, freeAddr().Port(), front)
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// freeAddr finds an address that is free for TCP and UDP; the zero address if
// there is none, which the host then refuses.
func freeAddr() netip.AddrPort {
	for range 50 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			continue
		}
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		_ = l.Close()
		if u, err := net.ListenPacket("udp4", addr.String()); err == nil {
			_ = u.Close()
			return addr
		}
	}
	return netip.AddrPort{}
}

// add starts an upstream behind a proxy and registers it.
func (w *world) add(u *platformtest.Upstream) error {
	u.Start()
	p, err := newProxy(u.Addr())
	if err != nil {
		return err
	}
	u.Public = p.addr()
	w.upstreams, w.proxies = append(w.upstreams, u), append(w.proxies, p)
	u.Register(w.store, "ready")
	return nil
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	w.store.Configure(w.version, []platformtest.Route{
		{Prefix: "/read/", Type: "safe", Service: "plain"},
		{Prefix: "/order/", Type: "unsafe", Service: "plain"},
		{Prefix: "/talk/", Type: "stream", Service: "events", Resumable: true},
		{Prefix: "/staged/", Type: "stream", Service: "events", Staged: true},
	}, w.keys)
}

// changeKeys takes the first key away and gives another.
func (w *world) changeKeys() {
	w.mu.Lock()
	w.keys = []string{fmt.Sprint("key-", w.version+1), "kept"}
	w.mu.Unlock()
	w.configure()
}

// pick returns a random element.
func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// calm ends every fault.
func (w *world) calm() {
	w.store.SetFault(nil)
	for _, h := range w.hosts {
		h.front.Turn(platformtest.FaultNone)
	}
	for i, u := range w.upstreams {
		u.Do()
		w.proxies[i].set(proxyState{})
	}
}

// close ends the hosts and everything else.
func (w *world) close() {
	for _, h := range w.hosts {
		h.mu.Lock()
		if h.command.Process != nil {
			_ = h.command.Process.Kill() // it may have ended
		}
		h.mu.Unlock()
		h.wait(5 * time.Second)
		_ = h.log.Close()
		h.front.Close()
	}
	for i, u := range w.upstreams {
		w.proxies[i].close()
		u.Close()
	}
	w.store.Close()
}
