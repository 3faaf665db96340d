package member

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

const waitTimeout = 20 * time.Second

type staticHostList []infra.Listing

func (l staticHostList) List(context.Context) ([]infra.Listing, error) { return l, nil }

type runningHost struct {
	*Membership
	stop context.CancelFunc
	done chan error
}

func startHost(t testing.TB, id string, list infra.HostList, addr netip.AddrPort, key []byte) *runningHost {
	m, err := New(Config{
		Self:       host.Info{ID: host.ID(id), Place: host.Place{DataCentre: "a"}, LinkAddr: addr},
		ListenAddr: addr.String(), Key: key, HostList: list,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningHost{Membership: m, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- m.Run(ctx) }()
	t.Cleanup(cancel)
	require.NoError(t, m.transport.waitReady(ctx))
	return r
}

// Hosts on loopback must find each other by the host list, exchange facts and
// generations, reject a host with another key, and see one of them leave.
func TestMembershipOverRealUDP(t *testing.T) {
	var list staticHostList
	for range 5 {
		list = append(list, infra.Listing{Addr: ports.ForTest(t)})
	}
	list = append(list, infra.Listing{Addr: netip.MustParseAddrPort("127.0.0.1:9"), Pool: "engines"})
	var hosts []*runningHost
	for i := range 4 {
		hosts = append(hosts, startHost(t, fmt.Sprintf("h%d", i), list, list[i].Addr, fleetKey))
	}
	outsider := startHost(t, "stranger", list, list[4].Addr, []byte("another key"))
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if len(h.Members()) != 4 {
				return false
			}
		}
		return true
	}, waitTimeout, 10*time.Millisecond)

	var heard atomic.Int64
	changed := make(chan struct{}, 1)
	hosts[3].OnChange(func() {
		select {
		case changed <- struct{}{}:
		default:
		}
	})
	require.NoError(t, hosts[0].Publish("test", "k", []byte("news")))
	hosts[1].Subscribe("test", func(f Fact) {
		if f.From == "h0" && string(f.Payload) == "news" {
			heard.Add(1)
		}
	})
	require.Eventually(t, func() bool { return heard.Load() == 1 }, waitTimeout, 10*time.Millisecond)

	hosts[0].SetGeneration(7)
	require.Eventually(t, func() bool {
		m, ok := hosts[3].Lookup("h0")
		return ok && m.Generation == 7 && hosts[3].NewestGeneration() == 7
	}, waitTimeout, 10*time.Millisecond)
	<-changed

	require.NoError(t, hosts[2].Leave(context.Background()))
	require.Eventually(t, func() bool {
		m, ok := hosts[0].Lookup("h2")
		return ok && m.State == host.Leaving
	}, waitTimeout, 10*time.Millisecond)
	hosts[2].stop()
	require.NoError(t, <-hosts[2].done)
	require.Eventually(t, func() bool { return len(hosts[0].Members()) == 3 }, waitTimeout, 10*time.Millisecond)

	require.Len(t, outsider.Members(), 1)
	forged := hosts[0].metrics.rejected.WithLabelValues(string(rejectedForged))
	require.Eventually(t, func() bool { return testutil.ToFloat64(forged) > 0 }, waitTimeout, 10*time.Millisecond)
	require.Len(t, outsider.Members(), 1)
	for _, h := range append(hosts[:2], hosts[3], outsider) {
		h.stop()
		require.NoError(t, <-h.done)
	}
}

// A host whose UDP port is in use must end at once with the address and the reason.
func TestUDPPortInUseIsReported(t *testing.T) {
	addr := ports.ForTest(t)
	taken, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	require.NoError(t, err)
	defer taken.Close()
	m, err := New(Config{Self: host.Info{ID: "h", LinkAddr: addr}, ListenAddr: addr.String(), Key: fleetKey})
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	err = m.Run(ctx)
	require.ErrorContains(t, err, "receive datagrams on "+addr.String())
	require.ErrorIs(t, err, syscall.EADDRINUSE)
}

// BenchmarkRealHosts measures the CPU time, including the kernel's, of hosts that
// exchange datagrams on loopback.
func BenchmarkRealHosts(b *testing.B) {
	const span = 10 * time.Second
	for _, size := range []int{12, 36} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			for b.Loop() {
				var list staticHostList
				for range size {
					list = append(list, infra.Listing{Addr: ports.ForTest(b)})
				}
				var hosts []*runningHost
				for i := range size {
					hosts = append(hosts, startHost(b, fmt.Sprintf("h%02d", i), list, list[i].Addr, fleetKey))
				}
				require.Eventually(b, func() bool { return len(hosts[size-1].Members()) == size }, waitTimeout, 10*time.Millisecond)
				time.Sleep(span)
				before := cpuTime(b)
				time.Sleep(span)
				used := cpuTime(b) - before
				b.ReportMetric(100*used.Seconds()/span.Seconds()/float64(size), "core%/host")
				for _, h := range hosts {
					h.stop()
					require.NoError(b, <-h.done)
				}
			}
		})
	}
}

func cpuTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
