package directory

import (
	"context"
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/routing"
)

// loneHost stands in for the other hosts of a host that knows none.
type loneHost struct{ hosttest.Fleet }

func (loneHost) Subscribe(member.Topic, func(member.Fact))  {}
func (loneHost) Publish(member.Topic, string, []byte) error { return nil }
func (loneHost) Handle(link.Method, link.Handler)           {}
func (loneHost) Call(context.Context, netip.AddrPort, link.Method, any, any) error {
	return context.Canceled
}

func newLoneDirectory(store *testStore, onHosts func()) *Directory {
	fleet := loneHost{hosttest.Fleet{{Info: host.Info{ID: "self"}}}}
	return New(Config{
		Source: source{testStore: store}, Format: testFormat{}, Instances: instance.NewTable(nil), Fleet: fleet, Gossip: fleet, Caller: fleet,
		MaxPropagationDelay: testMaxDelay, Logger: slog.New(slog.DiscardHandler), OnConfig: func(*routing.Table) {}, OnHosts: onHosts,
	}, fleet)
}

// All hosts are killed at once and their callers come to hosts that are starting. Guards
// against the refusal of a request that could be served some milliseconds later, and against
// waiting where nothing is to be expected.
func TestRoutesAreAwaitedOnlyDuringTheFirstRead(t *testing.T) {
	t.Parallel()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	d := newLoneDirectory(&testStore{}, nil)
	got := make(chan *routing.Table, 1)
	go func() { got <- d.AwaitRoutes(ctx) }()
	require.Never(t, func() bool { return len(got) > 0 }, 50*time.Millisecond, 5*time.Millisecond, "the read is in progress")
	d.applySnapshot([]Item{{Key: "config", Value: []byte("c"), Revision: 1}}, infra.Position{Revision: 1}, time.Now())
	require.NotNil(t, <-got)

	withoutConfig := newLoneDirectory(&testStore{}, nil)
	withoutConfig.applySnapshot(nil, infra.Position{Revision: 1}, time.Now())
	require.Nil(t, withoutConfig.AwaitRoutes(ctx), "the store has none")

	down := newLoneDirectory(&testStore{rejectCalls: true, changed: make(chan struct{})}, nil)
	go func() { got <- down.AwaitRoutes(ctx) }()
	go func() { _ = down.Run(ctx) }()
	require.Nil(t, <-got, "the store has failed")

	ended, end := context.WithCancel(ctx)
	end()
	require.Nil(t, newLoneDirectory(&testStore{}, nil).AwaitRoutes(ended), "the caller waits no longer")
}

// Guards against two members at one address: a process that was killed stays listed until its
// lease ends.
func TestNewestHostOfEachAddressIsListed(t *testing.T) {
	changes := 0
	d := newLoneDirectory(&testStore{}, func() { changes++ })
	entry := func(id host.ID, addr string, revision int64) Item {
		raw, err := cbor.Marshal(host.Info{ID: id, LinkAddr: netip.MustParseAddrPort(addr)})
		require.NoError(t, err)
		return Item{Key: HostPrefix + string(id), Value: raw, Revision: revision}
	}
	d.applySnapshot([]Item{entry("b-new", "10.0.0.2:1", 7), entry("a", "10.0.0.1:1", 5), entry("b-old", "10.0.0.2:1", 6)}, infra.Position{Revision: 7}, time.Now())
	require.Equal(t, 1, changes)
	require.True(t, d.applyChanges([]Item{entry("a-new", "10.0.0.1:1", 8)}, infra.Position{Revision: 8}, time.Now()))
	require.Equal(t, 2, changes)
	require.True(t, d.applyChanges([]Item{{Key: "up/u1", Removed: true, Revision: 9}}, infra.Position{Revision: 9}, time.Now()))
	require.Equal(t, 2, changes, "no host changed")
	listings, err := d.List(t.Context())
	require.NoError(t, err)
	var ids []host.ID
	for _, l := range listings {
		ids = append(ids, l.Info.ID)
	}
	require.ElementsMatch(t, []host.ID{"a-new", "b-new"}, ids)
}

// The store is down for seconds and counts each call. Guards against calls that grow with the
// fleet, from hosts whose watchers have lost the store too.
func TestFollowersCallTheStoreSeldomDuringAnOutage(t *testing.T) {
	t.Parallel()
	const hosts, outage = 100, 6 * time.Second
	f := newTestFleet(t, hosts)
	f.store.mu.Lock()
	f.store.rejectCalls = true
	f.store.mu.Unlock()
	time.Sleep(testMaxDelay) // the watchers' last confirmations become stale
	f.store.mu.Lock()
	f.store.calls = 0
	f.store.mu.Unlock()
	time.Sleep(outage)
	f.store.mu.Lock()
	calls, perHost := f.store.calls, int(outage/(testMaxDelay/4))
	f.store.rejectCalls = false
	f.store.mu.Unlock()
	require.LessOrEqual(t, calls, hosts*perHost, "the store is called once in a quarter of the delay at most")
	f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
	time.Sleep(testMaxDelay)
	require.Zero(t, f.countWrong("u3", false), "the return is noticed in time")
}
