package resume

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// network passes calls between keepers. A host that is gone refuses calls, one that
// is frozen never answers.
type network struct {
	keepers []*Keeper
	muxes   map[netip.AddrPort]*handlers

	mu     sync.Mutex // guards the fields below
	gone   map[netip.AddrPort]bool
	frozen map[netip.AddrPort]bool
	calls  map[link.Method]int
}

// handlers are the methods that one host serves.
type handlers map[link.Method]link.Handler

func (h handlers) Handle(method link.Method, handler link.Handler) { h[method] = handler }

func newNetwork(t *testing.T, hosts int) *network {
	n := &network{
		muxes: make(map[netip.AddrPort]*handlers), gone: make(map[netip.AddrPort]bool),
		frozen: make(map[netip.AddrPort]bool), calls: make(map[link.Method]int),
	}
	f := members(hosts)
	for i := range f {
		f[i].LinkAddr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i := range f {
		mux := make(handlers)
		n.muxes[f[i].LinkAddr] = &mux
		k := New(Config{Fleet: viewOf(f, i), Caller: n, Logger: slog.New(slog.DiscardHandler)}, mux)
		n.keepers = append(n.keepers, k)
		running.Go(func() { require.NoError(t, k.Run(ctx)) })
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	return n
}

func (n *network) Call(ctx context.Context, peer netip.AddrPort, method link.Method, in, out any) error {
	n.mu.Lock()
	gone, frozen := n.gone[peer], n.frozen[peer]
	n.calls[method]++
	n.mu.Unlock()
	if gone {
		return link.ErrNotSent
	}
	if frozen {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	got, err := (*n.muxes[peer])[method](ctx, func(into any) error { return cbor.Unmarshal(raw, into) })
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(got); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
}

// holders returns the hosts that have a record.
func (n *network) holders(attempt string) (all []int) {
	for i, k := range n.keepers {
		if _, known := k.records.get(attempt, time.Now()); known {
			all = append(all, i)
		}
	}
	return all
}

func (n *network) addr(i int) netip.AddrPort { return n.keepers[i].config.Fleet.Self().LinkAddr }

func record(attempt string) Record {
	return Record{Attempt: attempt, Service: "s", Version: "v1", TTL: 10 * time.Second}
}

func TestEveryHostFindsTheVersionOfAStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 12)
		n.keepers[0].Store(record("a"))
		time.Sleep(2 * batchDelay)
		synctest.Wait()
		require.Len(t, n.holders("a"), 1+replicaCount)
		n.gone[n.addr(0)] = true
		for i, k := range n.keepers[1:] {
			got := k.Lookup(t.Context(), "a")
			require.True(t, got.Known, i)
			require.Equal(t, "v1", got.Version)
			require.Equal(t, "s", got.Service)
			require.NotEqual(t, SourceNone, got.Source)
		}
		require.Equal(t, SourceLocal, n.keepers[0].Lookup(t.Context(), "a").Source)
		unknown := n.keepers[0].Lookup(t.Context(), "b")
		require.False(t, unknown.Known)
		require.Equal(t, SourceNone, unknown.Source)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		require.False(t, n.keepers[5].Lookup(t.Context(), "a").Known, "the caller's deadline has passed")
	})
}

func TestStreamsThatBeginTogetherCostOneCallPerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 12)
		for i := range 500 {
			n.keepers[0].Store(record(fmt.Sprint("a", i)))
		}
		time.Sleep(2 * batchDelay)
		synctest.Wait()
		require.Equal(t, 11, n.calls[storeMethod])
		for i := range 500 {
			require.Len(t, n.holders(fmt.Sprint("a", i)), 1+replicaCount)
		}
	})
}

// Guards against records that fewer hosts hold because one of them is gone and the
// membership does not know yet.
func TestRecordGoesToAnotherHostIfOneIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 12)
		n.keepers[0].Store(record("a"))
		time.Sleep(2 * batchDelay)
		synctest.Wait()
		for _, i := range n.holders("a")[1:3] {
			n.gone[n.addr(i)] = true
		}
		n.keepers[0].Store(record("a"))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Len(t, n.holders("a"), 1+replicaCount+2)
	})
}

// Guards against events and refusals that wait for hosts that don't answer.
func TestUnresponsiveHostsDelayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 12)
		for i := range n.keepers {
			n.frozen[n.addr(i)] = true
		}
		start := time.Now()
		for i := range 100 {
			n.keepers[0].Store(record(fmt.Sprint("a", i)))
		}
		require.Zero(t, time.Since(start))
		got := n.keepers[0].Lookup(t.Context(), "unknown")
		require.False(t, got.Known)
		require.Equal(t, askedCount, got.Asked)
		require.Equal(t, askedCount, got.Unanswered)
		require.Error(t, got.Err)
		require.Equal(t, lookupTimeout, time.Since(start))
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Empty(t, n.keepers[0].outbox.destinations, "nothing is sent again without end")
	})
}

func TestWaitingRecordsAreBounded(t *testing.T) {
	o := newOutbox()
	started := 0
	for range maxPending + 5 {
		o.add(host.ID("h"), outgoing{}, func() { started++ })
	}
	require.Equal(t, 1, started, "one sender works on a destination")
	batch, dropped := o.take("h")
	require.Len(t, batch, maxPending)
	require.Equal(t, 5, dropped)
	batch, dropped = o.take("h")
	require.Empty(t, batch)
	require.Zero(t, dropped)
	o.add("h", outgoing{}, func() { started++ })
	require.Equal(t, 2, started)
	o.close()
	batch, _ = o.take("h")
	require.Empty(t, batch)
	o.add("h", outgoing{}, func() { started++ })
	require.Equal(t, 2, started)
}
