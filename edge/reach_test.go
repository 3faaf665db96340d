package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// detectionTime is the time from the loss of a host's links by which its callers must be
// served like others.
const detectionTime = 3 * time.Second

// firstTries sends one request of each kind after the other to each host, all hosts at
// once, and returns how many were sent to a host and how many of these were served at the
// first try.
func (f *fleet) firstTries(hosts []*node, name string, rounds int) (sent, served int) {
	var count atomic.Int32
	var senders sync.WaitGroup
	paths := []string{"/read/", "/order/", "/talk/", "/tell/", "/staged/"}
	for i, n := range hosts {
		for _, path := range paths {
			senders.Go(func() {
				for round := range rounds {
					id := fmt.Sprintf("%s-%d%s%d", name, i, path, round)
					if got := f.send(n, http.MethodPost, path+id, id, "Chunks", "2,1", "Chunk-Key", "00"); got.err == nil && got.status == http.StatusOK {
						count.Add(1)
					}
				}
			})
		}
	}
	senders.Wait()
	return len(hosts) * len(paths) * rounds, int(count.Load())
}

// Hosts lose their links to all upstreams while callers, the store and the other hosts
// reach them. Guards against callers of such hosts, and of hosts that rely on them for a
// task of the fleet, being refused or left without an answer.
func TestCallersOfHostsWithoutUpstreamsAreServed(t *testing.T) {
	for name, c := range map[string]struct {
		cut   cut
		hosts int // that lose their links, of four
	}{
		"one host, silent":            {silentCut, 1},
		"most hosts, silent":          {silentCut, 3},
		"most hosts, reset":           {resetCut, 3},
		"most hosts, new connections": {newOnlyCut, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, nil)
			for i := range 2 {
				f.upstream(&platformtest.Upstream{ID: fmt.Sprint("p-", i), Service: "plain"})
				f.upstream(&platformtest.Upstream{ID: fmt.Sprint("e-", i), Service: "events", Events: 5})
				f.upstream(&platformtest.Upstream{ID: fmt.Sprint("s-", i), Service: "pieces"})
			}
			for range 4 {
				f.start()
			}
			require.Eventually(t, func() bool { // until all hosts know all upstreams and each other
				sent, served := f.firstTries(f.hosts, fmt.Sprint("before-", time.Now().UnixNano()), 1)
				return sent == served
			}, waitTimeout, 10*time.Millisecond)
			for _, n := range f.hosts[:c.hosts] {
				n.links.set(c.cut)
			}
			begun := time.Now()
			for time.Since(begun) < detectionTime {
				f.firstTries(f.hosts, fmt.Sprint("during-", time.Now().UnixNano()), 1)
			}
			sent, served := f.firstTries(f.hosts, "after", 3)
			require.Equal(t, sent, served, "requests served at the first try")
			for _, n := range f.hosts[:c.hosts] {
				require.Zero(t, n.log.count("upstream crashed"), "sound upstreams that a host takes for crashed")
				n.links.set(noCut)
			}
			sent, served = f.firstTries(f.hosts, "healed", 1)
			require.Equal(t, sent, served, "requests served at the first try once the links are back")
		})
	}
}
