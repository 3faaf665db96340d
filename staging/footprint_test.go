package staging

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/routing"
)

var footprintSpec = &routing.StageServer{
	Concurrency: 1, BatchSize: 500, CallTime: 50 * time.Millisecond, PieceTime: time.Millisecond, ResultMemory: 1 << 30, ResultTTL: time.Second,
}

// Guards against a request whose pieces are held before their number is checked: 6,000,000 took
// the host that read it, and three gatherers after it, over their memory.
func TestRequestWithTooManyPiecesIsRefusedBeforeTheyAreHeld(t *testing.T) {
	r, service := newTestRunner(&fakePeers{})
	r.config.Gatherer = newTestGatherer(t, 2, &fakeServers{spec: footprintSpec})
	r.config.Service = r.config.Gatherer.config.Service
	now := time.Now()
	run := func(pieces int) error {
		request := &call.Request{ID: "r", Arrived: now, Pieces: []int{pieces}, PiecesKey: "k"}
		plan, err := NewPlan(testGraph(t, []routing.Stage{{Service: service}}, 1).graph, request)
		if err != nil {
			return err
		}
		_, err = r.Run(t.Context(), Work{
			Request: request, Plan: plan,
			Deadline: now.Add(time.Second), TargetTime: now.Add(time.Second),
		})
		return err
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	require.ErrorContains(t, run(6_000_000), "stage 0 of the request has 6000000 pieces, at most 16384 are allowed")
	require.Equal(t, call.PieceOverload, AsFailure(run(maxPieces)).Reason, "the servers need 2 s at least")
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(1<<20))
}

// serveGatherer serves a gatherer to other hosts, and returns a function that sends it a group.
func serveGatherer(t *testing.T, servers *fakeServers) (send func(group any) (gatherReply, error)) {
	mux := link.NewMux()
	NewRunner(RunnerConfig{Gatherer: newTestGatherer(t, 1, servers), Logger: slog.New(slog.DiscardHandler)}, mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	key := []byte("0123456789abcdef0123456789abcdef")
	go func() { _ = link.NewServer(link.ServerConfig{Mux: mux, Key: key}).Serve(t.Context(), listener) }()
	client := link.NewClient(link.ClientConfig{Key: key})
	return func(group any) (gatherReply, error) {
		return link.CallTyped[any, gatherReply](t.Context(), client, netip.MustParseAddrPort(listener.Addr().String()), gatherMethod, group)
	}
}

// Guards against groups of a host of the build before, which does not check its requests: their
// pieces ran without a key or inputs. An error would have that host take the gatherer for failed.
func TestGathererRunsNoPiecesOfMalformedGroups(t *testing.T) {
	servers := &fakeServers{spec: footprintSpec}
	send := serveGatherer(t, servers)
	// Service "pieces", request "r", stage 2, 3 pieces, no key, no inputs, 1 s.
	formerBytes, err := hex.DecodeString("ae016670696563657302617203020403056006f6071a3b9aca00081a3b9aca00091917700a000b600c000df40ef4")
	require.NoError(t, err)
	for name, group := range map[string]any{
		"neither, from the build before": cbor.RawMessage(formerBytes),
		"both":                           Group{Service: "pieces", Pieces: 3, Remaining: time.Second, Key: "k", Inputs: []string{"a"}},
		"one twice":                      Group{Service: "pieces", Pieces: 3, Remaining: time.Second, Inputs: []string{"a", "b", "a"}},
		"one empty":                      Group{Service: "pieces", Pieces: 3, Remaining: time.Second, Inputs: []string{""}},
	} {
		reply, err := send(group)
		require.NoError(t, err, name)
		require.Equal(t, failedPieces(3, call.PieceError), reply.Results, name)
	}
	require.Zero(t, servers.calls)
}

// Guards against groups that end a gatherer: of a negative number of pieces, of millions, or with
// inputs that are sent with every piece. Another version of the software may send them.
func TestGathererRefusesGroupsOverTheBounds(t *testing.T) {
	send := serveGatherer(t, &fakeServers{spec: footprintSpec})
	for text, group := range map[string]Group{
		"has -1 pieces":      {Pieces: -1},
		"has 6000000 pieces": {Pieces: 6_000_000},
		"inputs of stage 0":  {Pieces: 1, Inputs: make([]string, 100_000)},
	} {
		group.Service, group.Remaining = "pieces", time.Second
		_, err := send(group)
		require.ErrorContains(t, err, text)
	}
}

// Load: 40 groups of 1,000 pieces at one instant, which each are within the bounds, and an
// ordinary one beside them. Guards against many middle-sized groups that together take a
// gatherer over its memory, and against ordinary ones that are refused with them.
func TestGroupsTogetherStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGatherer(t, 2, &fakeServers{spec: footprintSpec})
		g.config.Memory = memory.New(2<<20, 256<<10, slog.New(slog.DiscardHandler), nil)
		var mu sync.Mutex
		failures := make(map[call.PieceFailure]int)
		var groups sync.WaitGroup
		gather := func(id string, pieces int) call.PieceFailure {
			results := g.Gather(t.Context(), Group{Service: "pieces", RequestID: id, Pieces: pieces, Remaining: 10 * time.Minute, RemainingToTarget: 10 * time.Minute})
			require.Len(t, results, pieces)
			return failure(results)
		}
		require.Equal(t, call.PieceDone, gather("first", 40), "after it, the gatherer knows the rate of the servers")
		time.Sleep(time.Second)
		for i := range 40 {
			groups.Go(func() {
				f := gather(fmt.Sprint(i), 1000)
				mu.Lock()
				failures[f]++
				mu.Unlock()
			})
		}
		synctest.Wait()
		require.LessOrEqual(t, g.config.Memory.Held(memory.Pieces), int64(2<<20))
		require.Equal(t, call.PieceDone, gather("ordinary", 40))
		groups.Wait()
		require.Equal(t, map[call.PieceFailure]int{call.PieceDone: 8, call.PieceOverload: 32}, failures)
		require.Zero(t, g.config.Memory.Held(memory.Pieces))
	})
}

// Guards against calls whose bodies repeat many inputs for many pieces, and against the loss of
// pieces for whose call there is no memory.
func TestCallsWithManyInputsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServers{spec: footprintSpec}
		g := newTestGatherer(t, 4, f)
		g.config.Memory = memory.New(2<<20, 0, slog.New(slog.DiscardHandler), nil)
		group := Group{Service: "pieces", RequestID: "r", Pieces: 30, Remaining: time.Minute, RemainingToTarget: time.Minute}
		for range 2000 {
			group.Inputs = append(group.Inputs, strings.Repeat("x", 84))
		}
		require.Equal(t, call.PieceDone, failure(g.Gather(t.Context(), group)))
		require.Equal(t, 6, f.calls, "5 pieces of 200 kB fit into a call")
	})
}

// Guards against a panic when a newer host sends a reason that this version does not know.
func TestUnknownFailureHasAName(t *testing.T) {
	require.Equal(t, "unknown", call.PieceFailure(200).String())
	require.Equal(t, "paused", call.PiecePaused.String())
}
