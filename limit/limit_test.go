package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	testStep            = 20 * time.Millisecond
	testLimit           = 200.0
	testWorkspace       = "w"
	defaultGossipMillis = 500
)

// delivery is a publication on its way to a host.
type delivery struct {
	at     time.Time
	from   int
	claims []claim
}

// fleet simulates several hosts behind an uneven load balancer, with gossip
// that is slow and loses messages.
type fleet struct {
	now             time.Time
	rand            *rand.Rand
	allocators      []*allocator
	dead            []bool
	partition       []int
	deliveries      [][]delivery
	publishedAt     []time.Time
	loss            float64
	maxGossipMillis int     // longest delay of a publication
	limit           float64 // requests per second
	granted         float64 // requests since grantedRate was called
	tokens          float64
}

func newFleet(seed uint64, hosts int) *fleet { return newFleetWithLimit(seed, hosts, testLimit) }

func newFleetWithLimit(seed uint64, hosts int, limit float64) *fleet {
	f := &fleet{
		limit: limit,
		now:   time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 2)),
		dead: make([]bool, hosts), partition: make([]int, hosts), deliveries: make([][]delivery, hosts), publishedAt: make([]time.Time, hosts), loss: 0.05, maxGossipMillis: defaultGossipMillis,
	}
	for range hosts {
		a := newAllocator()
		a.hosts = hosts
		a.configure([]document.Limit{{Workspace: testWorkspace, RequestsPerSecond: limit, TokensPerSecond: 10 * limit}})
		f.allocators = append(f.allocators, a)
	}
	return f
}

func hostID(i int) host.ID { return host.ID(fmt.Sprintf("h%d", i)) }

// run offers load, as a multiple of the limit, split over the hosts by weight.
func (f *fleet) run(span time.Duration, load float64, weights func(i int) float64) {
	total := 0.0
	for i := range f.allocators {
		total += weights(i)
	}
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(testStep) {
		for i, a := range f.allocators {
			if f.dead[i] {
				continue
			}
			f.step(i, a)
			f.offer(a, load*f.limit*testStep.Seconds()*weights(i)/total)
		}
	}
}

func (f *fleet) offer(a *allocator, expected float64) {
	for ; expected > 0; expected-- {
		if f.rand.Float64() >= expected {
			continue
		}
		if ok, _ := a.take(f.now, testWorkspace, "c", 1, 5); ok {
			f.granted++
			f.tokens += 5
		}
	}
}

func (f *fleet) step(i int, a *allocator) {
	var pending []delivery
	for _, d := range f.deliveries[i] {
		if d.at.After(f.now) {
			pending = append(pending, d)
			continue
		}
		a.recordClaims(hostID(d.from), "0", d.claims)
	}
	f.deliveries[i] = pending
	offset := f.now.Sub(time.Unix(1000, 0)) + time.Duration(i)*testStep
	if offset%tickInterval == 0 {
		a.setMembers(f.now, f.aliveFor(i))
		a.tick(f.now)
		if f.now.Sub(f.publishedAt[i]) >= publishWait(len(f.allocators)-1, a.hasUrgentChange()) {
			f.publishedAt[i] = f.now
			f.publish(i, a.claims(f.now, maxClaims))
		}
	}
}

func (f *fleet) aliveFor(i int) map[host.ID]bool {
	alive := make(map[host.ID]bool)
	for j := range f.allocators {
		if j != i && !f.dead[j] && f.partition[j] == f.partition[i] {
			alive[hostID(j)] = true
		}
	}
	return alive
}

func (f *fleet) publish(from int, claims []claim) {
	for to := range f.allocators {
		if to == from || f.partition[to] != f.partition[from] || f.rand.Float64() < f.loss {
			continue
		}
		delay := time.Duration(f.rand.IntN(f.maxGossipMillis)) * time.Millisecond
		f.deliveries[to] = append(f.deliveries[to], delivery{at: f.now.Add(delay), from: from, claims: claims})
	}
}

// grantedRate runs the fleet and returns the granted requests as a multiple of
// the limit.
func (f *fleet) grantedRate(span time.Duration, load float64, weights func(i int) float64) float64 {
	f.granted = 0
	f.run(span, load, weights)
	return f.granted / span.Seconds() / f.limit
}

func even(int) float64 { return 1 }

func skewed(i int) float64 {
	if i == 0 {
		return 20
	}
	return 1
}

// shifting gives nearly all demand to one host, which changes every period.
func (f *fleet) shifting(period time.Duration) func(i int) float64 {
	return func(i int) float64 {
		if i == int(f.now.Unix()/int64(period.Seconds()))%len(f.allocators) {
			return 50
		}
		return 1
	}
}

// Guards against exceeding a limit, or refusing much below it, when a load
// balancer gives most requests to one host.
func TestLimitHoldsBehindUnevenBalancer(t *testing.T) {
	for seed := range uint64(3) {
		for _, load := range []float64{0.5, 1.5, 4} {
			f := newFleet(seed, 12)
			f.run(10*time.Second, load, skewed)
			got := f.grantedRate(30*time.Second, load, skewed)
			t.Logf("skewed, load %.1f: granted %.3f", load, got)
			require.Greater(t, got, min(load, 1)*0.9)
			require.Less(t, got, 1.03)

			f.run(10*time.Second, load, f.shifting(5*time.Second))
			got = f.grantedRate(60*time.Second, load, f.shifting(5*time.Second))
			t.Logf("shifting every 5 s, load %.1f: granted %.3f", load, got)
			require.Greater(t, got, min(load, 1)*0.6)
			require.Less(t, got, 1.1)
		}
	}
}

// Guards against refusing a workspace that stays under its limit because each
// host sees few of its requests: here 1.2 per second on each of 12 hosts.
func TestSmallLimitOverManyHostsIsNotRefusedBelowIt(t *testing.T) {
	const limit, load = 20, 0.72
	for seed := range uint64(3) {
		f := newFleetWithLimit(seed, 12, limit)
		f.run(10*time.Second, load, even)
		got := f.grantedRate(2*time.Minute, load, even)
		t.Logf("offered %.2f of the limit, granted %.3f", load, got)
		require.Greater(t, got, load*0.95)
		got = f.grantedRate(time.Minute, 4, even)
		t.Logf("offered 4 times the limit, granted %.3f", got)
		require.Less(t, got, 1.1)
	}
}

// Guards against granting the whole limit on every host when a surge starts on
// all hosts at once and none knows the others' demand yet.
func TestSurgeAfterIdleStaysBounded(t *testing.T) {
	f := newFleet(1, 12)
	f.run(5*time.Second, 0, even)
	const seconds = 3
	got := f.grantedRate(seconds*time.Second, 10, even)
	t.Logf("first 3 s of a surge: granted %.3f", got)
	// The buckets of all hosts together hold burstTime of the limit.
	require.Less(t, got, (seconds+burstTime.Seconds())/seconds, "shares must not grow before the other hosts know the demand")
	got = f.grantedRate(seconds*time.Second, 10, even)
	t.Logf("next 3 s: granted %.3f", got)
	require.Less(t, got, 1.03)
}

// When gossip takes longer than demandSettleTime, a host computes its share as
// if it alone had demand. Guards against an excess that outlasts the delay.
func TestSlowGossipOvershootIsBounded(t *testing.T) {
	f := newFleet(4, 12)
	f.maxGossipMillis = 3000
	f.run(5*time.Second, 0, even)
	early := f.grantedRate(3*time.Second, 10, even)
	late := f.grantedRate(10*time.Second, 10, even)
	t.Logf("surge, gossip up to 3 s: granted %.3f in the first 3 s, %.3f in the next 10 s", early, late)
	require.Less(t, early, 2.5)
	require.Less(t, late, 1.1)

	f.run(10*time.Second, 2, f.shifting(5*time.Second))
	got := f.grantedRate(60*time.Second, 2, f.shifting(5*time.Second))
	t.Logf("shifting every 5 s, gossip up to 3 s: granted %.3f", got)
	require.Less(t, got, 1.3)
}

// The shares of dead hosts must become available after deadHostHold. During a
// partition the hosts together grant at most the limit until then, and
// afterwards each side grants at most the limit.
func TestDeadHostsAndPartitions(t *testing.T) {
	f := newFleet(2, 12)
	f.run(10*time.Second, 2, even)
	for i := range 4 {
		f.dead[i] = true
	}
	during := f.grantedRate(12*time.Second, 2, even)
	f.run(10*time.Second, 2, even)
	after := f.grantedRate(20*time.Second, 2, even)
	t.Logf("4 of 12 dead: granted %.3f during the hold, %.3f after", during, after)
	require.Less(t, during, 1.03)
	require.InDelta(t, 1, after, 0.05)

	f = newFleet(3, 12)
	f.run(10*time.Second, 2, even)
	for i := range 4 {
		f.partition[i] = 1
	}
	during = f.grantedRate(14*time.Second, 2, even)
	f.run(10*time.Second, 2, even)
	after = f.grantedRate(20*time.Second, 2, even)
	clear(f.partition)
	f.run(5*time.Second, 2, even)
	healed := f.grantedRate(20*time.Second, 2, even)
	t.Logf("partition 4 to 8: granted %.3f during the hold, %.3f after, %.3f healed", during, after, healed)
	require.Less(t, during, 1.03)
	require.Less(t, after, 2.03, "at most the limit on each side")
	require.InDelta(t, 1, healed, 0.05)
}

// If all hosts use the same figures, their shares add up to the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 1e6).Draw(t, "limit")
		demands := rapid.SliceOfN(rapid.Float64Range(0, 2e6), 1, 50).Draw(t, "demands")
		total := 0.0
		for _, d := range demands {
			total += d
		}
		sum := 0.0
		for _, d := range demands {
			b := bucket{limit: limit, settledDemand: d}
			b.updateShare(total-d, len(demands))
			sum += b.share
		}
		if sum < limit*0.999 || sum > limit*1.001 {
			t.Fatalf("shares add up to %v of %v", sum, limit)
		}
	})
}

// A take larger than the bucket succeeds when it is full and leaves a negative
// level, which a refund restores.
func TestLargeTakeLeavesDebt(t *testing.T) {
	a := newAllocator()
	a.configure([]document.Limit{
		{Workspace: "w", Class: "c", TokensPerSecond: 100},
		{Workspace: "w", RequestsPerSecond: 1000},
	})
	now := time.Unix(1000, 0)
	ok, _ := a.take(now, "w", "c", 1, 1000)
	require.True(t, ok, "the first request meets a full bucket")
	ok, wait := a.take(now, "w", "c", 1, 100)
	require.False(t, ok)
	require.InDelta(t, 10, wait.Seconds(), 0.1)
	a.refund("w", "c", 0, 950)
	ok, _ = a.take(now, "w", "c", 1, 50)
	require.True(t, ok)
	ok, _ = a.take(now, "w", "other", 1, 1000)
	require.True(t, ok, "another class has no limit of its own")
	a.configure(nil)
	ok, _ = a.take(now, "w", "c", 1, 1e6)
	require.True(t, ok)
}

// fakeGossip is a Gossip that delivers facts to the other members immediately.
type fakeGossip struct {
	id      host.ID
	peers   *[]*fakeGossip
	deliver func(member.Fact)
	sent    int
}

func (g *fakeGossip) Publish(topic member.Topic, key string, payload []byte) error {
	g.sent++
	if len(payload) > member.MaxFactBytes {
		return Error.New("too large")
	}
	for _, p := range *g.peers {
		if p != g && p.deliver != nil {
			p.deliver(member.Fact{From: g.id, Topic: topic, Key: key, Payload: payload})
		}
	}
	return nil
}

func (g *fakeGossip) Subscribe(_ member.Topic, deliver func(member.Fact)) { g.deliver = deliver }
func (g *fakeGossip) Self() host.Info                                     { return host.Info{ID: g.id} }
func (g *fakeGossip) Lookup(host.ID) (host.Member, bool)                  { return host.Member{}, false }
func (g *fakeGossip) Members() []host.Member {
	var out []host.Member
	for _, p := range *g.peers {
		out = append(out, host.Member{Info: p.Self()})
	}
	return out
}

// Two limiters exchange the demand of 200 busy workspaces in few facts, and
// withdraw it when they stop.
func TestLimitersExchangeDemand(t *testing.T) {
	var peers []*fakeGossip
	var limiters []*Limiter
	now := time.Unix(1000, 0)
	doc := &document.Document{}
	for i := range 200 {
		doc.Limits = append(doc.Limits, document.Limit{Workspace: fmt.Sprint(i), RequestsPerSecond: 10, TokensPerSecond: 12345})
	}
	for i := range 2 {
		peer := &fakeGossip{id: hostID(i), peers: &peers}
		peers = append(peers, peer)
		limiter := New(Config{View: peer, Gossip: peer, Now: func() time.Time { return now }})
		limiter.Configure(doc)
		limiters = append(limiters, limiter)
	}
	for range 50 {
		now = now.Add(tickInterval)
		for i := range 200 {
			limiters[0].Take(now, fmt.Sprint(i), document.Class{Name: "c"}, 1, 10)
		}
		limiters[0].step()
		limiters[1].step()
	}
	require.LessOrEqual(t, peers[0].sent, 4*11)
	require.Len(t, limiters[1].allocator.remoteHosts["h0"].chunks, 4)
	require.Len(t, limiters[1].allocator.remoteDemand, maxClaims)
	m := limiters[0].allocator.meters[scope{workspace: "0"}]
	require.NotNil(t, m)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, limiters[0].Run(ctx))
	limiters[1].step()
	require.Empty(t, limiters[1].allocator.remoteDemand)
	limiters[1].receiveFact(member.Fact{From: "h0", Payload: []byte("junk")})
}

func BenchmarkTake(b *testing.B) {
	a := newAllocator()
	var limits []document.Limit
	for i := range 50_000 {
		limits = append(limits, document.Limit{Workspace: fmt.Sprint(i), RequestsPerSecond: 1000})
	}
	a.configure(limits)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.take(now, "777", "c", 1, 100)
	}
}
