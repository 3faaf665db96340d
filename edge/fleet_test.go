package edge_test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

// waitTimeout bounds every wait in these tests; conditions normally hold far sooner.
const waitTimeout = 10 * time.Second

// errNoReason stands for the error of a host that ended without one.
var errNoReason = errors.New("it returned no error")

// fleet runs a store, upstreams and hosts on loopback addresses.
type fleet struct {
	t       *testing.T
	store   *platformtest.Store
	retries retry.Bounds
	hosts   []*node
	ports   []*ports.Reservation // of all hosts
}

// node is a running host.
type node struct {
	*edge.Host
	settings  edge.Settings
	stop      context.CancelFunc
	result    chan error
	storeAddr netip.AddrPort
	log       *hostLog
	links     *upstreamLinks
}

// hostLog holds the lines that a host has logged.
type hostLog struct {
	mu    sync.Mutex
	lines []string
}

// count returns how many lines contain all of the given texts.
func (l *hostLog) count(texts ...string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, line := range l.lines {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			n++
		}
	}
	return n
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: platformtest.NewStore(), retries: retry.Bounds{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}}
	t.Cleanup(func() {
		for _, n := range f.hosts {
			n.stop()
		}
		for _, n := range f.hosts {
			require.NoError(t, <-n.result)
		}
		f.store.Close()
		for _, r := range f.ports {
			require.NoError(t, r.Release())
		}
	})
	return f
}

// reserveAddr returns an address that is reserved until all hosts have ended.
func (f *fleet) reserveAddr() netip.AddrPort {
	r, err := ports.Reserve()
	require.NoError(f.t, err)
	f.ports = append(f.ports, r)
	return r.Addr()
}

// start starts another host and waits until it is ready.
func (f *fleet) start() *node {
	n := f.startUnready(f.store.Addr())
	require.NoError(f.t, n.waitReady())
	return n
}

// waitReady waits until the host is ready. It returns the host's error at once if
// the host ends before.
func (n *node) waitReady() error {
	timeout := time.After(waitTimeout)
	for !n.Ready() {
		select {
		case err := <-n.result:
			return fmt.Errorf("host %q ended before it was ready: %w", n.settings.Name, cmp.Or(err, errNoReason))
		case <-timeout:
			return fmt.Errorf("host %q is not ready after %s", n.settings.Name, waitTimeout)
		case <-time.After(5 * time.Millisecond):
		}
	}
	return nil
}

// startUnready starts another host that uses the store at an address, and waits
// until it listens, but not until it is ready.
func (f *fleet) startUnready(store netip.AddrPort) *node {
	n, err := f.launch(f.newSettings(), store)
	require.NoError(f.t, err)
	return n
}

// startWith starts another host whose settings change has edited, without waiting
// until it is ready.
func (f *fleet) startWith(store netip.AddrPort, change func(*edge.Settings)) *node {
	s := f.newSettings()
	change(&s)
	n, err := f.launch(s, store)
	require.NoError(f.t, err)
	return n
}

// newSettings returns the settings of the next host.
func (f *fleet) newSettings() edge.Settings {
	s := edge.Settings{
		Name: fmt.Sprintf("entry-%d", len(f.hosts)), Place: host.Place{DataCentre: "riga-a", Region: "latvija"},
		CallerAddr: f.reserveAddr(), ReadinessAddr: f.reserveAddr(), PeerAddr: f.reserveAddr(),
		MetricsPort: f.reserveAddr().Port(),
		FleetKey:    []byte("test key of the fleet"), Grace: 6 * time.Second, DrainDelay: 300 * time.Millisecond,
		Retries: f.retries,
	}
	for _, other := range f.hosts {
		s.Seeds = append(s.Seeds, other.settings.PeerAddr)
	}
	return s
}

// launch starts a host and waits until it listens. It returns the host's error at
// once if the host ends before.
func (f *fleet) launch(s edge.Settings, store netip.AddrPort) (*node, error) {
	listening, log, links := make(chan struct{}), &hostLog{}, &upstreamLinks{}
	client := platform.NewStore(platform.StoreSettings{Addr: store}, 500*time.Millisecond)
	built, err := edge.New(s, edge.Platform{
		Codec: platform.HTTPCodec{}, Source: platform.Source{Store: client}, Format: platform.Format{},
		Stages:   func(t *transport.Client) staging.Caller { return platform.StageCalls{Transport: t} },
		Register: client.Register, Keep: client.Keep, KeepBriefly: client.KeepBriefly, Delete: client.Delete, MoveStore: client.MoveTo, Dial: links.dial,
	}, slog.New(slog.NewJSONHandler(testWriter{f.t, listening, log}, nil)), prometheus.NewRegistry())
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	n := &node{Host: built, settings: s, stop: stop, result: make(chan error, 1), storeAddr: store, log: log, links: links}
	f.hosts = append(f.hosts, n)
	go func() {
		n.result <- built.Run(ctx)
		close(n.result)
	}()
	select {
	case <-listening:
		return n, nil
	case err := <-n.result:
		return nil, fmt.Errorf("host %q ended before it listened: %w", s.Name, cmp.Or(err, errNoReason))
	case <-time.After(waitTimeout):
		return nil, fmt.Errorf("host %q does not listen %s after its start", s.Name, waitTimeout)
	}
}

// metricsAddr returns the address that serves the host's metrics.
func (n *node) metricsAddr() string {
	return netip.AddrPortFrom(n.settings.PeerAddr.Addr(), n.settings.MetricsPort).String()
}

// testWriter writes a host's log to the test's log, and closes listening once the
// host logs that it listens.
type testWriter struct {
	t         *testing.T
	listening chan struct{}
	log       *hostLog
}

func (w testWriter) Write(p []byte) (int, error) {
	w.log.mu.Lock()
	w.log.lines = append(w.log.lines, string(p))
	w.log.mu.Unlock()
	w.t.Log(strings.TrimSpace(string(p)))
	if strings.Contains(string(p), `"msg":"host started"`) {
		close(w.listening)
	}
	return len(p), nil
}

// configure writes a configuration with one route of each kind to the store,
// after change has edited it.
func (f *fleet) configure(version int, change func(config map[string]any)) {
	stages := []map[string]any{{"service": "pieces", "after": []int{}, "bytes": 100}, {"service": "pieces", "after": []int{0}, "bytes": 100}}
	route := func(prefix, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": strings.Trim(prefix, "/"), "host": "shop.example", "prefix": prefix, "type": kind, "timeout_ms": 3000,
			"goal_ms": 500, "priority": 1, "service": service, "max_attempts": 2, "public": false, "itl_target_ms": 100,
		}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	config := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("/read/", "safe", "plain", nil),
			route("/order/", "unsafe", "plain", nil),
			route("/talk/", "stream", "events", map[string]any{"resumable": true}),
			route("/tell/", "stream", "events", nil),
			route("/staged/", "stream", "events", map[string]any{"stages": stages, "resumable": true}),
		},
		"services": []map[string]any{
			{"name": "plain", "max_conns": 50}, {"name": "events", "max_conns": 50},
			{"name": "pieces", "max_conns": 50, "segments": map[string]any{
				"concurrency": 1, "queue": 2, "batch": 8, "call_ms": 20, "item_ms": 1, "headroom_mb": 10, "handle_s": 4,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "welders", "api_keys": []string{"key-of-welders"}}},
	}
	if change != nil {
		change(config)
	}
	raw, err := json.Marshal(config)
	require.NoError(f.t, err)
	f.store.Put("op/config", raw)
}

// upstream starts an upstream and registers it in the store.
func (f *fleet) upstream(u *platformtest.Upstream) *platformtest.Upstream {
	u.Zone = cmp.Or(u.Zone, "riga-a")
	u.Start()
	f.t.Cleanup(u.Close)
	u.Register(f.store, "ready")
	return u
}

// callerResponse is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error // of the request, or of reading its body
}

// send sends a request to a host as a caller would. header holds names and values of
// additional headers.
func (f *fleet) send(n *node, method, path, id string, header ...string) callerResponse {
	r, err := http.NewRequest(method, "http://"+n.settings.CallerAddr.String()+path, strings.NewReader("body of "+id))
	require.NoError(f.t, err)
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Authorization", "Bearer key-of-welders")
	given := make(map[string]bool) // a name that is given twice has two values
	for i := 0; i < len(header); i += 2 {
		if !given[header[i]] {
			r.Header.Del(header[i])
		}
		r.Header.Add(header[i], header[i+1])
		given[header[i]] = true
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// eventsOf returns the complete stream of n events that an upstream sends.
func eventsOf(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "id: %d\ndata: event %d\n\n", i, i)
	}
	return b.String()
}
