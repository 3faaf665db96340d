package drill

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/galenaseam/galenaseam/document"
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
	// ready is what the balancer last saw.
	ready atomic.Bool
	// killed says that the drill killed it, draining that it was told to end.
	killed   atomic.Bool
	draining atomic.Bool
	idle     usage
	// generation is the newest that the host said it has in force.
	generation atomic.Uint64
}

// The settings of a drill's hosts.
const (
	hostDrainDelay   = 500 * time.Millisecond
	hostDrainTimeout = 30 * time.Second
)

// addresses holds a host's three listeners open until it has chosen its ports.
const addressesOfHost = 3

// Ports for hosts lie below those that the system gives to outgoing
// connections, which could take one between the check and the host's start.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// nextPort is the port to try next. Drills in other processes begin elsewhere.
var nextPort atomic.Int64

// freeAddresses returns loopback addresses that were free a moment ago and that
// no other host of this process was given.
func freeAddresses() ([]string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid()))
	var addresses []string
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		addresses = append(addresses, ln.Addr().String())
		if err := ln.Close(); err != nil {
			return nil, Error.Wrap(err)
		}
		if len(addresses) == addressesOfHost {
			return addresses, nil
		}
	}
	return nil, Error.New("no free ports")
}

func (f *fleet) keyPath() string { return filepath.Join(f.dir, "fleet.key") }

// writeKey writes the key that the hosts share.
func (f *fleet) writeKey() error {
	key := fmt.Sprintf("drill-key-of-%s-%016x%016x", f.deployment.Name, f.cfg.Seed, ^f.cfg.Seed)
	return Error.Wrap(os.WriteFile(f.keyPath(), []byte(key), 0o600))
}

// startHost starts a host in a slot and lists it.
func (f *fleet) startHost(ctx context.Context, slot int) (*entryHost, error) {
	addresses, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started++
	name := fmt.Sprintf("host-%d", f.started)
	f.mu.Unlock()
	h := &entryHost{
		name: name, site: f.doc.Sites[slot%len(f.doc.Sites)],
		http: addresses[0], link: addresses[1], operator: addresses[2],
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := f.writeSettings(path, h); err != nil {
		return nil, err
	}
	h.process, err = startProcess(filepath.Join(f.dir, name+".log"), nil, f.cfg.Seamd, "-settings", path)
	if err != nil {
		return nil, err
	}
	return h, f.list(ctx, h)
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

// list puts a host on the host list.
func (f *fleet) list(ctx context.Context, h *entryHost) error {
	place := url.Values{"data_centre": {h.site.DataCentre}, "region": {h.site.Region}}
	return f.controlCall(ctx, http.MethodPut, "/hosts/"+h.link+"?"+place.Encode(), nil, nil)
}

// living returns the hosts in the slots.
func (f *fleet) living() []*entryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*entryHost{}, f.hosts...)
}

// waitReady waits until every host takes work.
func (f *fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startPatience)
	defer cancel()
	for _, h := range f.living() {
		for !f.probe(ctx, h) {
			if err := sleep.For(ctx, probeEvery); err != nil {
				return Error.New("%s of %s is not ready; see its log in %s", h.name, f.deployment.Name, f.dir)
			}
			if !h.running() {
				return Error.New("%s of %s ended; see its log in %s", h.name, f.deployment.Name, f.dir)
			}
		}
	}
	return nil
}

// The balancer's health checks.
const (
	probeEvery   = 100 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// probe asks a host whether it takes work, as the balancer does.
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

// pick returns a host that is not being replaced, and its slot, or nil when
// too few would be left.
func (f *fleet) pick(target uint64) (*entryHost, int) {
	hosts := f.living()
	var free []int
	for slot, h := range hosts {
		if h.running() && !h.killed.Load() && !h.draining.Load() && h.ready.Load() {
			free = append(free, slot)
		}
	}
	const mustStay = 1
	if len(free) <= mustStay {
		return nil, 0
	}
	slot := free[target%uint64(len(free))]
	return hosts[slot], slot
}

// killHost kills a host without warning and puts another in its place.
func (f *fleet) killHost(ctx context.Context, e Event) error {
	h, slot := f.pick(e.Target)
	if h == nil {
		return nil
	}
	f.say("%s: killed", h.name)
	h.killed.Store(true)
	h.signal(syscall.SIGKILL)
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.replace(ctx, slot, h)
}

// drainHost ends a host gracefully and puts another in its place.
func (f *fleet) drainHost(ctx context.Context, e Event) error {
	h, slot := f.pick(e.Target)
	if h == nil {
		return nil
	}
	f.say("%s: told to end", h.name)
	h.draining.Store(true)
	h.signal(syscall.SIGTERM)
	if err := sleep.For(ctx, e.Length); err != nil {
		return err
	}
	return f.replace(ctx, slot, h)
}

// replace starts a host in place of another and takes that off the list.
func (f *fleet) replace(ctx context.Context, slot int, old *entryHost) error {
	next, err := f.startHost(ctx, slot)
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.hosts[slot] = next
	f.past = append(f.past, old)
	f.mu.Unlock()
	f.say("%s: in place of %s", next.name, old.name)
	return f.controlCall(ctx, http.MethodDelete, "/hosts/"+old.link, nil, nil)
}

// pauseHost stops a host's process for a while.
func (f *fleet) pauseHost(ctx context.Context, e Event) error {
	h, _ := f.pick(e.Target)
	if h == nil {
		return nil
	}
	f.say("%s: paused for %s", h.name, e.Length.Round(time.Millisecond))
	h.signal(syscall.SIGSTOP)
	err := sleep.For(ctx, e.Length)
	f.mu.Lock()
	f.resumed = append(f.resumed, time.Now())
	f.mu.Unlock()
	h.signal(syscall.SIGCONT)
	return err
}
