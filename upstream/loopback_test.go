package upstream

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/member"
	"github.com/stretchr/testify/require"
)

// realFleet is tables over real memberships and probes on loopback, and one
// upstream without any traffic.
type realFleet struct {
	tables  []*Table
	leaving atomic.Bool
	id      ID
}

func startRealFleet(t testing.TB, size int) *realFleet {
	f := &realFleet{}
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if f.leaving.Load() {
			w.Header().Set(StateHeader, stateLeaving)
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	addr := netip.MustParseAddrPort(backend.Listener.Addr().String())
	f.id = ID(addr.String())
	listings := []infra.Listing{{Addr: addr, Pool: "p"}}
	for range size {
		listings = append(listings, infra.Listing{Addr: freeAddr(t)})
	}
	list := &fakeList{}
	list.listings.Store(&listings)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2*size)
	for i, l := range listings[1:] {
		members, err := member.New(member.Config{
			Self:       host.Info{ID: host.ID(fmt.Sprintf("h%d", i)), LinkAddr: l.Addr},
			ListenAddr: l.Addr.String(), Key: []byte("a key for tests"), HostList: list,
		})
		require.NoError(t, err)
		table := NewTable(Config{
			List: list, View: members, Gossip: members,
			Prober: HTTPProber{Client: backend.Client(), Path: "/"},
		})
		f.tables = append(f.tables, table)
		go func() { done <- members.Run(ctx) }()
		go func() { done <- table.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range 2 * size {
			require.NoError(t, <-done)
		}
		backend.Close()
	})
	return f
}

func freeAddr(t testing.TB) netip.AddrPort {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

func (f *realFleet) all(state State) bool {
	for _, table := range f.tables {
		up, ok := table.Lookup(f.id)
		if !ok || up.State != state || len(table.config.View.Members()) != len(f.tables) {
			return false
		}
	}
	return true
}

// An upstream that nobody calls and that the list calls live says that it is
// leaving: the hosts that watch it tell the rest.
func TestLeavingSpreadsOverRealHosts(t *testing.T) {
	f := startRealFleet(t, 6)
	require.Eventually(t, func() bool { return f.all(Live) }, 2*patience, time.Millisecond)
	f.leaving.Store(true)
	require.Eventually(t, func() bool { return f.all(Leaving) }, 2*patience, time.Millisecond)
}

// BenchmarkLeavingKnown measures the time until all of 12 real hosts know that
// an upstream without traffic is leaving.
func BenchmarkLeavingKnown(b *testing.B) {
	f := startRealFleet(b, 12)
	require.Eventually(b, func() bool { return f.all(Live) }, 2*patience, time.Millisecond)
	worst, rounds := time.Duration(0), 0
	for b.Loop() {
		began := time.Now()
		f.leaving.Store(true)
		require.Eventually(b, func() bool { return f.all(Leaving) }, 2*patience, time.Millisecond)
		worst = max(worst, time.Since(began))
		rounds++
		f.leaving.Store(false)
		require.Eventually(b, func() bool { return f.all(Live) }, 4*patience, time.Millisecond)
	}
	b.ReportMetric(worst.Seconds(), "s-worst")
	b.ReportMetric(float64(rounds), "rounds")
}

// BenchmarkWorkToLeaving measures the calls that 12 hosts send to a leaving
// upstream of 20, by half seconds after it began to leave, over 20 seeds.
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
						f.servers[3].work = 0
						f.run(500 * time.Millisecond)
						work[slot] += f.servers[3].work
					}
				}
				for slot, sent := range work {
					b.ReportMetric(float64(sent)/20, fmt.Sprintf("calls-at-%.1fs", float64(slot)/2))
				}
			}
		})
	}
}
