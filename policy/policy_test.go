package policy

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testPool = "engines"

var epoch = time.Unix(1_800_000_000, 0)

func upstreams(n int) []upstream.Upstream {
	all := make([]upstream.Upstream, n)
	for i := range all {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		all[i] = upstream.Upstream{ID: upstream.ID(addr.String()), Addr: addr, Pool: testPool}
	}
	return all
}

func newTestCore(s Settings, doc *document.Document, n int, seed uint64) *Core {
	c := New(s, host.Place{}, seed)
	c.SetDocument(doc)
	c.Observe(epoch, testPool, Observation{Upstreams: upstreams(n), Hosts: 1})
	return c
}

func testDoc(kind document.Kind, concurrency int) *document.Document {
	return &document.Document{
		Pools:      []document.Pool{{Name: testPool, Kind: kind, Concurrency: concurrency, MaxSetAside: 0.34}},
		Prices:     []document.Price{{Pool: testPool, PerSecond: 2, PerOutputToken: 0.5}},
		Workspaces: []document.Workspace{{Name: "big", Large: true, Share: 2}},
	}
}

func testArrival(doc *document.Document, id, workspace string, class document.Class) Arrival {
	return Arrival{
		RequestID: id, Workspace: workspace, Class: class, Pipeline: "p", Idempotent: true, InputTokens: 100,
		Stages:   []StageNeed{{Name: "s", Pool: testPool, Kind: document.KindGenerate, Typical: 100 * time.Millisecond}},
		Deadline: epoch.Add(time.Hour), Document: doc,
	}
}

// Guards against decisions that depend on anything but inputs and seed, such as
// the order of a map, and against exceeding a limit. The same random arrivals
// and ends run twice with the same seed.
func TestDecisionsReplayAndRespectLimits(t *testing.T) {
	doc := testDoc(document.KindRerank, 2)
	type event struct{ priority, workspace, finish int }
	play := func(t *rapid.T, seed uint64, events []event) []upstream.ID {
		c := newTestCore(Defaults(), doc, 4, seed)
		now := epoch
		var running []*Attempt
		var chosen []upstream.ID
		for i, e := range events {
			now = now.Add(10 * time.Millisecond)
			class := document.Class{Name: fmt.Sprint(e.priority), Priority: e.priority}
			r, refusal := c.Admit(now, testArrival(doc, fmt.Sprint(i), fmt.Sprint(e.workspace), class))
			if refusal == nil {
				_, refusal = c.Enqueue(now, r, 0, nil)
				require.Nil(t, refusal)
			}
			if e.finish > 0 && len(running) > 0 {
				last := running[e.finish%len(running)]
				c.Complete(now, last, Outcome{})
			}
			for _, a := range c.Grant(now, testPool).Started {
				running = append(running, a)
				chosen = append(chosen, a.Upstream.ID)
			}
			for _, s := range c.pools[testPool].upstreams {
				require.LessOrEqual(t, s.inFlight(), 2)
			}
			status := c.Status()[0]
			require.LessOrEqual(t, status.InFlight, status.Limit)
		}
		return chosen
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		events := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
			return event{
				priority:  rapid.IntRange(1, 3).Draw(t, "priority"),
				workspace: rapid.IntRange(1, 4).Draw(t, "workspace"),
				finish:    rapid.IntRange(0, 8).Draw(t, "finish"),
			}
		}), 1, 60).Draw(t, "events")
		require.Equal(t, play(t, seed, events), play(t, seed, events))
	})
}

// Guards against a workspace that queues many calls first and blocks the
// others: grants follow the weights, here two to one.
func TestQueueIsFairBetweenWorkspaces(t *testing.T) {
	doc := testDoc(document.KindRerank, 1)
	c := newTestCore(Defaults(), doc, 1, 1)
	class := document.Class{Name: "c", Priority: 1}
	add := func(workspace string, n int) {
		for i := range n {
			r, refusal := c.Admit(epoch, testArrival(doc, fmt.Sprint(workspace, i), workspace, class))
			require.Nil(t, refusal)
			_, refusal = c.Enqueue(epoch, r, 0, nil)
			require.Nil(t, refusal)
		}
	}
	add("big", 300)
	add("small", 30)
	got := make(map[string]int)
	now := epoch
	for range 60 {
		now = now.Add(time.Millisecond)
		started := c.Grant(now, testPool).Started
		require.Len(t, started, 1)
		got[started[0].Call.Request.Workspace]++
		c.Complete(now, started[0], Outcome{})
	}
	require.InDelta(t, 40, got["big"], 2)
	require.InDelta(t, 20, got["small"], 2)
}

// An upstream on which one class fails must be set aside for that class only,
// and no more of the pool than its bound allows. Successful probes must bring
// the upstream back. The evidence comes from another host.
func TestGreyFailureIsSetAsideWithinBound(t *testing.T) {
	doc := testDoc(document.KindRerank, 4)
	c := newTestCore(Defaults(), doc, 6, 1)
	p := c.pools[testPool]
	evidence := []Evidence{{Class: "bad", Calls: 5, Failed: 5}}
	for _, s := range p.upstreams[:4] {
		c.RecordSuspicion(epoch, "other", Suspicion{Pool: testPool, Upstream: s.ID, Evidence: evidence})
	}
	p.update(epoch.Add(time.Second), c.settings)
	require.Empty(t, c.Status()[0].SetAside, "failures of most of the pool are not attributed to single upstreams")

	for _, s := range p.upstreams[2:4] {
		c.RecordSuspicion(epoch, "other", Suspicion{Pool: testPool, Upstream: s.ID})
	}
	now := epoch.Add(1200 * time.Millisecond)
	p.update(now, c.settings)
	require.Len(t, c.Status()[0].SetAside, 2)
	bad := p.upstreams[0]
	require.True(t, bad.isSetAside("bad"))
	require.False(t, bad.isSetAside("good"))

	class := document.Class{Name: "bad", Priority: 1}
	probed := 0
	for i := 0; i < 200 && bad.isSetAside("bad"); i++ {
		now = now.Add(100 * time.Millisecond)
		r, refusal := c.Admit(now, testArrival(doc, fmt.Sprint(i), "w", class))
		require.Nil(t, refusal)
		_, refusal = c.Enqueue(now, r, 0, nil)
		require.Nil(t, refusal)
		for _, a := range c.Grant(now, testPool).Started {
			if a.Upstream.ID == bad.ID {
				require.True(t, a.Probe)
				probed++
			}
			c.Complete(now.Add(100*time.Millisecond), a, Outcome{})
		}
	}
	require.False(t, bad.isSetAside("bad"))
	require.Equal(t, goodProbesNeeded, probed)
}

// Guards against retry storms: when every call fails, retries stay within the
// set share of the pool's first attempts.
func TestRetriesStayWithinBudget(t *testing.T) {
	doc := testDoc(document.KindRerank, 4)
	c := newTestCore(Defaults(), doc, 4, 1)
	const firstAttempts = 1000
	retries := 0
	now := epoch
	for i := range firstAttempts {
		now = now.Add(5 * time.Millisecond)
		class := document.Class{Name: fmt.Sprint(i % 3), Priority: 1, RetryBudget: 0.5}
		r, refusal := c.Admit(now, testArrival(doc, fmt.Sprint(i), "w", class))
		require.Nil(t, refusal)
		_, refusal = c.Enqueue(now, r, 0, nil)
		require.Nil(t, refusal)
		for _, a := range c.Grant(now, testPool).Started {
			c.Complete(now, a, Outcome{Failure: UpstreamError})
		}
		for {
			if _, again := c.MayRetry(now, r, 0, UpstreamError); !again {
				break
			}
			retries++
			r.attempts[0]++
		}
	}
	require.LessOrEqual(t, float64(retries), c.settings.PoolRetryShare*firstAttempts+initialBudget)
	require.Greater(t, retries, firstAttempts/10)
}

// Guards against a request that is refused while most upstreams live, since the three that it was
// given had died and its host had not been told yet, and against tries without end.
func TestAttemptsThatWereNotSentDoNotUseUpTheAttempts(t *testing.T) {
	doc := testDoc(document.KindRerank, 4)
	settings := Defaults()
	settings.RetryBudgets = false
	c := newTestCore(settings, doc, 4, 1)
	tries := func(first, others Failure) int {
		r, refusal := c.Admit(epoch, testArrival(doc, "r", "w", document.Class{Name: "c", RetryBudget: 1}))
		require.Nil(t, refusal)
		for failure := first; ; failure = others {
			r.attempts[0]++
			if _, again := c.MayRetry(epoch, r, 0, failure); !again {
				return r.attempts[0]
			}
		}
	}
	require.Equal(t, maxUnsent+1, tries(NotSent, NotSent))
	require.Equal(t, c.settings.MaxAttempts, tries(RefusedByUpstream, RefusedByUpstream))
	require.Equal(t, c.settings.MaxAttempts+1, tries(NotSent, RefusedByUpstream))
}

// Attempts are priced from the document, the work of late requests and failed
// attempts counts as wasted, and only large workspaces are named.
func TestCostsFollowPricesAndCountWaste(t *testing.T) {
	doc := testDoc(document.KindRerank, 4)
	c := newTestCore(Defaults(), doc, 4, 1)
	run := func(workspace string, f Failure, final Result) {
		r, refusal := c.Admit(epoch, testArrival(doc, workspace, workspace, document.Class{Name: "c"}))
		require.Nil(t, refusal)
		_, refusal = c.Enqueue(epoch, r, 0, nil)
		require.Nil(t, refusal)
		a := c.Grant(epoch, testPool).Started[0]
		require.True(t, c.Complete(epoch.Add(time.Second), a, Outcome{Failure: f, OutputTokens: 4}))
		require.False(t, c.Complete(epoch.Add(time.Second), a, Outcome{Failure: f}))
		c.Finish(epoch.Add(time.Second), r, final)
	}
	run("big", Succeeded, Result{Complete: true, InTime: true})
	run("a", Succeeded, Result{Complete: true})
	run("b", UpstreamError, Result{})
	rows := c.Costs()
	require.Len(t, rows, 2)
	require.Equal(t, "big", rows[0].Workspace)
	require.InDelta(t, 2+4*0.5, rows[0].Money, 1e-9)
	require.Zero(t, rows[0].WastedSeconds)
	require.Equal(t, otherWorkspaces, rows[1].Workspace)
	require.InDelta(t, 2, rows[1].WastedSeconds, 1e-9)
	require.InDelta(t, rows[1].Money, rows[1].WastedMoney, 1e-9)
}

// recordOtherPrompts records many other prompts, so that those of a test are a
// small share.
func recordOtherPrompts(p *pool) {
	for i := range 600 {
		p.longestSharedPrefix(epoch, []uint64{uint64(1000 + i)})
	}
}

// Guards against overloading one engine when all prompts share a prefix and no
// host knows what the others send.
func TestSharedPrefixDoesNotOverloadAnEngine(t *testing.T) {
	doc := testDoc(document.KindGenerate, 8)
	const hosts, engines, calls = 12, 20, 10
	load := make(map[upstream.ID]int)
	for seed := range uint64(hosts) {
		c := newTestCore(Defaults(), doc, engines, seed)
		for i := range calls {
			a := testArrival(doc, fmt.Sprint(i), "w", document.Class{Name: "c"})
			a.Prefix = []uint64{42, uint64(1000*int(seed) + i)}
			r, refusal := c.Admit(epoch, a)
			require.Nil(t, refusal)
			_, refusal = c.Enqueue(epoch, r, 0, nil)
			require.Nil(t, refusal)
			for _, started := range c.Grant(epoch, testPool).Started {
				load[started.Upstream.ID]++
			}
		}
	}
	const mean = hosts * calls / engines
	for id, n := range load {
		require.LessOrEqual(t, n, 3*mean, id)
	}
}

// All hosts choose the same engine for a prefix and skip it when it is busy.
func TestHostsAgreeOnPrefixHomesAndSkipBusyOnes(t *testing.T) {
	doc := testDoc(document.KindGenerate, 8)
	chosen := make(map[upstream.ID]int)
	for seed := range uint64(20) {
		c := newTestCore(Defaults(), doc, 30, seed)
		recordOtherPrompts(c.pools[testPool])
		for i := range 12 {
			a := testArrival(doc, fmt.Sprint(i), "w", document.Class{Name: "c"})
			a.Prefix = []uint64{42}
			r, refusal := c.Admit(epoch, a)
			require.Nil(t, refusal)
			_, refusal = c.Enqueue(epoch, r, 0, nil)
			require.Nil(t, refusal)
			started := c.Grant(epoch, testPool).Started
			require.Len(t, started, 1)
			if i == 0 {
				chosen[started[0].Upstream.ID]++
			}
		}
		for _, s := range c.pools[testPool].upstreams {
			require.LessOrEqual(t, s.inFlight(), 3)
		}
	}
	require.Len(t, chosen, 1)
}

// Classes whose objective is cost don't hedge, and stay with the engine that has
// the prefix cached under more load.
func TestClassWeighChangesHedgingAndAffinity(t *testing.T) {
	doc := testDoc(document.KindGenerate, 8)
	callsAtHome := func(weigh document.Objective) int {
		c := newTestCore(Defaults(), doc, 30, 1)
		recordOtherPrompts(c.pools[testPool])
		n := 0
		for i := range 8 {
			a := testArrival(doc, fmt.Sprint(i), "w", document.Class{Name: "c", Objective: weigh, Hedge: true})
			a.Prefix = []uint64{42}
			r, _ := c.Admit(epoch, a)
			_, hedges := c.HedgeDelay(epoch, r, 0)
			require.Equal(t, weigh == document.ObjectiveAttainment, hedges)
			_, refusal := c.Enqueue(epoch, r, 0, nil)
			require.Nil(t, refusal)
			home := c.pools[testPool].homes(42, 1)[0].ID
			if c.Grant(epoch, testPool).Started[0].Upstream.ID == home {
				n++
			}
		}
		return n
	}
	require.Greater(t, callsAtHome(document.ObjectiveCost), callsAtHome(document.ObjectiveAttainment))
}

// The estimate of other hosts' load leaves out the host's own calls and
// approaches the pool's mean as the report ages.
func TestLoadReportsAgeAndExcludeOwnCalls(t *testing.T) {
	doc := testDoc(document.KindRerank, 8)
	c := newTestCore(Defaults(), doc, 2, 1)
	p := c.pools[testPool]
	s := p.upstreams[0]
	now := epoch.Add(time.Second)
	for range 3 {
		s.running = append(s.running, &Attempt{})
		s.recordInFlight(epoch)
	}
	loads := map[upstream.ID]upstream.Load{
		s.ID:              {InFlight: 7, AtUnixNano: now.UnixNano()},
		p.upstreams[1].ID: {InFlight: 0, AtUnixNano: now.UnixNano()},
	}
	p.applyLoadReports(now, func(id upstream.ID) (upstream.Load, bool) { return loads[id], true })
	require.InDelta(t, 4, p.loadFromOthers(now, s), 1e-9)
	require.InDelta(t, 2, p.loadFromOthers(now.Add(time.Minute), s), 0.01)
}

// Guards against faults in a pool that loses its last upstream while calls wait
// and run: it must start nothing, for every Choice, and continue when an
// upstream returns.
func TestPoolLosesItsLastUpstream(t *testing.T) {
	doc := testDoc(document.KindGenerate, 1)
	choices := []Choice{
		ChoiceScore, ChoiceRandom, ChoiceRoundRobin, ChoiceLeastInFlight, ChoiceTwoChoices,
	}
	for _, choice := range choices {
		s := Defaults()
		s.Choice = choice
		c := newTestCore(s, doc, 1, 1)
		var running *Attempt
		for i := range 3 {
			a := testArrival(doc, fmt.Sprint(i), "w", document.Class{Name: "c"})
			a.Prefix = []uint64{42}
			r, refusal := c.Admit(epoch, a)
			require.Nil(t, refusal)
			_, refusal = c.Enqueue(epoch, r, 0, nil)
			require.Nil(t, refusal)
			if started := c.Grant(epoch, testPool).Started; len(started) > 0 {
				running = started[0]
			}
		}
		now := epoch.Add(time.Second)
		c.Observe(now, testPool, Observation{})
		require.Empty(t, c.Grant(now, testPool).Started)
		require.Nil(t, c.Hedge(now, running, nil))
		require.True(t, c.Complete(now, running, Outcome{Failure: ConnectionLost}))
		require.Empty(t, c.Grant(now, testPool).Started)
		c.Observe(now, testPool, Observation{Upstreams: upstreams(1)})
		require.NotEmpty(t, c.Grant(now, testPool).Started, choice)
	}
}

// Guards against a retry that waits until it expires because every upstream was
// tried before: it must go to one of them again.
func TestRetryReusesTheOnlyUpstream(t *testing.T) {
	doc := testDoc(document.KindRerank, 1)
	c := newTestCore(Defaults(), doc, 1, 1)
	r, refusal := c.Admit(epoch, testArrival(doc, "r", "w", document.Class{Name: "c"}))
	require.Nil(t, refusal)
	_, refusal = c.Enqueue(epoch, r, 0, []upstream.ID{c.pools[testPool].upstreams[0].ID})
	require.Nil(t, refusal)
	require.Len(t, c.Grant(epoch, testPool).Started, 1)
}
