package quarantine

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/upstream"
)

// fakeGossip delivers facts between the hosts of a test after a delay.
type fakeGossip struct {
	now         time.Time
	delay       time.Duration
	subscribers []func(member.Fact)
	pending     []delivery
}

type delivery struct {
	at   time.Time
	from int
	fact member.Fact
}

// fakeGossipPeer is the gossip of one host.
type fakeGossipPeer struct {
	gossip *fakeGossip
	index  int
}

func (s fakeGossipPeer) Publish(t member.Topic, key string, payload []byte) error {
	fact := member.Fact{From: host.ID(fmt.Sprint(s.index)), Topic: t, Key: key, Payload: payload}
	s.gossip.pending = append(s.gossip.pending, delivery{at: s.gossip.now.Add(s.gossip.delay), from: s.index, fact: fact})
	return nil
}

func (s fakeGossipPeer) Subscribe(_ member.Topic, deliver func(member.Fact)) {
	s.gossip.subscribers = append(s.gossip.subscribers, deliver)
}

func (b *fakeGossip) advance(d time.Duration) {
	b.now = b.now.Add(d)
	waiting := b.pending[:0]
	for _, p := range b.pending {
		if p.at.After(b.now) {
			waiting = append(waiting, p)
			continue
		}
		for i, deliver := range b.subscribers {
			if i != p.from {
				deliver(p.fact)
			}
		}
	}
	b.pending = waiting
}

func newFleet(t *testing.T, hosts int, delay time.Duration) (*fakeGossip, []*Quarantine) {
	b := &fakeGossip{now: time.Unix(1_000_000, 0), delay: delay}
	var fleet []*Quarantine
	for i := range hosts {
		q, err := New(Config{Gossip: fakeGossipPeer{b, i}, Now: func() time.Time { return b.now }}, link.NewMux())
		require.NoError(t, err)
		fleet = append(fleet, q)
	}
	return b, fleet
}

// A request that crashes every upstream is sent repeatedly through all hosts,
// at intervals of seconds. It must be refused after two losses.
func TestCrashingRequestThroughTwelveHosts(t *testing.T) {
	const hosts, sends = 12, 600
	worst := 0
	for seed := uint64(1); seed <= 20; seed++ {
		rng := rand.New(rand.NewPCG(seed, 0))
		b, fleet := newFleet(t, hosts, time.Second)
		lost := 0
		for i := range sends {
			q := fleet[i%hosts]
			if q.Check(b.now, Digest{1}) != Refuse {
				id := upstream.ID(fmt.Sprint("up-", i))
				q.Started(Digest{1}, id)
				lost++
				b.advance(time.Duration(100+rng.IntN(400)) * time.Millisecond)
				q.Ended(Digest{1}, id, true)
			}
			b.advance(time.Duration(1200+rng.IntN(3000)) * time.Millisecond)
		}
		worst = max(worst, lost)
	}
	t.Logf("upstreams lost at most %d", worst)
	require.LessOrEqual(t, worst, 2)
}

// The request is sent through all hosts at the same time, before any of them is
// told of the others' losses. Each host may lose one upstream, and then one
// more is allowed in total.
func TestCrashingRequestThroughTwelveHostsAtOnce(t *testing.T) {
	const hosts = 12
	b, fleet := newFleet(t, hosts, time.Second)
	lost := 0
	for range 50 {
		for i, q := range fleet {
			if q.Check(b.now, Digest{1}) == Refuse {
				continue
			}
			lost++
			id := upstream.ID(fmt.Sprint("up-", lost))
			q.Started(Digest{1}, id)
			b.advance(time.Duration(i) * time.Millisecond)
			q.Ended(Digest{1}, id, true)
		}
		b.advance(3 * time.Second)
	}
	t.Logf("upstreams lost %d", lost)
	require.LessOrEqual(t, lost, hosts+1)
}

// A rack fails twice while its upstreams run many requests, which the hosts
// retry elsewhere. None of the requests may become a suspect.
func TestRackFailureCondemnsNoRequest(t *testing.T) {
	b, fleet := newFleet(t, 12, 500*time.Millisecond)
	for range 2 {
		for machine := range 20 {
			q := fleet[machine%len(fleet)]
			for slot := range 3 {
				d := Digest{byte(machine), byte(slot)}
				q.Started(d, upstream.ID(fmt.Sprint("rack-", machine)))
				q.Ended(d, upstream.ID(fmt.Sprint("rack-", machine)), true)
			}
		}
		b.advance(10 * time.Second)
	}
	for machine := range 20 {
		for slot := range 3 {
			for _, q := range fleet {
				require.Equal(t, Allow, q.Check(b.now, Digest{byte(machine), byte(slot)}))
			}
		}
	}
}

func TestSuspectThatSucceedsIsCleared(t *testing.T) {
	b, fleet := newFleet(t, 3, 500*time.Millisecond)
	fleet[0].Ended(Digest{1}, "up-1", true)
	b.advance(time.Second)
	require.Equal(t, RunAlone, fleet[1].Check(b.now, Digest{1}))
	require.Equal(t, Refuse, fleet[1].Check(b.now, Digest{1}))
	b.advance(time.Second)
	require.Equal(t, Refuse, fleet[2].Check(b.now, Digest{1}))
	fleet[1].Started(Digest{1}, "up-2")
	fleet[1].Ended(Digest{1}, "up-2", false)
	b.advance(time.Second)
	for _, q := range fleet {
		require.Equal(t, Allow, q.Check(b.now, Digest{1}))
	}
}

// The same loss is recorded repeatedly, together with a loss of the same
// upstream 5 s later. Losses of one upstream must count once.
func TestLossesOfOneUpstreamCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(Settings{})
	loss := Loss{Digest: Digest{1}, Upstream: "up-1", At: now}
	for range 10 {
		l.RecordLoss(now.Add(time.Minute), loss)
		l.RecordLoss(now.Add(time.Minute), Loss{Digest: Digest{1}, Upstream: "up-1", At: now.Add(5 * time.Second)})
	}
	require.Equal(t, RunAlone, l.Check(now.Add(2*time.Minute), Digest{1}))
}

// A sound request that its caller sends again meets two upstreams that crash on a part of
// other requests. It was refused for an hour. Once the part is known, the losses have
// another cause than the request.
func TestRequestBesideACrashingPartIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	explained := false
	l := NewLedger(Settings{Explained: func(upstream.ID) bool { return explained }})
	for i := range 2 {
		at := now.Add(time.Duration(i) * time.Second)
		l.RecordLoss(at, Loss{Digest: Digest{1}, Upstream: upstream.ID(fmt.Sprint("up-", i)), At: at})
	}
	require.Equal(t, Refuse, l.Check(now.Add(2*time.Second), Digest{1}))
	explained = true
	require.Equal(t, Allow, l.Check(now.Add(2*time.Second), Digest{1}))
}

// A request crashes upstreams that run other requests too. The losses under
// those other requests on the same upstreams must not make the crashes look
// like the failure of a rack.
func TestConcurrentRequestsDoNotHideACrashingRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(Settings{})
	crashing := Digest{1}
	// Another request crashes an upstream at the same time.
	l.RecordLoss(now, Loss{Digest: Digest{3}, Upstream: "up-other", At: now})
	for crash := range 2 {
		at := now.Add(time.Duration(crash) * 600 * time.Millisecond)
		id := upstream.ID(fmt.Sprint("up-", crash))
		for bystander := range 3 {
			l.RecordLoss(at, Loss{Digest: Digest{2, byte(crash), byte(bystander)}, Upstream: id, At: at})
		}
		l.RecordLoss(at, Loss{Digest: crashing, Upstream: id, At: at})
	}
	require.Equal(t, Refuse, l.Check(now.Add(time.Second), crashing))
}

// Guards against a host that starts after all that saw the crashes have stopped and runs the
// request again, against a sound request that becomes a suspect again by a host that has not
// learned that it ran to its end, and against a right to run alone that hosts prolong for each
// other for ever.
func TestStartingHostLearnsOfSuspectRequests(t *testing.T) {
	b, fleet := newFleet(t, 2, time.Second)
	learn := func(from *Quarantine) *Quarantine {
		_, started := newFleet(t, 1, time.Second)
		started[0].now = func() time.Time { return b.now }
		started[0].merge(from.report(), "host")
		return started[0]
	}
	condemned, suspect := Digest{1}, Digest{2}
	fleet[0].Ended(condemned, "u0", true)
	b.advance(time.Second)
	fleet[0].Ended(condemned, "u1", true)
	b.advance(5 * time.Second)
	fleet[0].Ended(suspect, "u2", true)
	b.advance(time.Second)
	third := learn(learn(fleet[1]))
	require.Equal(t, Refuse, third.Check(b.now, condemned))
	require.Equal(t, RunAlone, third.Check(b.now, suspect))
	held := learn(third)
	for range 9 {
		b.advance(DefaultSettings().AloneLease / 10)
		held.merge(third.report(), "host")
		third.merge(held.report(), "host")
	}
	require.Equal(t, Refuse, held.Check(b.now, suspect))
	b.advance(DefaultSettings().AloneLease / 10)
	require.Equal(t, RunAlone, held.Check(b.now, suspect))
	held.Ended(suspect, "", false)
	held.merge(fleet[1].report(), "host")
	require.Equal(t, Allow, held.Check(b.now, suspect))
	require.Equal(t, Refuse, held.Check(b.now, condemned))
	b.advance(DefaultSettings().CondemnedTTL)
	held.merge(third.report(), "host")
	require.NotEqual(t, Refuse, held.Check(b.now, condemned), "it is not refused for longer than by the host that condemned it")
}

// Load: the store has a condemned request, an odd value and an odd name; no host is left. Guards
// against a request that crashes upstreams again after a loss of all hosts, one that is refused
// though a part of its prompt explains the losses, and a key that is written for each refusal.
func TestCondemnedRequestIsKeptInTheStore(t *testing.T) {
	now, kept := time.Unix(1_000_000, 0), make(map[string][]byte)
	writes, explained := 0, false
	start := func() *Quarantine {
		q, err := New(Config{
			Gossip: fakeGossipPeer{&fakeGossip{}, 0}, Now: func() time.Time { return now }, Logger: slog.New(slog.DiscardHandler),
			Settings: Settings{Explained: func(upstream.ID) bool { return explained }},
			Keep: func(name string, value []byte, ttl time.Duration) {
				require.LessOrEqual(t, ttl, 10*time.Minute)
				kept[name], writes = value, writes+1
			},
		}, link.NewMux())
		require.NoError(t, err)
		return q
	}
	q, d := start(), Digest{7}
	for _, id := range []upstream.ID{"u0", "u1"} {
		q.Ended(d, id, true)
		now = now.Add(time.Second)
	}
	require.Equal(t, Refuse, q.Check(now, d))
	require.Equal(t, 1, writes)
	restarted := start()
	for name, value := range kept {
		require.NoError(t, restarted.Kept(name, value))
		require.ErrorContains(t, restarted.Kept(name, []byte("odd")), "is malformed")
		require.ErrorContains(t, restarted.Kept("odd", value), "has no digest")
	}
	require.Equal(t, Refuse, restarted.Check(now, d))
	require.Equal(t, 1, writes)
	explained = true
	require.Equal(t, Allow, restarted.Check(now, d))
	explained = false
	now = now.Add(6 * time.Minute)
	require.Equal(t, Refuse, restarted.Check(now, d))
	require.Equal(t, 2, writes, "the store forgets after ten minutes, so that it is written again")
}

// Guards against reports that grow with the losses of a rack, and that leave out what is condemned.
func TestReportIsBounded(t *testing.T) {
	b, fleet := newFleet(t, 1, time.Second)
	for _, id := range []upstream.ID{"a", "b"} {
		fleet[0].Ended(Digest{1}, id, true)
		b.advance(time.Second)
	}
	for i := range 1000 {
		fleet[0].Ended(Digest{2, byte(i), byte(i >> 8)}, upstream.ID(fmt.Sprint("u", i)), true)
	}
	r := fleet[0].report()
	require.Len(t, r.Suspects, maxReported)
	require.Equal(t, byte(1), r.Suspects[0].Digest[0])
}

// Guards against a host that takes the error of a host of the build before, which does not know the
// method, for an answer, and then learns nothing from newer ones for long.
func TestHostsOfTheBuildBeforeAreAskedNoLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := hosttest.Fleet{
			{Info: host.Info{ID: "self"}},
			{Info: host.Info{ID: "old", LinkAddr: netip.MustParseAddrPort("10.0.0.1:1")}},
			{Info: host.Info{ID: "new", LinkAddr: netip.MustParseAddrPort("10.0.0.2:1")}},
		}
		asked := make(map[netip.AddrPort]int)
		_, known := newFleet(t, 1, time.Second)
		condemned := Digest{1}
		now := time.Now()
		known[0].now = func() time.Time { return now }
		known[0].Ended(condemned, "u0", true)
		now = now.Add(time.Second)
		known[0].Ended(condemned, "u1", true)
		q, err := New(Config{
			Gossip: fakeGossipPeer{&fakeGossip{}, 0}, Fleet: fleet, Logger: slog.New(slog.DiscardHandler),
			Caller: callerFunc(func(peer netip.AddrPort, out any) error {
				if asked[peer]++; peer == fleet[1].LinkAddr {
					return link.ErrUnknownMethod
				}
				*out.(*requestsReport) = known[0].report()
				return nil
			}),
		}, link.NewMux())
		require.NoError(t, err)
		ctx, stop := context.WithTimeout(t.Context(), time.Minute)
		defer stop()
		require.NoError(t, q.Run(ctx))
		require.Equal(t, Refuse, q.Check(time.Now(), condemned))
		require.Positive(t, asked[fleet[1].LinkAddr])
		require.Greater(t, asked[fleet[1].LinkAddr]+asked[fleet[2].LinkAddr], 25)
	})
}

// callerFunc answers calls between hosts.
type callerFunc func(peer netip.AddrPort, out any) error

func (f callerFunc) Call(_ context.Context, peer netip.AddrPort, _ link.Method, _, out any) error {
	return f(peer, out)
}
