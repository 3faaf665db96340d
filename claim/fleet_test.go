package claim

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// network carries calls between the hosts of a test and can inject faults.
type network struct {
	mu    sync.Mutex // guards all below
	hosts map[netip.AddrPort]map[link.Method]link.Handler
	dead  map[netip.AddrPort]bool
	// silent makes calls to dead hosts hang instead of being refused.
	silent bool
	// loseReply says whether to lose the answer of a call.
	loseReply func(link.Method) bool
	// cut says whether calls from one host to another fail.
	cut func(from, to netip.AddrPort) bool
}

func newNetwork() *network {
	return &network{
		hosts: make(map[netip.AddrPort]map[link.Method]link.Handler),
		dead:  make(map[netip.AddrPort]bool),
	}
}

// endpoint is one host's connection to the network.
type endpoint struct {
	network *network
	addr    netip.AddrPort
}

func (p *endpoint) Handle(method link.Method, handler link.Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.hosts[p.addr] == nil {
		p.network.hosts[p.addr] = make(map[link.Method]link.Handler)
	}
	p.network.hosts[p.addr][method] = handler
}

func (p *endpoint) Call(ctx context.Context, peer netip.AddrPort, method link.Method, in, out any) error {
	n := p.network
	n.mu.Lock()
	handler := n.hosts[peer][method]
	unreachable := handler == nil || n.dead[peer] || n.dead[p.addr] || (n.cut != nil && n.cut(p.addr, peer))
	lose := n.loseReply != nil && n.loseReply(method)
	silent := n.silent && n.dead[peer]
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return link.Error.Wrap(ctx.Err())
	}
	if unreachable {
		return link.ErrNotSent
	}
	data, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, func(into any) error { return cbor.Unmarshal(data, into) })
	if err != nil {
		return link.Error.Wrap(err)
	}
	if lose {
		return link.Error.New("connection reset")
	}
	back, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	n.mu.Lock()
	unreachable = n.dead[peer]
	n.mu.Unlock()
	if unreachable || ctx.Err() != nil {
		return link.Error.New("connection lost")
	}
	return cbor.Unmarshal(back, out)
}

// fakeView is one host's member list.
type fakeView struct {
	mu      sync.Mutex // guards members
	self    host.Info
	members []host.Member
}

func (v *fakeView) Self() host.Info { return v.self }

func (v *fakeView) Members() []host.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.members)
}

func (v *fakeView) Lookup(id host.ID) (host.Member, bool) {
	for _, m := range v.Members() {
		if m.ID == id {
			return m, true
		}
	}
	return host.Member{}, false
}

// node is one host of a test.
type node struct {
	*Service
	info  host.Info
	store *pausableStore
	view  *fakeView
	stop  func()
}

// fleet is a set of hosts that share one store.
type fleet struct {
	store   *fakeStore
	network *network
	nodes   []*node
}

func testSettings() Settings {
	return Settings{
		Shards:             2,
		RingSlots:          8,
		BatchWindow:        2 * time.Millisecond,
		OutcomeDelay:       5 * time.Millisecond,
		ProbeTimeout:       100 * time.Millisecond,
		CallTimeout:        300 * time.Millisecond,
		StoreTimeout:       200 * time.Millisecond,
		MinTakeoverBackoff: 50 * time.Millisecond,
		HandoffDelay:       time.Hour,
		SegmentBytes:       16 << 10,
	}
}

func infoOf(i int) host.Info {
	return host.Info{
		ID:       host.ID(fmt.Sprintf("host-%02d", i)),
		LinkAddr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
	}
}

func newFleet(t testing.TB, size int, seed uint64, settings Settings) *fleet {
	f := &fleet{store: newFakeStore(seed), network: newNetwork()}
	for i := range size {
		f.start(t, infoOf(i), size, settings)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes {
			n.stop()
		}
	})
	return f
}

func (f *fleet) start(t testing.TB, self host.Info, size int, settings Settings) *node {
	view := &fakeView{self: self}
	for i := range size {
		view.members = append(view.members, host.Member{Info: infoOf(i)})
	}
	n := &node{info: self, view: view, store: &pausableStore{fakeStore: f.store}}
	f.network.mu.Lock()
	delete(f.network.dead, self.LinkAddr)
	f.network.mu.Unlock()
	ep := &endpoint{network: f.network, addr: self.LinkAddr}
	service, err := New(Config{Store: n.store, View: view, Caller: ep, Registrar: ep, Settings: settings})
	require.NoError(t, err)
	n.Service = service
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = service.Run(ctx)
	}()
	n.stop = func() {
		cancel()
		<-done
	}
	f.nodes = append(f.nodes, n)
	require.Eventually(t, service.serving, 10*time.Second, time.Millisecond)
	return n
}

// kill disconnects a host at once and stops it.
func (f *fleet) kill(n *node) {
	f.network.mu.Lock()
	f.network.dead[n.info.LinkAddr] = true
	f.network.mu.Unlock()
	n.stop()
}

func key(name string) Key {
	return Key{Workspace: "w", Service: "orders", IdempotencyKey: name}
}

func withTimeout(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), d)
}

func (n *node) mustBegin(t testing.TB, k Key, d Digest) Decision {
	t.Helper()
	ctx, cancel := withTimeout(10 * time.Second)
	defer cancel()
	decision, err := n.Begin(ctx, k, d, "request")
	require.NoError(t, err)
	return decision
}

// testTimeout is far longer than any step of a passing test takes.
const testTimeout = 20 * time.Second

func outcomeWithBody(text string) Outcome {
	return Outcome{Status: 200, ContentType: "application/json", Body: []byte(text)}
}
