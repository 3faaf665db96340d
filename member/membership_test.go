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
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"
)

const patience = 20 * time.Second

type fixedList []infra.Listing

func (f fixedList) List(context.Context) ([]infra.Listing, error) { return f, nil }

// freeAddr returns a loopback address with a free UDP port.
func freeAddr(t testing.TB) netip.AddrPort {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer conn.Close()
	return netip.MustParseAddrPort(conn.LocalAddr().String())
}

type running struct {
	*Membership
	stop context.CancelFunc
	done chan error
}

func start(t testing.TB, id string, list infra.HostList, addr netip.AddrPort, key []byte) *running {
	m, err := New(Config{
		Self:       host.Info{ID: host.ID(id), Place: host.Place{DataCentre: "a"}, LinkAddr: addr},
		ListenAddr: addr.String(), Key: key, HostList: list,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Membership: m, stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- m.Run(ctx) }()
	t.Cleanup(cancel)
	return r
}

// Real hosts on loopback find each other by the host list, exchange facts and
// generations, keep a stranger out, and see one leave.
func TestHostsOverRealDatagrams(t *testing.T) {
	var list fixedList
	for range 5 {
		list = append(list, infra.Listing{Addr: freeAddr(t)})
	}
	list = append(list, infra.Listing{Addr: netip.MustParseAddrPort("127.0.0.1:9"), Pool: "engines"})
	var hosts []*running
	for i := range 4 {
		hosts = append(hosts, start(t, fmt.Sprintf("h%d", i), list, list[i].Addr, fleetKey))
	}
	stranger := start(t, "stranger", list, list[4].Addr, []byte("another key"))
	require.Eventually(t, func() bool {
		for _, h := range hosts {
			if len(h.Members()) != 4 {
				return false
			}
		}
		return true
	}, patience, 10*time.Millisecond)

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
	require.Eventually(t, func() bool { return heard.Load() == 1 }, patience, 10*time.Millisecond)

	hosts[0].SetGeneration(7)
	require.Eventually(t, func() bool {
		m, ok := hosts[3].Lookup("h0")
		return ok && m.Generation == 7 && hosts[3].NewestGeneration() == 7
	}, patience, 10*time.Millisecond)
	<-changed

	require.NoError(t, hosts[2].Leave(context.Background()))
	require.Eventually(t, func() bool {
		m, ok := hosts[0].Lookup("h2")
		return ok && m.State == host.Leaving
	}, patience, 10*time.Millisecond)
	hosts[2].stop()
	require.NoError(t, <-hosts[2].done)
	require.Eventually(t, func() bool { return len(hosts[0].Members()) == 3 }, patience, 10*time.Millisecond)

	require.Len(t, stranger.Members(), 1)
	forged := hosts[0].metrics.rejected.WithLabelValues(string(rejectedForged))
	require.Eventually(t, func() bool { return testutil.ToFloat64(forged) > 0 }, patience, 10*time.Millisecond)
	require.Len(t, stranger.Members(), 1)
	for _, h := range append(hosts[:2], hosts[3], stranger) {
		h.stop()
		require.NoError(t, <-h.done)
	}
}

// BenchmarkRealHosts measures the processor time of hosts that exchange real
// datagrams on loopback, kernel included.
func BenchmarkRealHosts(b *testing.B) {
	const span = 10 * time.Second
	for _, size := range []int{12, 36} {
		b.Run(fmt.Sprintf("hosts=%d", size), func(b *testing.B) {
			for b.Loop() {
				var list fixedList
				for range size {
					list = append(list, infra.Listing{Addr: freeAddr(b)})
				}
				var hosts []*running
				for i := range size {
					hosts = append(hosts, start(b, fmt.Sprintf("h%02d", i), list, list[i].Addr, fleetKey))
				}
				require.Eventually(b, func() bool { return len(hosts[size-1].Members()) == size }, patience, 10*time.Millisecond)
				time.Sleep(span)
				before := processorTime(b)
				time.Sleep(span)
				used := processorTime(b) - before
				b.ReportMetric(100*used.Seconds()/span.Seconds()/float64(size), "core%/host")
				for _, h := range hosts {
					h.stop()
					require.NoError(b, <-h.done)
				}
			}
		})
	}
}

func processorTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
