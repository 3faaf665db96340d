package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/member"
	"github.com/stretchr/testify/require"
)

// loopbackFleet is one upstream without any calls, and the tables of several
// hosts that use real gossip and real probes on loopback.
type loopbackFleet struct {
	tables  []*Table
	leaving atomic.Bool
	id      ID
	ended   chan error // the results of the hosts' goroutines
}

func startLoopbackFleet(t testing.TB, size int) *loopbackFleet {
	f := &loopbackFleet{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if f.leaving.Load() {
			w.Header().Set(StateHeader, stateLeaving)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	f.id = ID(addr.String())
	listings := []infra.Listing{{Addr: addr, Pool: "p"}}
	for range size {
		listings = append(listings, infra.Listing{Addr: ports.ForTest(t)})
	}
	list := &fakeList{}
	list.listings.Store(&listings)
	ctx, cancel := context.WithCancel(context.Background())
	f.ended = make(chan error, 2*size)
	for i, l := range listings[1:] {
		members, err := member.New(member.Config{
			Self:       host.Info{ID: host.ID(fmt.Sprintf("h%d", i)), LinkAddr: l.Addr},
			ListenAddr: l.Addr.String(), Key: []byte("a key for tests"), HostList: list,
		})
		require.NoError(t, err)
		table := NewTable(Config{
			List: list, View: members, Gossip: members,
			Prober: HTTPProber{Client: server.Client(), Path: "/"},
		})
		f.tables = append(f.tables, table)
		go func() { f.ended <- members.Run(ctx) }()
		go func() { f.ended <- table.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range 2 * size {
			require.NoError(t, <-f.ended)
		}
		server.Close()
	})
	return f
}

func (f *loopbackFleet) allSee(state State) bool {
	for _, table := range f.tables {
		up, ok := table.Lookup(f.id)
		if !ok || up.State != state || len(table.config.View.Members()) != len(f.tables) {
			return false
		}
	}
	return true
}

// requireAllSee waits until all tables show a state. It fails at once, with the
// reason, if a host ends.
func (f *loopbackFleet) requireAllSee(t testing.TB, state State, timeout time.Duration) {
	t.Helper()
	expired := time.After(timeout)
	for !f.allSee(state) {
		select {
		case err := <-f.ended:
			f.ended <- err // the cleanup receives the result of each goroutine
			require.NoError(t, err)
			require.Fail(t, "a host ended")
		case <-expired:
			require.Fail(t, "timeout", "not all hosts see state %v after %s", state, timeout)
		case <-time.After(time.Millisecond):
		}
	}
}

// An upstream that gets no calls and is listed as live reports that it is leaving.
// The hosts that probe it must pass this on to all others.
func TestLeavingStateReachesAllRealHosts(t *testing.T) {
	f := startLoopbackFleet(t, 6)
	f.requireAllSee(t, Live, 2*waitTimeout)
	f.leaving.Store(true)
	f.requireAllSee(t, Leaving, 2*waitTimeout)
}

// BenchmarkLeavingKnown measures the time until all of 12 hosts on loopback know
// that an upstream without calls is leaving.
func BenchmarkLeavingKnown(b *testing.B) {
	f := startLoopbackFleet(b, 12)
	f.requireAllSee(b, Live, 2*waitTimeout)
	worst, rounds := time.Duration(0), 0
	for b.Loop() {
		started := time.Now()
		f.leaving.Store(true)
		f.requireAllSee(b, Leaving, 2*waitTimeout)
		worst = max(worst, time.Since(started))
		rounds++
		f.leaving.Store(false)
		f.requireAllSee(b, Live, 4*waitTimeout)
	}
	b.ReportMetric(worst.Seconds(), "s-worst")
	b.ReportMetric(float64(rounds), "rounds")
}

// BenchmarkWorkToLeaving measures the calls that 12 hosts send to a leaving
// upstream among 20, for each half second after it began to leave, averaged over
// 20 seeds.
func BenchmarkWorkToLeaving(b *testing.B) {
	for _, calls := range []int{1, 20} {
		b.Run(fmt.Sprintf("calls/s=%d", calls*int(time.Second/testStep)), func(b *testing.B) {
			for b.Loop() {
				var work [7]int
				for seed := range uint64(20) {
					f := newFleet(seed, 12, 20, calls)
					f.run(5 * time.Second)
					f.servers[3].leaving = true
					for slot := range work {
						f.servers[3].calls = 0
						f.run(500 * time.Millisecond)
						work[slot] += f.servers[3].calls
					}
				}
				for slot, sent := range work {
					b.ReportMetric(float64(sent)/20, fmt.Sprintf("calls-at-%.1fs", float64(slot)/2))
				}
			}
		})
	}
}
