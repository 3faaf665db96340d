package directory

import (
	"context"
	"encoding/base64"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/routing"
)

const testMaxDelay = 3 * time.Second

// testFormat decodes upstreams' entries from CBOR.
type testFormat struct{}

func (testFormat) ConfigKey() string { return "config" }

func (testFormat) DecodeConfig(raw []byte) (c routing.Config, err error) {
	c.Version = routing.Version(len(raw))
	return c, nil
}

func (testFormat) UpstreamID(key string) (instance.ID, bool) {
	if len(key) > 3 && key[:3] == "up/" {
		return instance.ID(key[3:]), true
	}
	return "", false
}

func (testFormat) EvacuatedDataCentre(key string) (host.DataCentre, bool) {
	dc, is := strings.CutPrefix(key, "evacuate/")
	return host.DataCentre(dc), is
}

func (testFormat) DecodeUpstream(id instance.ID, raw []byte) (e instance.Entry, err error) {
	err = cbor.Unmarshal(raw, &e)
	e.ID = id
	return e, err
}

// testStore is a store whose calls can hang, fail or fall silent.
type testStore struct {
	mu          sync.Mutex // guards the fields below
	items       []Item     // every change in order
	changed     chan struct{}
	era         int64
	hangs       map[int]bool
	calls       int
	rejectCalls bool
	silent      bool // waiting watches receive nothing until they time out
	cutsWatches bool // ends watches at once instead of letting them wait
	unreadable  bool // answers watches with changes that can't be read
}

// put records a change.
func (s *testStore) put(key string, e instance.Entry, removed bool) {
	raw, err := cbor.Marshal(e)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, Item{Key: key, Value: raw, Era: s.era, Revision: int64(len(s.items) + 1), Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore takes the store back to the copy made after the first n changes.
func (s *testStore) restore(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items = slices.Clone(s.items[:n])
	for i := range s.items {
		s.items[i].Era = s.era
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// source is the store as one host sees it.
type source struct {
	*testStore
	host int
	link *testLink // of the host, nil if its bandwidth does not matter
}

// send passes the store's answer with items over the host's link.
func (s source) send(ctx context.Context, items []Item) error {
	bytes := 0
	for _, i := range items {
		bytes += base64.StdEncoding.EncodedLen(len(i.Value))
	}
	return s.link.pass(ctx, bytes)
}

func (s source) startCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	hangs, reject := s.hangs[s.host], s.rejectCalls
	s.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if reject {
		return errs.New("call rejected")
	}
	return nil
}

func (s source) Read(ctx context.Context) ([]Item, infra.Position, error) {
	if err := s.startCall(ctx); err != nil {
		return nil, infra.Position{}, err
	}
	all, asOf := s.listing()
	return all, asOf, s.send(ctx, all)
}

// listing returns what the store holds.
func (s *testStore) listing() (all []Item, asOf infra.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := make(map[string]Item)
	for _, i := range s.items {
		newest[i.Key] = i
	}
	for _, i := range newest {
		if !i.Removed {
			all = append(all, i)
		}
	}
	return all, infra.Position{Era: s.era, Revision: int64(len(s.items))}
}

func (source) Reconnect() {}

func (s source) ReadConfig(ctx context.Context) (config Item, found bool, err error) {
	if err := s.startCall(ctx); err != nil {
		return Item{}, false, err
	}
	all, _ := s.listing()
	i := slices.IndexFunc(all, func(i Item) bool { return i.Key == "config" })
	if i < 0 {
		return Item{}, false, nil
	}
	return all[i], true, s.send(ctx, all[i:i+1])
}

func (s source) Changes(ctx context.Context, after infra.Position, wait time.Duration, onArrival func()) ([]Item, infra.Position, error) {
	return s.changes(ctx, "", after, wait, onArrival)
}

func (s source) UpstreamChanges(ctx context.Context, after infra.Position, wait time.Duration) ([]Item, infra.Position, error) {
	return s.changes(ctx, "up/", after, wait, func() {})
}

func (s source) changes(caller context.Context, prefix string, after infra.Position, wait time.Duration, onArrival func()) ([]Item, infra.Position, error) {
	ctx, cancel := context.WithTimeout(caller, wait+time.Second)
	defer cancel()
	if err := s.startCall(ctx); err != nil {
		return nil, infra.Position{}, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		items, changed := slices.Clone(s.items[min(int(after.Revision), len(s.items)):]), s.changed
		items = slices.DeleteFunc(items, func(i Item) bool { return !strings.HasPrefix(i.Key, prefix) })
		newest := infra.Position{Era: s.era, Revision: int64(len(s.items))}
		silent, cut := s.silent && wait > confirmWait, s.cutsWatches && wait > confirmWait
		s.mu.Unlock()
		if cut {
			return nil, infra.Position{}, ErrWatchCut
		}
		if silent {
			<-ctx.Done()
			return nil, infra.Position{}, ctx.Err()
		}
		if newest.Era != after.Era {
			return nil, infra.Position{}, ErrHistoryGone
		}
		if len(items) > 0 && s.unreadable {
			return nil, infra.Position{}, ErrUnreadable
		}
		if len(items) > 0 {
			onArrival()
			return items, newest, s.send(caller, items)
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, newest, nil
		case <-ctx.Done():
			return nil, infra.Position{}, ctx.Err()
		}
	}
}

// testHost is one host with its view of the fleet and its calls to other
// hosts.
type testHost struct {
	*Directory
	*testFleet
	index    int
	handlers map[link.Method]link.Handler
	frozen   atomic.Bool
	in, out  *testLink // nil if the bandwidth does not matter
	isFormer bool      // whether the host is of the build before
}

func (h *testHost) Handle(method link.Method, handler link.Handler) { h.handlers[method] = handler }
func (h *testHost) Self() host.Info                                 { return h.infos[h.index] }
func (h *testHost) Lookup(id host.ID) (host.Member, bool)           { return host.Member{}, false }
func (h *testHost) Subscribe(member.Topic, func(member.Fact))       {}
func (h *testHost) Publish(member.Topic, string, []byte) error      { return nil }

func (h *testHost) Members() []host.Member {
	var all []host.Member
	for _, info := range h.infos {
		if h.isFormer {
			info.Capacity = 0 // that build chooses watchers by address alone
		}
		all = append(all, host.Member{Info: info})
	}
	return all
}

func (h *testHost) Call(ctx context.Context, peer netip.AddrPort, method link.Method, in, out any) error {
	to := h.byAddr[peer]
	if to.frozen.Load() {
		<-ctx.Done()
		return ctx.Err()
	}
	raw, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	if h.isFormer || to.isFormer {
		if method == configurationMethod {
			return link.ErrUnknownMethod
		}
		raw = withoutNewFields(raw, 4)
	}
	answer, err := to.handlers[method](ctx, func(into any) error { return cbor.Unmarshal(raw, into) })
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(answer); err != nil {
		return err
	}
	if h.isFormer || to.isFormer {
		raw = withoutNewFields(raw, 11)
	}
	if err := passBoth(ctx, to.out, h.in, len(raw)); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, out)
}

// withoutNewFields returns a message without its fields after the last one that the build before
// knows.
func withoutNewFields(raw []byte, last int) []byte {
	var fields map[int]cbor.RawMessage
	if err := cbor.Unmarshal(raw, &fields); err != nil {
		panic(err)
	}
	maps.DeleteFunc(fields, func(key int, _ cbor.RawMessage) bool { return key > last })
	raw, err := cbor.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return raw
}

// testFleet is a set of hosts that share one store.
type testFleet struct {
	store  *testStore
	infos  []host.Info
	byAddr map[netip.AddrPort]*testHost
	hosts  []*testHost
}

func newTestFleet(t *testing.T, size int) *testFleet {
	return newLinkedFleet(t, make([]float64, size), testFormat{}, 0)
}

// newLinkedFleet returns a fleet of a host for each given bandwidth in Mbit/s. A bandwidth of 0
// does not matter. Of formerOf hosts, one is of the build before; of 0, none.
func newLinkedFleet(t *testing.T, megabits []float64, format Format, formerOf int) *testFleet {
	f := &testFleet{
		store: &testStore{changed: make(chan struct{}), hangs: make(map[int]bool)}, byAddr: make(map[netip.AddrPort]*testHost),
	}
	for i, bandwidth := range megabits {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		f.infos = append(f.infos, host.Info{ID: host.ID(fmt.Sprint("h", i)), LinkAddr: addr, Capacity: bandwidth / 250})
	}
	for i := range 20 {
		f.store.put(fmt.Sprint("up/u", i), instance.Entry{Service: "s"}, false)
	}
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i, bandwidth := range megabits {
		h := &testHost{
			testFleet: f, index: i, handlers: make(map[link.Method]link.Handler), in: newTestLink(bandwidth), out: newTestLink(bandwidth),
			isFormer: formerOf > 0 && i%formerOf == 0,
		}
		h.Directory = New(Config{
			Source: source{f.store, i, h.in}, Format: format, Instances: instance.NewTable(nil), Fleet: h, Gossip: h, Caller: h,
			MaxPropagationDelay: testMaxDelay, LinkMegabits: bandwidth, Logger: slog.New(slog.DiscardHandler), OnConfig: func(*routing.Table) {},
		}, h)
		f.hosts = append(f.hosts, h)
		f.byAddr[h.Self().LinkAddr] = h
	}
	for _, h := range f.hosts {
		running.Go(func() { _ = h.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		running.Wait()
	})
	time.Sleep(3 * time.Second)
	return f
}

// watching returns the hosts that watch the store.
func (f *testFleet) watching() (all []*testHost) {
	for _, w := range watchers(f.hosts[0].Members()) {
		all = append(all, f.byAddr[w.LinkAddr])
	}
	return all
}

// countWrong counts the running hosts on which the upstream's availability for
// new work differs from wanted.
func (f *testFleet) countWrong(id instance.ID, wanted bool) (count int) {
	for _, h := range f.hosts {
		entry, known := h.config.Instances.Lookup(id)
		if !h.frozen.Load() && (known && !entry.Leaving) != wanted {
			count++
		}
	}
	return count
}

// Guards against store calls that grow with the number of idle hosts: 120
// hosts share a store that counts each call.
func TestFewHostsOfALargeFleetWatchTheStore(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 120)
	f.store.mu.Lock()
	f.store.calls = 0
	f.store.mu.Unlock()
	time.Sleep(5 * time.Second)
	f.store.mu.Lock()
	calls := f.store.calls
	f.store.mu.Unlock()
	require.LessOrEqual(t, calls, 5*(minWatchers+120/hostsPerWatcher)*2, "two calls a second of each watcher")
	f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
	f.store.put("up/u4", instance.Entry{}, true)
	f.store.put("up/new", instance.Entry{Service: "s"}, false)
	time.Sleep(testMaxDelay)
	require.Zero(t, f.countWrong("u3", false))
	require.Zero(t, f.countWrong("u4", false))
	require.Zero(t, f.countWrong("new", true))
}

// Guards against a change that arrives late because all watchers have just
// stopped answering or have lost the store without noticing.
func TestHostsBypassUnresponsiveOrStaleWatchers(t *testing.T) {
	t.Parallel()
	for name, injectFault := range map[string]func(f *testFleet, w *testHost){
		"frozen":         func(_ *testFleet, w *testHost) { w.frozen.Store(true) },
		"store is quiet": func(f *testFleet, w *testHost) { f.store.hangs[w.index] = true },
	} {
		for phase := time.Duration(0); phase < time.Second; phase += 130 * time.Millisecond {
			t.Run(fmt.Sprint(name, " ", phase), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t, 24)
				time.Sleep(phase)
				f.store.mu.Lock()
				for _, w := range f.watching() {
					injectFault(f, w)
				}
				f.store.mu.Unlock()
				time.Sleep(10 * time.Millisecond)
				f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
				time.Sleep(testMaxDelay)
				wrong := f.countWrong("u3", false)
				if name != "frozen" {
					wrong -= len(f.watching()) // the watchers themselves can't receive the change
				}
				require.LessOrEqual(t, wrong, 0, "%s after %s", name, phase)
			})
		}
	}
}

// Guards against flooding a store that rejects all calls: hosts must call it
// less and less often, and follow it again afterwards.
func TestCallsBackOffDuringStoreOutage(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 24)
	f.store.mu.Lock()
	f.store.rejectCalls, f.store.calls = true, 0
	f.store.mu.Unlock()
	time.Sleep(5 * time.Second)
	f.store.mu.Lock()
	calls := f.store.calls
	f.store.rejectCalls = false
	f.store.mu.Unlock()
	require.LessOrEqual(t, calls, 24*5*int(time.Second/maxRetryDelay)*2)
	f.store.put("up/u5", instance.Entry{}, true)
	time.Sleep(testMaxDelay)
	require.LessOrEqual(t, f.countWrong("u5", false), 0)
}

// Guards against an upstream that stays on a host without the store: its entry
// expired during an outage and the upstream did not return, which the host
// must learn from others.
func TestExpiredUpstreamIsRemovedAtHostWithoutStore(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 12)
	f.store.mu.Lock()
	f.store.rejectCalls, f.store.hangs[0] = true, true
	f.store.mu.Unlock()
	time.Sleep(3 * time.Second)
	f.store.put("up/u5", instance.Entry{}, true)
	f.store.mu.Lock()
	f.store.rejectCalls = false
	f.store.mu.Unlock()
	time.Sleep(expiryGrace + time.Second)
	f.store.put("up/new", instance.Entry{Service: "s"}, false)
	time.Sleep(testMaxDelay)
	require.Zero(t, f.countWrong("new", true))
	require.Zero(t, f.countWrong("u5", false))
}

// Guards against the loss of an upstream that is back: a host that is behind
// announces the expiry of the upstream's older entry.
func TestExpiryOfOlderEntryKeepsNewerOne(t *testing.T) {
	t.Parallel()
	h := newTestFleet(t, 2).hosts[0]
	before, known := h.config.Instances.Lookup("u3")
	require.True(t, known)
	h.store.put("up/u3", instance.Entry{Service: "s"}, false)
	time.Sleep(testMaxDelay)
	h.applyAnswer(followAnswer{Expiries: map[instance.ID]wireExpiry{"u3": {Left: time.Second, Revision: before.Revision}}}, netip.AddrPort{})
	time.Sleep(testMaxDelay)
	_, known = h.config.Instances.Lookup("u3")
	require.True(t, known)
}

// Guards against missed changes when the store's watches fall silent without
// ending while it still answers other calls. Hosts of small and large fleets
// must notice soon after the store recovers.
func TestSilentWatchIsNoticed(t *testing.T) {
	t.Parallel()
	const silence, stable = time.Second, 3 * time.Second
	for _, size := range []int{12, 24} {
		for phase := time.Duration(0); phase < 3*time.Second; phase += 370 * time.Millisecond {
			t.Run(fmt.Sprint(size, " ", phase), func(t *testing.T) {
				t.Parallel()
				f := newTestFleet(t, size)
				time.Sleep(phase)
				f.store.mu.Lock()
				f.store.silent = true
				f.store.mu.Unlock()
				f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
				time.Sleep(silence)
				f.store.mu.Lock()
				f.store.silent = false
				f.store.mu.Unlock()
				time.Sleep(stable)
				require.Zero(t, f.countWrong("u3", false), "%d hosts, after %s", size, phase)
			})
		}
	}
}
