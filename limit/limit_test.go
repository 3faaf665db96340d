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
	testStep      = 20 * time.Millisecond
	testLimit     = 200.0
	testWorkspace = "w"
	slowestGossip = 500 // milliseconds
)

type letter struct {
	at     time.Time
	from   int
	claims []claim
}

// fleet is several books behind an uneven balancer, with slow lossy gossip.
type fleet struct {
	now     time.Time
	rand    *rand.Rand
	books   []*book
	dead    []bool
	side    []int
	letters [][]letter
	told    []time.Time
	loss    float64
	slowest int     // milliseconds that gossip takes
	limit   float64 // requests a second
	granted float64 // requests since the last reset
	tokens  float64
}

func newFleet(seed uint64, hosts int) *fleet { return newFleetWith(seed, hosts, testLimit) }

func newFleetWith(seed uint64, hosts int, limit float64) *fleet {
	f := &fleet{
		limit: limit,
		now:   time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 2)),
		dead: make([]bool, hosts), side: make([]int, hosts), letters: make([][]letter, hosts), told: make([]time.Time, hosts), loss: 0.05, slowest: slowestGossip,
	}
	for range hosts {
		b := newBook()
		b.hosts = hosts
		b.configure([]document.Limit{{Workspace: testWorkspace, RequestsPerSecond: limit, TokensPerSecond: 10 * limit}})
		f.books = append(f.books, b)
	}
	return f
}

func name(i int) host.ID { return host.ID(fmt.Sprintf("h%d", i)) }

// run offers load, in limits, split over the hosts as weights say.
func (f *fleet) run(span time.Duration, load float64, weights func(i int) float64) {
	total := 0.0
	for i := range f.books {
		total += weights(i)
	}
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(testStep) {
		for i, b := range f.books {
			if f.dead[i] {
				continue
			}
			f.step(i, b)
			f.offer(b, load*f.limit*testStep.Seconds()*weights(i)/total)
		}
	}
}

func (f *fleet) offer(b *book, expected float64) {
	for ; expected > 0; expected-- {
		if f.rand.Float64() >= expected {
			continue
		}
		if ok, _ := b.take(f.now, testWorkspace, "c", 1, 5); ok {
			f.granted++
			f.tokens += 5
		}
	}
}

func (f *fleet) step(i int, b *book) {
	var later []letter
	for _, l := range f.letters[i] {
		if l.at.After(f.now) {
			later = append(later, l)
			continue
		}
		b.hear(name(l.from), "0", l.claims)
	}
	f.letters[i] = later
	offset := f.now.Sub(time.Unix(1000, 0)) + time.Duration(i)*testStep
	if offset%tickInterval == 0 {
		b.setMembers(f.now, f.aliveFor(i))
		b.tick(f.now)
		if f.now.Sub(f.told[i]) >= publishAfter(len(f.books)-1, b.urgent()) {
			f.told[i] = f.now
			f.spread(i, b.claims(f.now, maxClaims))
		}
	}
}

func (f *fleet) aliveFor(i int) map[host.ID]bool {
	alive := make(map[host.ID]bool)
	for j := range f.books {
		if j != i && !f.dead[j] && f.side[j] == f.side[i] {
			alive[name(j)] = true
		}
	}
	return alive
}

func (f *fleet) spread(from int, claims []claim) {
	for to := range f.books {
		if to == from || f.side[to] != f.side[from] || f.rand.Float64() < f.loss {
			continue
		}
		delay := time.Duration(f.rand.IntN(f.slowest)) * time.Millisecond
		f.letters[to] = append(f.letters[to], letter{at: f.now.Add(delay), from: from, claims: claims})
	}
}

// rate runs on and returns what was granted, in limits.
func (f *fleet) rate(span time.Duration, load float64, weights func(i int) float64) float64 {
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

// moving gives nearly all demand to one host, another one every few seconds.
func (f *fleet) moving(period time.Duration) func(i int) float64 {
	return func(i int) float64 {
		if i == int(f.now.Unix()/int64(period.Seconds()))%len(f.books) {
			return 50
		}
		return 1
	}
}

func TestLimitHoldsBehindUnevenBalancer(t *testing.T) {
	for seed := range uint64(3) {
		for _, load := range []float64{0.5, 1.5, 4} {
			f := newFleet(seed, 12)
			f.run(10*time.Second, load, skewed)
			got := f.rate(30*time.Second, load, skewed)
			t.Logf("skewed, load %.1f: granted %.3f", load, got)
			require.Greater(t, got, min(load, 1)*0.9)
			require.Less(t, got, 1.03)

			f.run(10*time.Second, load, f.moving(5*time.Second))
			got = f.rate(60*time.Second, load, f.moving(5*time.Second))
			t.Logf("moving every 5 s, load %.1f: granted %.3f", load, got)
			require.Greater(t, got, min(load, 1)*0.6)
			require.Less(t, got, 1.1)
		}
	}
}

// A workspace under its limit is hardly refused, however thinly the balancer
// spreads it: 1.2 requests a second at each of 12 hosts.
func TestSmallLimitSpreadThinlyIsNotRefusedBelowIt(t *testing.T) {
	const limit, load = 20, 0.72
	for seed := range uint64(3) {
		f := newFleetWith(seed, 12, limit)
		f.run(10*time.Second, load, even)
		got := f.rate(2*time.Minute, load, even)
		t.Logf("offered %.2f of the limit, granted %.3f", load, got)
		require.Greater(t, got, load*0.95)
		got = f.rate(time.Minute, 4, even)
		t.Logf("offered 4 limits, granted %.3f", got)
		require.Less(t, got, 1.1)
	}
}

// A surge from nothing on all hosts at once doesn't grant a limit per host.
func TestSurgeFromNothingStaysBounded(t *testing.T) {
	f := newFleet(1, 12)
	f.run(5*time.Second, 0, even)
	const seconds = 3
	got := f.rate(seconds*time.Second, 10, even)
	t.Logf("first 3 s of a surge: granted %.3f", got)
	// The buckets of all hosts together save up burstTime of the limit.
	require.Less(t, got, (seconds+burstTime.Seconds())/seconds, "the shares wait until the others know")
	got = f.rate(seconds*time.Second, 10, even)
	t.Logf("next 3 s: granted %.3f", got)
	require.Less(t, got, 1.03)
}

// Gossip slower than the settling time lets a host believe that it is alone
// with its demand. The excess lasts as long as the gossip is late.
func TestSlowGossipOvershootIsBounded(t *testing.T) {
	f := newFleet(4, 12)
	f.slowest = 3000
	f.run(5*time.Second, 0, even)
	early := f.rate(3*time.Second, 10, even)
	late := f.rate(10*time.Second, 10, even)
	t.Logf("surge, gossip up to 3 s: granted %.3f in the first 3 s, %.3f in the next 10 s", early, late)
	require.Less(t, early, 2.5)
	require.Less(t, late, 1.1)

	f.run(10*time.Second, 2, f.moving(5*time.Second))
	got := f.rate(60*time.Second, 2, f.moving(5*time.Second))
	t.Logf("moving every 5 s, gossip up to 3 s: granted %.3f", got)
	require.Less(t, got, 1.3)
}

// Of hosts that die the shares come back after the hold; during a partition
// nothing is granted twice until then, and afterwards each side grants at most
// the limit.
func TestDeathsAndPartitions(t *testing.T) {
	f := newFleet(2, 12)
	f.run(10*time.Second, 2, even)
	for i := range 4 {
		f.dead[i] = true
	}
	during := f.rate(12*time.Second, 2, even)
	f.run(10*time.Second, 2, even)
	after := f.rate(20*time.Second, 2, even)
	t.Logf("4 of 12 dead: granted %.3f during the hold, %.3f after", during, after)
	require.Less(t, during, 1.03)
	require.InDelta(t, 1, after, 0.05)

	f = newFleet(3, 12)
	f.run(10*time.Second, 2, even)
	for i := range 4 {
		f.side[i] = 1
	}
	during = f.rate(14*time.Second, 2, even)
	f.run(10*time.Second, 2, even)
	after = f.rate(20*time.Second, 2, even)
	clear(f.side)
	f.run(5*time.Second, 2, even)
	healed := f.rate(20*time.Second, 2, even)
	t.Logf("partition 4 to 8: granted %.3f during the hold, %.3f after, %.3f healed", during, after, healed)
	require.Less(t, during, 1.03)
	require.Less(t, after, 2.03, "at most the limit on each side")
	require.InDelta(t, 1, healed, 0.05)
}

// With the same figures at every host the shares add up to the limit.
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
			one := dimension{limit: limit, settled: d}
			one.reshare(total-d, len(demands))
			sum += one.share
		}
		if sum < limit*0.999 || sum > limit*1.001 {
			t.Fatalf("shares add up to %v of %v", sum, limit)
		}
	})
}

// A large take waits for a full bucket, leaves a debt, and a refund repays it.
func TestLargeTakeLeavesDebt(t *testing.T) {
	b := newBook()
	b.configure([]document.Limit{
		{Workspace: "w", Class: "c", TokensPerSecond: 100},
		{Workspace: "w", RequestsPerSecond: 1000},
	})
	now := time.Unix(1000, 0)
	ok, _ := b.take(now, "w", "c", 1, 1000)
	require.True(t, ok, "the first request meets a full bucket")
	ok, wait := b.take(now, "w", "c", 1, 100)
	require.False(t, ok)
	require.InDelta(t, 10, wait.Seconds(), 0.1)
	b.refund("w", "c", 0, 950)
	ok, _ = b.take(now, "w", "c", 1, 50)
	require.True(t, ok)
	ok, _ = b.take(now, "w", "other", 1, 1000)
	require.True(t, ok, "another class has no limit of its own")
	b.configure(nil)
	ok, _ = b.take(now, "w", "c", 1, 1e6)
	require.True(t, ok)
}

// bus is a Gossip that hands facts to the other members at once.
type bus struct {
	id      host.ID
	peers   *[]*bus
	deliver func(member.Fact)
	sent    int
}

func (b *bus) Publish(topic member.Topic, key string, payload []byte) error {
	b.sent++
	if len(payload) > member.MaxFactBytes {
		return Error.New("too large")
	}
	for _, p := range *b.peers {
		if p != b && p.deliver != nil {
			p.deliver(member.Fact{From: b.id, Topic: topic, Key: key, Payload: payload})
		}
	}
	return nil
}

func (b *bus) Subscribe(_ member.Topic, deliver func(member.Fact)) { b.deliver = deliver }
func (b *bus) Self() host.Info                                     { return host.Info{ID: b.id} }
func (b *bus) Lookup(host.ID) (host.Member, bool)                  { return host.Member{}, false }
func (b *bus) Members() []host.Member {
	var out []host.Member
	for _, p := range *b.peers {
		out = append(out, host.Member{Info: p.Self()})
	}
	return out
}

// Limiters tell each other of 200 busy workspaces in few facts, and withdraw
// at the end.
func TestLimitersExchangeDemand(t *testing.T) {
	var peers []*bus
	var limiters []*Limiter
	now := time.Unix(1000, 0)
	doc := &document.Document{}
	for i := range 200 {
		doc.Limits = append(doc.Limits, document.Limit{Workspace: fmt.Sprint(i), RequestsPerSecond: 10, TokensPerSecond: 12345})
	}
	for i := range 2 {
		peer := &bus{id: name(i), peers: &peers}
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
	require.Len(t, limiters[1].book.known["h0"].chunks, 4)
	require.Len(t, limiters[1].book.totals, maxClaims)
	share := limiters[0].book.meters[scope{workspace: "0"}]
	require.NotNil(t, share)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.NoError(t, limiters[0].Run(ctx))
	limiters[1].step()
	require.Empty(t, limiters[1].book.totals)
	limiters[1].hear(member.Fact{From: "h0", Payload: []byte("junk")})
}

func BenchmarkTake(b *testing.B) {
	book := newBook()
	var limits []document.Limit
	for i := range 50_000 {
		limits = append(limits, document.Limit{Workspace: fmt.Sprint(i), RequestsPerSecond: 1000})
	}
	book.configure(limits)
	now := time.Unix(1000, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		book.take(now, "777", "c", 1, 100)
	}
}
