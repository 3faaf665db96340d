package main

import (
	"fmt"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// drainTime is the bound drain_ms of the site.
	drainTime = 2 * time.Second
	// bookingInterval is the time between two requests of a host's client. All hosts together get
	// four a second.
	bookingInterval = 3 * time.Second
)

// staleEntry removes a server's entry from the store once the open connections to the store have
// been silent for so long that the hosts count as in touch, and checks how long the server gets
// requests. The server goes on serving.
func staleEntry(r *run) (held bool, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	proxy, err := newSilentProxy(store.Addr())
	if err != nil {
		return false, err
	}
	defer proxy.close()
	reached := &arrivals{}
	var servers []*slotServer
	for i := range 4 {
		s := &slotServer{id: fmt.Sprintf("i-orders-%d", i), service: "orders", zone: zones[i], work: 5 * time.Millisecond, arrivals: reached}
		if err := s.start(store, 6, 24); err != nil {
			return false, err
		}
		defer s.close()
		servers = append(servers, s)
	}
	route := []platformtest.Route{{Prefix: "/orders/", Type: "unsafe", Service: "orders"}}
	store.Configure(1, route, []string{"key-0"})
	f, err := newFleet(r.dir, siteHosts, proxy.addr())
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(r.ctx); err != nil {
		return false, err
	}
	r.record.note("%d hosts are ready", len(f.hosts))
	time.Sleep(settleTime)

	// Planned work: a change that all hosts apply. Afterwards their watches begin together.
	store.Configure(2, route, []string{"key-0", "key-1"})
	r.record.note("the operator has written version 2: one more key")
	time.Sleep(100 * time.Millisecond)
	silencedAt := time.Now()
	if r.trouble {
		r.record.note("%d open connections to the store go silent; new ones work", proxy.silence())
	}
	// The hosts are in touch again: the silence counts as a reset.
	time.Sleep(stableWindow + 100*time.Millisecond)
	leaving := servers[2].id
	servers[2].leaving.Store(true) // its answers say so from now on
	store.Delete("servers/" + leaving)
	acknowledgedAt := time.Now()
	r.record.note("the store has removed the entry of %s, which goes on serving for a while", leaving)

	probes := observe(f, []string{"/orders/1"}, bookingInterval, acknowledgedAt.Add(observeTime))
	boundAt := acknowledgedAt.Add(drainTime)
	if inTouch := silencedAt.Add(stableWindow); inTouch.After(boundAt) {
		boundAt = inTouch
	}
	boundAt = boundAt.Add(clientMargin)
	r.record.note("requests sent from %.3f s on must not reach %s: the hosts are in touch, and drain_ms has passed", r.record.since(boundAt), leaving)
	sentAt := make(map[string]probe)
	for _, p := range probes {
		sentAt[p.id] = p
		r.record.noteAt(p.sentAt, "%s sent to %s: status %d after %d ms, error %v", p.id, p.host, p.status, p.took.Milliseconds(), p.err)
	}
	held = true
	for _, a := range reached.list() {
		p := sentAt[a.id]
		verdict := "allowed"
		if a.server == leaving && p.sentAt.After(boundAt) {
			held, verdict = false, "BROKEN: the server has left"
		}
		r.record.noteAt(a.at, "%s sent to %s at %.3f s reaches %s, runs: %t; %s", a.id, p.host, r.record.since(p.sentAt), a.server, a.ran, verdict)
	}
	return held, nil
}
