package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"
)

const waitTimeout = 10 * time.Second

type fakeList struct {
	listings atomic.Pointer[[]infra.Listing]
}

func (f *fakeList) List(context.Context) ([]infra.Listing, error) {
	if l := f.listings.Load(); l != nil {
		return *l, nil
	}
	return nil, errors.New("list is down")
}

type singleHostView struct{}

func (singleHostView) Self() host.Info                       { return host.Info{ID: "h"} }
func (singleHostView) Members() []host.Member                { return []host.Member{{Info: host.Info{ID: "h"}}} }
func (singleHostView) Lookup(id host.ID) (host.Member, bool) { return host.Member{}, id == "h" }

func TestTableFollowsListCallsAndProbes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent()) // gnet starts goroutines when its package is initialised
	var leaving atomic.Bool
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if leaving.Load() {
			w.Header().Set(StateHeader, "leaving")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	addr := netip.MustParseAddrPort(server.Listener.Addr().String())
	id := ID(addr.String())
	list := &fakeList{}
	client := &http.Client{}
	defer client.CloseIdleConnections()
	table := NewTable(Config{
		List: list, View: singleHostView{}, Prober: HTTPProber{Client: client, Path: "/"}, PollInterval: 10 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- table.Run(ctx) }()
	state := func() State {
		up, ok := table.Lookup(id)
		if !ok {
			return Dead
		}
		return up.State
	}
	require.False(t, table.Ready())
	list.listings.Store(&[]infra.Listing{{Addr: addr, Pool: "p"}, {Addr: netip.MustParseAddrPort("127.0.0.1:2")}})
	require.Eventually(t, func() bool { return table.Ready() && len(table.Pool("p")) == 1 }, waitTimeout, time.Millisecond)
	list.listings.Store(nil)

	table.ReportLoad(id, Load{InFlight: 3, AtUnixNano: 2}, []string{"m"})
	table.ReportLoad(id, Load{InFlight: 9, AtUnixNano: 1}, nil)
	load, ok := table.LoadOf(id)
	require.True(t, ok)
	require.Equal(t, 3, load.InFlight, "an older report never replaces a newer one")

	leaving.Store(true)
	require.Eventually(t, func() bool { return state() == Leaving }, waitTimeout, time.Millisecond, "a probe reports it")
	require.Empty(t, table.Pool("p"))
	cancel()
	require.NoError(t, <-done)
}

// Removing one upstream must add at most one new member to a host's subset. The
// reverse, adding one, then drops at most one.
func TestSubsetChangesByAtMostOneMember(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 300).Draw(t, "count")
		size := rapid.IntRange(1, 64).Draw(t, "size")
		self := host.Info{ID: host.ID(rapid.StringN(1, 8, 8).Draw(t, "host")), Place: host.Place{DataCentre: "a", Region: "r"}}
		all := make([]*entry, count)
		for i := range all {
			id := ID(fmt.Sprintf("u%d", i))
			place := host.Place{DataCentre: host.DataCentre(fmt.Sprint("abc"[i%3 : i%3+1])), Region: "r"}
			all[i] = &entry{Upstream: Upstream{ID: id, Place: place}, score: rendezvousScore(string(self.ID), string(id))}
		}
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		rest := append(append([]*entry(nil), all[:gone]...), all[gone+1:]...)
		before := subset(self, append([]*entry(nil), all...), size)
		after := subset(self, rest, size)
		kept := make(map[ID]bool)
		for _, up := range before {
			kept[up.ID] = true
		}
		added := 0
		for _, up := range after {
			if !kept[up.ID] {
				added++
			}
		}
		if added > 1 {
			t.Fatalf("%d new members after one upstream was removed", added)
		}
	})
}

// BenchmarkSettle measures the periodic work of a host that knows 6,600
// upstreams, of which one in a hundred has had a failure.
func BenchmarkSettle(b *testing.B) {
	f := newFleet(1, 1, 6600, 0)
	r := f.hosts[0]
	for i, s := range f.servers {
		if i%100 == 0 {
			r.report(f.now, s.id, ConnectionLost)
		}
	}
	clear(r.idleProbes)
	b.ReportAllocs()
	for b.Loop() {
		r.updateStates(f.now)
		r.pendingClaims(f.now)
	}
}
