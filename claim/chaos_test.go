package claim

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/link"
)

// action is the input of one operation in a claim history.
type action struct {
	key     string
	settle  bool
	verdict Verdict
	body    string
	ran     bool
}

// keyState is the model's state of one key.
type keyState struct {
	state state
	body  string
}

// claimModel is the sequential specification of one key's claims.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(action).key
			byKey[k] = append(byKey[k], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{state: stateReleased} },
	Step: func(current, input, _ any) (bool, any) {
		return stepModel(current.(keyState), input.(action))
	},
}

func stepModel(s keyState, a action) (bool, keyState) {
	switch {
	case a.settle && a.ran:
		return s.state == stateClaimed, keyState{stateDone, a.body}
	case a.settle:
		return s.state == stateClaimed, keyState{state: stateReleased}
	case a.verdict == Run:
		return s.state == stateReleased, keyState{state: stateClaimed}
	case a.verdict == Replay:
		return s.state == stateDone && s.body == a.body, s
	case a.verdict == AlreadyRan:
		return s.state == stateDone, s
	case a.verdict == Unknown, a.verdict == Unavailable:
		return true, s
	}
	return false, s
}

// chaosRun is one run of clients against a fleet with injected faults.
type chaosRun struct {
	fleet *fleet
	start time.Time

	mu           sync.Mutex // guards all below
	history      []porcupine.Operation
	runs         map[string]int
	wrongReplays int
	counts       map[Verdict]int
}

func (c *chaosRun) now() int64 { return int64(time.Since(c.start)) }

func (c *chaosRun) add(client int, a action, call, done int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, porcupine.Operation{ClientId: client, Input: a, Call: call, Return: done})
}

// request claims one key through one host and, if granted, runs or releases it.
func (c *chaosRun) request(client int, rng *rand.Rand, n *node, name string) {
	ctx, cancel := withTimeout(2 * time.Second)
	defer cancel()
	call := c.now()
	d, err := n.Begin(ctx, key(name), Digest{1}, "r")
	if err != nil {
		return
	}
	c.add(client, action{key: name, verdict: d.Verdict, body: string(d.Outcome.Body)}, call, c.now())
	c.mu.Lock()
	c.counts[d.Verdict]++
	if d.Verdict == Replay && string(d.Outcome.Body[:len(name)]) != name {
		c.wrongReplays++
	}
	c.mu.Unlock()
	if d.Verdict != Run {
		return
	}
	ran := rng.Float64() < 0.8
	answer := fmt.Sprintf("%s by %s", name, n.info.ID)
	if ran {
		c.mu.Lock()
		c.runs[name]++
		c.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(8)) * time.Millisecond)
	}
	call = c.now()
	if ran {
		_ = d.Grant.Finish(context.Background(), outcomeWithBody(answer))
	} else {
		_ = d.Grant.Release(context.Background())
	}
	// The end becomes durable at some later time, or never if the host dies.
	c.add(client, action{key: name, settle: true, ran: ran, body: answer}, call, math.MaxInt64)
}

// needsMoreRounds says whether the run lacks a grant or a replay, as happens when
// its first rounds all fall into an outage. It returns false after maxRunTime.
func (c *chaosRun) needsMoreRounds() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := c.counts[Run] == 0 || c.counts[Replay] == 0
	return missing && time.Since(c.start) < maxRunTime
}

// maxRunTime bounds a run that needs more rounds.
const maxRunTime = 15 * time.Second

// injectFaults causes store faults, outages and pauses of hosts until ctx ends.
func (c *chaosRun) injectFaults(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		c.fleet.store.setFaults(storeFaults{
			lostReply: rng.Float64() / 4, dropped: rng.Float64() / 10, deferred: rng.Float64() / 10,
			failed: rng.Float64() / 20, down: rng.IntN(8) == 0,
		})
		paused := c.fleet.nodes[rng.IntN(len(c.fleet.nodes))]
		paused.store.gate.Lock()
		time.Sleep(time.Duration(20+rng.IntN(150)) * time.Millisecond)
		paused.store.gate.Unlock()
	}
	c.fleet.store.setFaults(storeFaults{})
}

// TestClaimHistoriesUnderFaults guards against a request that runs twice or is
// answered with another key's outcome. Clients send each key repeatedly through
// several hosts, while the store loses replies and goes down, calls between hosts
// lose their replies, and hosts pause, lose contact with each other and die. The
// history must be linearizable.
func TestClaimHistoriesUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runChaos(t, seed) })
	}
}

func runChaos(t *testing.T, seed uint64) {
	const (
		hosts   = 5
		clients = 12
		keys    = 60
		rounds  = 25
	)
	settings := testSettings()
	settings.ClaimTimeout = 400 * time.Millisecond
	f := newFleet(t, hosts, seed, settings)
	f.network.loseReply = loseSomeReplies(seed)
	logs := recordLogs(f.store)
	c := &chaosRun{fleet: f, start: time.Now(), runs: map[string]int{}, counts: map[Verdict]int{}}
	faultsCtx, stopFaults := context.WithCancel(context.Background())
	var faultsDone, clientsDone sync.WaitGroup
	faultsDone.Go(func() { c.injectFaults(faultsCtx, rand.New(rand.NewPCG(seed, 2))) })
	for client := range clients {
		clientsDone.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(100+client)))
			for round := 0; round < rounds || c.needsMoreRounds(); round++ {
				n := f.nodes[rng.IntN(hosts)]
				c.request(client, rng, n, fmt.Sprintf("key-%03d", rng.IntN(keys)))
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	f.network.setCut(func(from, to netip.AddrPort) bool { return from == infoOf(1).LinkAddr && to == infoOf(2).LinkAddr })
	time.Sleep(300 * time.Millisecond)
	f.kill(f.nodes[hosts-1])
	clientsDone.Wait()
	stopFaults()
	faultsDone.Wait()
	c.verify(t, hosts-1)
	for _, records := range logs() {
		checkLogInvariants(t, records, true)
	}
}

// recordLogs collects the records of every shard in the order of their writes.
func recordLogs(store *fakeStore) func() map[string][]record {
	store.mu.Lock()
	defer store.mu.Unlock()
	logs := map[string][]record{}
	store.onWrite = func(key string, value []byte) {
		shard, _, isLog := strings.Cut(key, "/log/")
		if !isLog {
			return
		}
		var rec record
		must(decode(value, &rec))
		logs[shard] = append(logs[shard], rec)
	}
	return func() map[string][]record {
		store.mu.Lock()
		defer store.mu.Unlock()
		return logs
	}
}

func loseSomeReplies(seed uint64) func(link.Method) bool {
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(link.Method) bool { return rng.Float64() < 0.05 }
}

func (n *network) setCut(cut func(from, to netip.AddrPort) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// verify checks the history. Hosts that are alive must settle all their attempts.
func (c *chaosRun) verify(t *testing.T, alive int) {
	ctx, cancel := withTimeout(20 * time.Second)
	defer cancel()
	for _, n := range c.fleet.nodes[:alive] {
		require.NoError(t, n.waitIdle(ctx))
	}
	for name, runs := range c.runs {
		require.LessOrEqual(t, runs, 1, "key %s ran %d times", name, runs)
	}
	require.Zero(t, c.wrongReplays)
	require.Positive(t, c.counts[Run])
	require.Positive(t, c.counts[Replay])
	result := porcupine.CheckOperationsTimeout(claimModel, c.history, 30*time.Second)
	require.Equal(t, porcupine.Ok, result)
	t.Logf("verdicts %v, keys run %d, operations %d", c.counts, len(c.runs), len(c.history))
}
