package edge_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

func TestGracefulShutdownCompletesRequestsInFlight(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 20, EventPause: 50 * time.Millisecond})
	f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain", Work: 700 * time.Millisecond})
	n := f.start()
	answers := make(chan callerResponse, 2)
	go func() { answers <- f.send(n, http.MethodPost, "/tell/1", "r1") }()
	go func() { answers <- f.send(n, http.MethodPost, "/order/1", "r2") }()
	time.Sleep(200 * time.Millisecond)
	n.stop()
	require.Eventually(t, func() bool { return !n.Ready() }, time.Second, time.Millisecond)
	for range 2 {
		got := <-answers
		require.NoError(t, got.err)
		require.Equal(t, http.StatusOK, got.status)
	}
	require.NoError(t, <-n.result)
}

// Guards against requests that a stopping host has read and ends without an answer, wherever
// they wait at the end of its grace period.
func TestStoppingHostAnswersWhatItDoesNotFinish(t *testing.T) {
	t.Parallel()
	const long = 10 * time.Second
	for name, c := range map[string]struct {
		path      string
		slow      *platformtest.Upstream
		late      bool // the request arrives while the host drains
		status    int
		fault     platformtest.UpstreamFault
		neverRuns bool
	}{
		"stage call":             {path: "/staged/1", slow: &platformtest.Upstream{ID: "slow", Service: "pieces", Work: long}, status: http.StatusServiceUnavailable, neverRuns: true},
		"stage call, late":       {path: "/staged/1", slow: &platformtest.Upstream{ID: "slow", Service: "pieces", Work: long}, late: true, status: http.StatusServiceUnavailable, neverRuns: true},
		"call that may run once": {path: "/order/1", slow: &platformtest.Upstream{ID: "slow", Service: "plain", Work: long}, status: http.StatusBadGateway},
		"repeatable call":        {path: "/read/1", slow: &platformtest.Upstream{ID: "slow", Service: "plain", Work: long}, late: true, status: http.StatusBadGateway},
		"silent stream":          {path: "/talk/1", slow: &platformtest.Upstream{ID: "slow", Service: "events", Events: 3}, fault: platformtest.Hang, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, func(config map[string]any) {
				for _, r := range config["routes"].([]map[string]any) {
					r["timeout_ms"], r["goal_ms"] = 20_000, 5_000
				}
			})
			events := f.upstream(&platformtest.Upstream{ID: "events", Service: "events", Events: 3})
			slow := f.upstream(c.slow)
			slow.QueueFaults(c.fault, c.fault)
			if c.slow.Service == "events" {
				f.store.Delete("servers/events")
			}
			n := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.Grace, s.DrainDelay = 2*time.Second, time.Second })
			require.NoError(t, n.waitReady())
			answer := make(chan callerResponse, 1)
			send := func() {
				answer <- f.send(n, http.MethodPost, c.path, "r1", "Deadline-Ms", "20000", "Chunks", "1,1", "Chunk-Key", "k")
			}
			if !c.late {
				go send()
				time.Sleep(300 * time.Millisecond)
			}
			n.stop()
			if c.late {
				time.Sleep(300 * time.Millisecond)
				go send()
			}
			got := <-answer
			require.NoError(t, got.err, "the connection is closed without an answer")
			require.Equal(t, c.status, got.status)
			require.Equal(t, c.neverRuns, got.header.Get("Retry-After") != "")
			require.NoError(t, <-n.result)
			if c.neverRuns {
				require.Empty(t, events.Runs())
			}
		})
	}
}

// Guards against requests that a stopping host takes late, passes on and then ends, and against
// bodies that it waits for until it closes their connections without an answer. The grace period is
// 3 s, of which requests are served for 2.4 s; the load balancer sends connections for one more
// second.
func TestStoppingHostRefusesWhatComesTooLate(t *testing.T) {
	t.Parallel()
	const whole, part = "content-length: 4\r\n\r\nbody", "content-length: 4\r\n\r\nbo"
	for name, c := range map[string]struct {
		path, rest string
		after      time.Duration // from SIGTERM to the request, on a connection that was in use before
		status     int
		runs       int
	}{
		"stream":                       {"/talk/1", whole, 1400 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"stream that may run once":     {"/tell/1", whole, 1400 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"call that may run once":       {"/order/1", whole, 2200 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"repeatable call":              {"/read/1", whole, 2200 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"call that ends in time":       {"/order/1", whole, 1400 * time.Millisecond, http.StatusOK, 1},
		"body that has not arrived":    {"/order/1", part, -200 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"body of a stream, likewise":   {"/tell/1", part, 500 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"chunks that have not arrived": {"/order/1", "transfer-encoding: chunked\r\n\r\n2\r\nbo\r\n", 500 * time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, func(config map[string]any) {
				for _, r := range config["routes"].([]map[string]any) {
					r["timeout_ms"] = 20_000
				}
			})
			upstreams := []*platformtest.Upstream{
				f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 30, EventPause: 100 * time.Millisecond}),
				f.upstream(&platformtest.Upstream{ID: "u2", Service: "plain", Work: 300 * time.Millisecond}),
			}
			n := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.Grace, s.DrainDelay = 3*time.Second, time.Second })
			require.NoError(t, n.waitReady())
			conn, err := net.Dial("tcp4", n.settings.CallerAddr.String())
			require.NoError(t, err)
			defer conn.Close()
			// A connection on which a head has begun is not closed as an idle one.
			_, err = io.WriteString(conn, "PO")
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			request := func() {
				_, err := fmt.Fprintf(conn, "ST %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nDeadline-Ms: 15000\r\nAuthorization: Bearer key-of-welders\r\n%s", c.path, c.rest)
				require.NoError(t, err)
			}
			if c.after < 0 {
				request()
				time.Sleep(-c.after)
			}
			n.stop()
			if c.after > 0 {
				time.Sleep(c.after)
				request()
			}
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err, "the connection is closed without an answer")
			_, err = io.Copy(io.Discard, got.Body)
			require.NoError(t, err)
			require.Equal(t, c.status, got.StatusCode)
			require.True(t, got.Close)
			require.NoError(t, <-n.result)
			require.Len(t, append(upstreams[0].Runs(), upstreams[1].Runs()...), c.runs)
		})
	}
}

func TestDrainingHostServesRequestsAndClosesConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	f.upstream(&platformtest.Upstream{ID: "u2", Service: "events", Events: 10, EventPause: 50 * time.Millisecond})
	require.Eventually(t, func() bool { return f.send(n, http.MethodPost, "/tell/1", "r0").status == http.StatusOK }, waitTimeout, 10*time.Millisecond)
	n.stop()
	require.Eventually(t, func() bool { return !n.Ready() }, time.Second, time.Millisecond)
	conn, err := net.Dial("tcp4", n.settings.CallerAddr.String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\nAuthorization: Bearer key-of-welders\r\n\r\n")
	require.NoError(t, err)
	got, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer got.Body.Close()
	require.Equal(t, http.StatusOK, got.StatusCode)
	require.True(t, got.Close)
}

func TestCallerDisconnectCancelsUpstreamCall(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	u.QueueFaults(platformtest.Hang)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.CallerAddr.String()+"/read/1", nil)
	require.NoError(t, err)
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", "r1")
	r.Header.Set("Authorization", "Bearer key-of-welders")
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	require.Error(t, err)
	require.Eventually(t, func() bool { return u.CancelledRequests() == 1 }, 500*time.Millisecond, 5*time.Millisecond)
	require.Len(t, u.Runs(), 1, "a request is not retried after its caller has disconnected")
}

func TestDeadlineEndsARequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	u.QueueFaults(platformtest.Hang)
	start := time.Now()
	got := f.send(n, http.MethodPost, "/order/1", "r1", "Deadline-Ms", "300")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.Less(t, time.Since(start), 500*time.Millisecond)
}

func TestConfiguredBodyAndIdleLimitsApply(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, func(c map[string]any) {
		c["limits"] = map[string]any{"max_body_bytes": 10, "idle_timeout_ms": 300}
	})
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	require.Equal(t, http.StatusRequestEntityTooLarge, f.send(n, http.MethodPost, "/order/1", "longer-than-ten").status)
	require.Empty(t, u.Runs())
	idle, err := net.Dial("tcp4", n.settings.CallerAddr.String())
	require.NoError(t, err)
	defer idle.Close()
	_, err = io.WriteString(idle, "GET /nowhere/ HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, idle.SetReadDeadline(time.Now().Add(3*time.Second)))
	_, err = io.Copy(io.Discard, idle)
	require.False(t, errors.Is(err, os.ErrDeadlineExceeded), "an idle connection is closed after the configuration's timeout")
}

// TestConfiguredHeaderLimitsApply sends headers that are larger, and slower, than
// the configuration allows, and headers within both limits.
func TestConfiguredHeaderLimitsApply(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, func(c map[string]any) {
		c["limits"] = map[string]any{"max_header_bytes": 2000, "header_timeout_ms": 400, "idle_timeout_ms": 20_000}
	})
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	send := func(filler int, pause time.Duration) (status string, took time.Duration) {
		conn, err := net.Dial("tcp4", n.settings.CallerAddr.String())
		require.NoError(t, err)
		defer conn.Close()
		time.Sleep(600 * time.Millisecond) // a connection without a request is idle, not slow
		start := time.Now()
		_, err = io.WriteString(conn, "GET /read/1 HTTP/1.1\r\nHost: shop.example\r\n")
		require.NoError(t, err)
		time.Sleep(pause)
		// If the connection is already closed, the read below returns nothing.
		_, _ = fmt.Fprintf(conn, "Attempt-Id: a\r\nAuthorization: Bearer key-of-welders\r\nX-Filler: %s\r\n\r\n", strings.Repeat("x", filler))
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(3*time.Second)))
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
		return strings.TrimSpace(line), time.Since(start)
	}
	status, _ := send(1000, 0)
	require.Equal(t, "HTTP/1.1 200 OK", status)
	status, _ = send(2000, 0)
	require.Equal(t, "HTTP/1.1 431 Request Header Fields Too Large", status)
	status, _ = send(0, 1500*time.Millisecond)
	require.Empty(t, status, "a connection whose headers are late is closed")
	require.Len(t, u.Runs(), 1)
}

func TestSettingsAreReloadedOnASignalAndWithout(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	n := f.startUnready(f.store.Addr())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	signals := make(chan os.Signal, 1)
	reads := make(chan struct{}, 10)
	go n.FollowSettings(ctx, signals, func() (edge.Settings, error) {
		select {
		case reads <- struct{}{}:
		default:
		}
		return edge.Settings{}, errors.New("the file is being written")
	})
	signals <- syscall.SIGHUP
	for range 2 {
		select {
		case <-reads:
		case <-time.After(waitTimeout):
			t.Fatal("settings were not reread")
		}
	}
}

func TestMetricsAndReadinessAreServed(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, nil)
	f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
	n := f.start()
	require.Equal(t, http.StatusOK, f.send(n, http.MethodGet, "/read/1", "r1").status)
	fetch := func(url string) (int, string) {
		response, err := http.Get(url)
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.StatusCode, string(body)
	}
	_, text := fetch("http://127.0.0.1:" + strings.TrimPrefix(n.metricsAddr(), "127.0.0.1:") + "/metrics")
	require.Contains(t, text, `seam_requests_total{outcome="answered",route="read"} 1`)
	require.Contains(t, text, `seam_request_seconds_count{workspace="welders"} 1`)
	status, _ := fetch("http://" + n.settings.ReadinessAddr.String() + "/v1/readyz")
	require.Equal(t, http.StatusOK, status)
}

// Guards against a host that is killed at the end of its grace period, after it has aborted the
// requests that take too long: it must end by itself, also while the store does not answer.
func TestHostEndsWithinItsGracePeriodWhileTheStoreIsSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 20_000))
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain", Work: 15 * time.Second})
	n := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.Grace = 3 * time.Second })
	require.NoError(t, n.waitReady())
	go f.send(n, http.MethodPost, "/order/1", "r1", "Deadline-Ms", "20000")
	require.Eventually(t, func() bool { return len(u.Runs()) == 1 }, waitTimeout, time.Millisecond)
	f.store.SetFault(func(string) platformtest.Fault { return platformtest.FaultSilent })
	start := time.Now()
	n.stop()
	require.Eventually(t, func() bool { return len(n.result) > 0 }, waitTimeout, time.Millisecond)
	require.Less(t, time.Since(start), 2700*time.Millisecond, "a machine with a fifth of a core needs the rest")
}

// Guards against a request that a host aborts at the end of its grace period and does not log.
func TestAbortedRequestIsLoggedBeforeItsHostEnds(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, eachRoute("timeout_ms", 20_000))
	u := f.upstream(&platformtest.Upstream{ID: "u1", Service: "events", Events: 400, EventPause: 20 * time.Millisecond})
	n := f.startWith(f.store.Addr(), func(s *edge.Settings) { s.Grace = 2 * time.Second })
	require.NoError(t, n.waitReady())
	go f.send(n, http.MethodPost, "/talk/1", "r1", "Deadline-Ms", "20000")
	require.Eventually(t, func() bool { return len(u.Runs()) == 1 }, waitTimeout, time.Millisecond)
	n.stop()
	require.Eventually(t, func() bool { return len(n.result) > 0 }, waitTimeout, time.Millisecond)
	require.Equal(t, 1, n.log.count(`"msg":"request"`, `"request":"r1"`))
}
