package edge_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// The promise on prompt parts that crash engines.
const (
	crashWindow        = 3 * time.Second // from the deciding crash until no host may send the part
	crashesThatDecide  = 5
	maxRequestsAfter   = 3 // with the part, that reach engines after crashWindow
	minSoundShareAfter = 0.5
)

// crashingPart is the ID of the part that crashes engines.
const crashingPart = "bad0bad0"

// crashingEngines are upstreams of a service that crash on crashingPart or a path, and are
// replaced after a moment.
type crashingEngines struct {
	*fleet
	service string
	path    string
	restart time.Duration // from a crash to the replacement's registration

	mu      sync.Mutex // guards the fields below
	all     []*platformtest.Upstream
	crashes []time.Time
}

// startEngines starts n engines.
func (f *fleet) startEngines(n int, restart time.Duration) *crashingEngines {
	f.configure(1, withEngines)
	return f.startCrashing(n, &crashingEngines{service: "events", restart: restart})
}

// startCrashing starts n upstreams.
func (f *fleet) startCrashing(n int, e *crashingEngines) *crashingEngines {
	e.fleet = f
	for range n {
		e.start()
	}
	return e
}

// start starts an engine that is replaced when it crashes.
func (e *crashingEngines) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := &platformtest.Upstream{ID: fmt.Sprint("u", len(e.all)), Service: e.service, Events: 8, EventPause: 10 * time.Millisecond, Zone: "riga-a"}
	u.Crash = &platformtest.Crash{PartPrefix: crashingPart, Path: e.path, Delay: 30 * time.Millisecond, Crashed: func(string) {
		e.mu.Lock()
		e.crashes = append(e.crashes, time.Now())
		e.mu.Unlock()
		time.AfterFunc(e.restart, func() {
			e.store.Delete("servers/" + u.ID)
			e.start()
		})
	}}
	u.Start()
	e.t.Cleanup(u.Close)
	u.Register(e.store, "ready")
	e.all = append(e.all, u)
}

// crashCount returns how many engines have crashed.
func (e *crashingEngines) crashCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.crashes)
}

// sentAfter returns how many requests with crashingPart that their callers sent after a
// time have reached engines.
func (e *crashingEngines) sentAfter(sent map[string]time.Time, after time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, u := range e.all {
		for _, run := range u.Runs() {
			if strings.Contains(run.Header.Get("Prompt-Prefix"), crashingPart) && run.StartedAt.After(after) && sent[run.RequestID].After(after) {
				n++
			}
		}
	}
	return n
}

// mixedLoad sends requests with the part and sound ones, which share the part before and
// often the one after it, to random hosts.
type mixedLoad struct {
	engines *crashingEngines
	hosts   []*node
	senders sync.WaitGroup

	mu     sync.Mutex // guards the fields below
	sent   map[string]time.Time
	served map[string]bool
}

// run sends load until ctx ends and waits for the answers.
func (l *mixedLoad) run(ctx context.Context, seed uint64, pause time.Duration) {
	r := rand.New(rand.NewPCG(seed, 0))
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("sound-%d", i)
		parts := fmt.Sprintf("aaaa0001:300,cccc%04d:100,%08x:50", r.IntN(4), i)
		if i%3 == 0 {
			id = fmt.Sprintf("crashing-%d", i)
			parts = fmt.Sprintf("aaaa0001:300,%s:100,cccc%04d:100,%08x:50", crashingPart, r.IntN(4), i)
		}
		n := l.hosts[r.IntN(len(l.hosts))]
		l.mu.Lock()
		l.sent[id] = time.Now()
		l.mu.Unlock()
		l.senders.Go(func() {
			got := l.engines.send(n, http.MethodPost, "/talk/"+id, id, "Prompt-Prefix", parts, "Token-Usage", "500,40")
			l.mu.Lock()
			defer l.mu.Unlock()
			l.served[id] = got.err == nil && got.status == http.StatusOK && got.body == eventsOf(8)
		})
		time.Sleep(pause)
	}
	l.senders.Wait()
}

// soundShareAfter returns the share of the sound requests sent after a time that were
// served.
func (l *mixedLoad) soundShareAfter(after time.Time) float64 {
	all, served := 0, 0
	for id, at := range l.sent {
		if strings.HasPrefix(id, "sound-") && at.After(after) {
			all++
			if l.served[id] {
				served++
			}
		}
	}
	return float64(served) / float64(max(all, 1))
}

// All hosts are killed at once and start again while requests with a part that crashes
// engines still come. They must not learn of the part by losing engines again.
func TestPartStaysQuarantinedWhenAllHostsStartAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	engines := f.startEngines(6, 400*time.Millisecond)
	before := []*node{f.start(), f.start()}
	const parts = "aaaa0001:300," + crashingPart + ":100,%08x:50"
	ask := func(n *node, i int) callerResponse {
		id := fmt.Sprintf("r%d", i)
		return f.send(n, http.MethodPost, "/talk/"+id, id, "Prompt-Prefix", fmt.Sprintf(parts, i), "Token-Usage", "450,40")
	}
	// A refusal of the part names the time until the part is tried again.
	isRefused := func(got callerResponse) bool {
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		return got.status == http.StatusServiceUnavailable && err == nil && seconds > time.Minute.Seconds()
	}
	for i := 0; !isRefused(ask(before[i%2], i)); i++ {
		require.Less(t, i, 100, "the part is not found")
		time.Sleep(150 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(f.store.Keys("quarantine/")) > 0 }, waitTimeout, 10*time.Millisecond)
	for _, n := range before {
		n.stop()
	}
	for _, n := range before {
		require.NoError(t, <-n.result)
	}
	crashes := engines.crashCount()
	after := []*node{f.start(), f.start()}
	for i := range 10 {
		require.True(t, isRefused(ask(after[i%2], 1000+i)))
	}
	require.Equal(t, crashes, engines.crashCount())
}

// Guards against a request that crashes its upstreams again after the hosts that learned so have
// ended: stopped in turn, so that no host is left that saw a crash, or all at once, with the store
// at hand.
func TestCrashingRequestStaysQuarantinedWhenHostsStartAgain(t *testing.T) {
	const path = "/order/crash"
	for name, replaceHosts := range map[string]func(f *fleet, n *node) *node{
		"in turn": func(f *fleet, n *node) *node {
			last := f.start()
			time.Sleep(crashWindow / 2) // for the hosts to find each other and to ask
			n.stop()
			require.NoError(f.t, <-n.result)
			return last
		},
		"all at once": func(f *fleet, n *node) *node {
			require.Eventually(f.t, func() bool { return len(f.store.Keys("quarantined-requests/")) > 0 }, waitTimeout, 10*time.Millisecond)
			n.stop()
			require.NoError(f.t, <-n.result)
			return f.start()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, nil)
			upstreams := f.startCrashing(4, &crashingEngines{service: "plain", path: path, restart: 300 * time.Millisecond})
			n := f.start()
			isRefused := func() bool {
				return f.send(n, http.MethodPost, path, "the same", "Deadline-Ms", "1000").status == http.StatusServiceUnavailable
			}
			for i := 0; !isRefused() || upstreams.crashCount() < 2; i++ {
				require.Less(t, i, 20, "the request is not found")
				time.Sleep(600 * time.Millisecond)
			}
			crashes := upstreams.crashCount()
			for range 2 {
				n = replaceHosts(f, n)
			}
			for range 4 {
				require.True(t, isRefused())
				time.Sleep(600 * time.Millisecond)
			}
			require.Equal(t, crashes, upstreams.crashCount())
		})
	}
}

// Requests with one part in their prompts crashed engine after engine, no two of them
// alike and at any host, and hosts kept sending them.
func TestPromptPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	engines := f.startEngines(6, 400*time.Millisecond)
	load := &mixedLoad{engines: engines, sent: make(map[string]time.Time), served: make(map[string]bool)}
	for range 3 {
		load.hosts = append(load.hosts, f.start())
	}
	ctx, stop := context.WithTimeout(t.Context(), 4*crashWindow)
	defer stop()
	load.run(ctx, 1, 40*time.Millisecond)
	engines.mu.Lock()
	crashes := engines.crashes
	engines.mu.Unlock()
	require.NotEmpty(t, crashes)
	decided := crashes[min(len(crashes), crashesThatDecide)-1]
	require.LessOrEqual(t, engines.sentAfter(load.sent, decided.Add(crashWindow)), maxRequestsAfter, "%d engines crashed", len(crashes))
	require.Greater(t, load.soundShareAfter(decided.Add(2*crashWindow)), minSoundShareAfter)
}
