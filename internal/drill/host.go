package drill

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/logfile"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/settings"
)

// entryHost is one seamd process.
type entryHost struct {
	*process
	name     string
	site     document.Site
	http     string
	link     string
	operator string
	// ready is the result of the balancer's last health check.
	ready atomic.Bool
	// killed reports that the drill killed the host, and draining that it sent
	// SIGTERM.
	killed   atomic.Bool
	draining atomic.Bool
	idle     usage
	// generation is the document generation that the host last reported.
	generation atomic.Uint64
}

// The drain settings of the hosts.
const (
	hostDrainDelay   = 500 * time.Millisecond
	hostDrainTimeout = 30 * time.Second
)

// addressesPerHost is the number of listening addresses of a host: for callers,
// for other hosts and for operators.
const addressesPerHost = 3

// reserveAddresses returns loopback addresses that no other host or process is given
// before the drill ends.
func (f *fleet) reserveAddresses() ([]string, error) {
	var addresses []string
	for range addressesPerHost {
		r, err := ports.Reserve()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		f.mu.Lock()
		f.reservations = append(f.reservations, r)
		f.mu.Unlock()
		addresses = append(addresses, r.Addr().String())
	}
	return addresses, nil
}

// logPath returns the path of a host's log.
func (f *fleet) logPath(name string) string { return filepath.Join(f.dir, name+".log") }

func (f *fleet) keyPath() string { return filepath.Join(f.dir, "fleet.key") }

// writeKey writes the file with the hosts' shared key.
func (f *fleet) writeKey() error {
	key := fmt.Sprintf("drill-key-of-%s-%016x%016x", f.deployment.Name, f.cfg.Seed, ^f.cfg.Seed)
	return Error.Wrap(os.WriteFile(f.keyPath(), []byte(key), 0o600))
}

// startHost starts a host in a slot and adds it to the host list.
func (f *fleet) startHost(ctx context.Context, slot int) (*entryHost, error) {
	addresses, err := f.reserveAddresses()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.hostsStarted++
	name := fmt.Sprintf("host-%d", f.hostsStarted)
	f.mu.Unlock()
	h := &entryHost{
		name: name, site: f.doc.Sites[slot%len(f.doc.Sites)],
		http: addresses[0], link: addresses[1], operator: addresses[2],
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := f.writeSettings(path, h); err != nil {
		return nil, err
	}
	h.process, err = startProcess(f.logPath(name), nil, f.cfg.Seamd, "-settings", path)
	if err != nil {
		return nil, err
	}
	return h, f.addToHostList(ctx, h)
}

// writeSettings writes a host's settings file.
func (f *fleet) writeSettings(path string, h *entryHost) error {
	s := settings.Default()
	s.Host = settings.Host{DataCentre: h.site.DataCentre, Region: h.site.Region}
	s.Listen = settings.Listen{HTTP: h.http, Link: h.link, Operator: h.operator}
	s.Platform.Store = []string{f.overview.Store}
	s.Platform.HostList = f.overview.HostList
	s.Platform.Weights = f.overview.Weights
	s.Fleet.KeyFile = f.keyPath()
	s.Drain = settings.Drain{Delay: settings.Duration(hostDrainDelay), Timeout: settings.Duration(hostDrainTimeout)}
	text, err := yaml.Marshal(s)
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(path, text, 0o600))
}

// addToHostList adds a host to the stand-in's host list.
func (f *fleet) addToHostList(ctx context.Context, h *entryHost) error {
	place := url.Values{"data_centre": {h.site.DataCentre}, "region": {h.site.Region}}
	return f.controlCall(ctx, http.MethodPut, "/hosts/"+h.link+"?"+place.Encode(), nil, nil)
}

// currentHosts returns the current host of each slot.
func (f *fleet) currentHosts() []*entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entryHost{}, f.hosts...)
}

// waitReady waits until every host is ready.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range f.currentHosts() {
		for !f.probe(ctx, h) {
			if err := sleep.For(ctx, probeInterval); err != nil {
				return Error.New("%s of %s is not ready; see its log in %s", h.name, f.deployment.Name, f.dir)
			}
			if !h.running() {
				return Error.New("%s of %s exited; see its log in %s: %s", h.name, f.deployment.Name, f.dir, logfile.LastLine(f.logPath(h.name)))
			}
		}
	}
	return nil
}

// Interval and timeout of health checks.
const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// probe checks a host's readiness as the balancer does, and stores the result.
func (f *fleet) probe(ctx context.Context, h *entryHost) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operator+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		h.ready.Store(false)
		return false
	}
	_ = resp.Body.Close() // only the status counts
	h.ready.Store(resp.StatusCode == http.StatusOK)
	return h.ready.Load()
}

// pickHost returns a ready host that is not being replaced, and its slot. It
// returns nil if that would leave no such host.
func (f *fleet) pickHost(target uint64) (*entryHost, int) {
	hosts := f.currentHosts()
	var candidates []int
	for slot, h := range hosts {
		if h.running() && !h.killed.Load() && !h.draining.Load() && h.ready.Load() {
			candidates = append(candidates, slot)
		}
	}
	const minRemaining = 1
	if len(candidates) <= minRemaining {
		return nil, 0
	}
	slot := candidates[target%uint64(len(candidates))]
	return hosts[slot], slot
}

// killHost kills a host and replaces it.
func (f *fleet) killHost(ctx context.Context, e Event) error {
	h, slot := f.pickHost(e.Target)
	if h == nil {
		return nil
	}
	f.logf("%s: killed", h.name)
	h.killed.Store(true)
	h.signal(syscall.SIGKILL)
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.replace(ctx, slot, h)
}

// drainHost stops a host gracefully and replaces it.
func (f *fleet) drainHost(ctx context.Context, e Event) error {
	h, slot := f.pickHost(e.Target)
	if h == nil {
		return nil
	}
	f.logf("%s: draining", h.name)
	h.draining.Store(true)
	h.signal(syscall.SIGTERM)
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.replace(ctx, slot, h)
}

// replace starts a new host in the slot and removes the old one from the host
// list.
func (f *fleet) replace(ctx context.Context, slot int, old *entryHost) error {
	next, err := f.startHost(ctx, slot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hosts[slot] = next
	f.replaced = append(f.replaced, old)
	f.mu.Unlock()
	f.logf("%s: replaces %s", next.name, old.name)
	return f.controlCall(ctx, http.MethodDelete, "/hosts/"+old.link, nil, nil)
}

// pauseHost pauses a host's process for the event's length.
func (f *fleet) pauseHost(ctx context.Context, e Event) error {
	h, _ := f.pickHost(e.Target)
	if h == nil {
		return nil
	}
	f.logf("%s: paused for %s", h.name, e.Length.Round(time.Millisecond))
	h.signal(syscall.SIGSTOP)
	err := sleep.For(ctx, e.Length)
	f.mu.Lock()
	f.pauseEnds = append(f.pauseEnds, time.Now())
	f.mu.Unlock()
	h.signal(syscall.SIGCONT)
	return err
}
