package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Bounds of the site that the case needs.
const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
)

const (
	// probeInterval is the time between two requests of one client to one host.
	probeInterval = 50 * time.Millisecond
	// clientMargin keeps requests out of the check that are sent just as a bound ends.
	clientMargin = 50 * time.Millisecond
	// settleTime is the time from the start to the first change. The hosts renew leases every 8 s.
	settleTime = 9 * time.Second
	// observeTime is how long clients send after the change.
	observeTime = 9 * time.Second
)

// probe is one request of a client.
type probe struct {
	host   string
	id     string
	path   string
	sentAt time.Time
	took   time.Duration
	status int
	body   string
	err    error
}

// staleConfig moves a route to another service and adds a route just after the open
// connections to the store have gone silent, and checks which configuration the hosts use.
func staleConfig(r *run) (held bool, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	proxy, err := newSilentProxy(store.Addr())
	if err != nil {
		return false, err
	}
	defer proxy.close()
	for _, service := range []string{"before", "after"} {
		for i := range 2 {
			u := (&platformtest.Upstream{
				ID: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: zones[i], Work: 5 * time.Millisecond,
				StartTime: time.Now().Add(-time.Minute),
			}).Start()
			defer u.Close()
			u.Register(store, "ready")
		}
	}
	keys := []string{"key-0"}
	moved, added := platformtest.Route{Prefix: "/moved/", Type: "unsafe", Service: "before"}, platformtest.Route{Prefix: "/added/", Type: "unsafe", Service: "after"}
	store.Configure(1, []platformtest.Route{moved}, keys)
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
	store.Configure(2, []platformtest.Route{moved}, append(keys, "key-1"))
	r.record.note("the operator has written version 2: one more key")
	time.Sleep(500 * time.Millisecond)

	silencedAt := time.Now()
	if r.trouble {
		r.record.note("%d open connections to the store go silent; new ones work", proxy.silence())
	}
	time.Sleep(500 * time.Millisecond)
	moved.Service = "after"
	store.Configure(3, []platformtest.Route{moved, added}, append(keys, "key-1"))
	acknowledgedAt := time.Now()
	r.record.note("the store has acknowledged version 3: /moved/ goes to the service after, /added/ is new")

	probes := observe(f, []string{"/moved/x", "/added/x"}, probeInterval, acknowledgedAt.Add(observeTime))
	boundAt := acknowledgedAt.Add(configApply)
	if inTouch := silencedAt.Add(stableWindow); inTouch.After(boundAt) {
		boundAt = inTouch
	}
	boundAt = boundAt.Add(clientMargin)
	r.record.note("requests sent from %.3f s on must be handled as version 3 says: the hosts are in touch, and config_apply_ms has passed", r.record.since(boundAt))
	held = true
	for _, p := range probes {
		verdict := "allowed"
		if p.sentAt.After(boundAt) && isStale(p) {
			held, verdict = false, "BROKEN: as only an older version allows"
		}
		r.record.noteAt(p.sentAt, "%s %s at %s: status %d %q after %d ms, error %v; %s", p.id, p.path, p.host, p.status, p.body, p.took.Milliseconds(), p.err, verdict)
	}
	return held, nil
}

// isStale reports whether a request was handled as only a version before the last one allows.
func isStale(p probe) bool {
	if p.path == "/added/x" {
		return p.status == http.StatusNotFound
	}
	return p.status == http.StatusOK && strings.Contains(p.body, "i-before-")
}

// observe sends requests with some paths to each host until a time, with pauses between those of
// one client.
func observe(f *fleet, paths []string, pause time.Duration, until time.Time) []probe {
	var (
		mu  sync.Mutex
		all []probe
		wg  sync.WaitGroup
	)
	for n, h := range f.hosts {
		for m, path := range paths {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 4}}
			wg.Go(func() {
				defer client.CloseIdleConnections()
				time.Sleep(time.Duration(n) * pause / time.Duration(len(f.hosts)))
				for i := 0; time.Now().Before(until); i++ {
					p := send(client, h, path, fmt.Sprintf("%02x%02x%012x", n, m, i))
					mu.Lock()
					all = append(all, p)
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	return all
}

// send sends one request to a host.
func send(client *http.Client, h *entryHost, path, id string) probe {
	p := probe{host: h.name, id: id, path: path, sentAt: time.Now()}
	request, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddr()+path, nil)
	if err != nil {
		p.err = err
		return p
	}
	request.Host = platformtest.Host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set("Deadline-Ms", strconv.Itoa(3000))
	request.Header.Set("Authorization", "Bearer key-0")
	answer, err := client.Do(request)
	p.took = time.Since(p.sentAt)
	if err != nil {
		p.err = err
		return p
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	p.status, p.body, p.err = answer.StatusCode, string(body), err
	return p
}
