package dispatch_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

const poolName = "engines"

// fakeView is a fixed list of upstreams.
type fakeView struct {
	mu   sync.Mutex
	live []upstream.Upstream
}

func newFakeView(n int) *fakeView {
	v := &fakeView{}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		v.live = append(v.live, upstream.Upstream{ID: upstream.ID(addr.String()), Addr: addr, Pool: poolName})
	}
	return v
}

func (v *fakeView) Pool(name string) []upstream.Upstream {
	v.mu.Lock()
	defer v.mu.Unlock()
	if name != poolName {
		return nil
	}
	return v.live
}

func (v *fakeView) set(live []upstream.Upstream) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.live = live
}

func (v *fakeView) Lookup(upstream.ID) (upstream.Upstream, bool) { return upstream.Upstream{}, false }
func (v *fakeView) LoadOf(upstream.ID) (upstream.Load, bool)     { return upstream.Load{}, false }
func (v *fakeView) Report(upstream.ID, upstream.Evidence)        {}

func testDocument(concurrency int, kind document.Kind) *document.Document {
	return &document.Document{
		Pools: []document.Pool{{Name: poolName, Kind: kind, Concurrency: concurrency}},
	}
}

func arrival(doc *document.Document, id string, priority int, deadline time.Duration) dispatch.Arrival {
	return dispatch.Arrival{
		RequestID: id, Workspace: "w", Pipeline: "p", Idempotent: true, InputTokens: 100,
		Class:    document.Class{Name: fmt.Sprint("class", priority), Priority: priority, Hedge: true},
		Stages:   []dispatch.StageNeed{{Name: "s", Pool: poolName, Kind: document.KindGenerate, Typical: 100 * time.Millisecond}},
		Deadline: time.Now().Add(deadline),
		Document: doc,
	}
}

// startRuntime runs a Runtime until the test's synctest bubble ends.
func startRuntime(t *testing.T, view upstream.View) *dispatch.Runtime {
	rt, err := dispatch.New(dispatch.Config{Upstreams: view, Seed: 1, Registerer: prometheus.NewRegistry()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- rt.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return rt
}

func admit(t *testing.T, rt *dispatch.Runtime, a dispatch.Arrival) dispatch.Ticket {
	ticket, err := rt.Admit(t.Context(), a)
	require.NoError(t, err)
	return ticket
}

func refusalCause(t *testing.T, err error) dispatch.Cause {
	var refusal *dispatch.Refusal
	require.ErrorAs(t, err, &refusal)
	return refusal.Cause
}

// A released slot goes to the waiting call of the highest class, whatever the
// order of arrival, and no more calls run than the pool has slots. Done is called
// twice: a second release must not free another slot.
func TestFreedSlotGoesToHighestClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := testDocument(1, document.KindRerank)
		rt := startRuntime(t, newFakeView(1))
		busy, err := admit(t, rt, arrival(doc, "busy", 1, time.Minute)).Acquire(t.Context(), 0, nil, nil)
		require.NoError(t, err)

		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for _, priority := range []int{1, 2, 3} {
			ticket := admit(t, rt, arrival(doc, fmt.Sprint(priority), priority, time.Minute))
			group.Go(func() {
				slot, err := ticket.Acquire(t.Context(), 0, nil, nil)
				require.NoError(t, err)
				mu.Lock()
				order = append(order, priority)
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				slot.Done(dispatch.Outcome{Failure: dispatch.Succeeded})
				ticket.Finish(dispatch.Result{Complete: true, InTime: true})
			})
			synctest.Wait()
		}
		require.Empty(t, order)
		busy.Done(dispatch.Outcome{Failure: dispatch.Succeeded})
		busy.Done(dispatch.Outcome{Failure: dispatch.Succeeded})
		group.Wait()
		require.Equal(t, []int{3, 2, 1}, order)
		require.Zero(t, rt.Status()[0].InFlight)
	})
}

// Engines order their own queues by priority, so calls of a higher class may
// exceed the host's limit, up to a bound. Calls of the lowest class may not.
func TestOnlyHigherClassesExceedEngineLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := testDocument(2, document.KindGenerate)
		rt := startRuntime(t, newFakeView(2))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var group sync.WaitGroup
		defer group.Wait()
		defer cancel()
		enqueue := func(priority, n int) {
			for i := range n {
				ticket := admit(t, rt, arrival(doc, fmt.Sprint(priority, i), priority, time.Hour))
				group.Go(func() {
					slot, err := ticket.Acquire(ctx, 0, nil, nil)
					if err == nil {
						<-ctx.Done()
						slot.Done(dispatch.Outcome{Failure: dispatch.Cancelled})
					}
					ticket.Finish(dispatch.Result{})
				})
			}
			synctest.Wait()
		}
		const slots = 4
		enqueue(1, 2*slots)
		require.Equal(t, slots, rt.Status()[0].InFlight)
		enqueue(2, 4*slots)
		require.Greater(t, rt.Status()[0].InFlight, slots)
		require.LessOrEqual(t, rt.Status()[0].InFlight, 2*slots+1)
	})
}

// A call that may have run is retried or hedged only if it is idempotent; a call
// that was not sent may always be retried.
func TestOnlyIdempotentCallsAreRetriedAfterRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := testDocument(4, document.KindGenerate)
		rt := startRuntime(t, newFakeView(2))
		for _, idempotent := range []bool{false, true} {
			a := arrival(doc, "r", 1, time.Minute)
			a.Idempotent = idempotent
			ticket := admit(t, rt, a)
			slot, err := ticket.Acquire(t.Context(), 0, nil, nil)
			require.NoError(t, err)
			_, allowed := ticket.MayRetry(0, dispatch.ConnectionLost)
			require.Equal(t, idempotent, allowed)
			_, allowed = ticket.MayRetry(0, dispatch.NotSent)
			require.True(t, allowed)
			_, allowed = ticket.HedgeDelay(0)
			require.Equal(t, idempotent, allowed)
			if !idempotent {
				_, err = ticket.Acquire(t.Context(), 0, nil, slot)
				require.Equal(t, dispatch.CauseRetryBudget, refusalCause(t, err))
			}
			slot.Done(dispatch.Outcome{Failure: dispatch.Succeeded})
			ticket.Finish(dispatch.Result{})
		}
	})
}

// A queued call that can no longer meet its deadline is refused before the
// deadline passes; a caller that gives up leaves the queue; a pool without
// upstreams and a draining host refuse at admission.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := testDocument(1, document.KindRerank)
		view := newFakeView(1)
		rt := startRuntime(t, view)
		ticket := admit(t, rt, arrival(doc, "first", 1, time.Minute))
		slot, err := ticket.Acquire(t.Context(), 0, nil, nil)
		require.NoError(t, err)

		waiting := admit(t, rt, arrival(doc, "second", 1, time.Second))
		started := time.Now()
		_, err = waiting.Acquire(t.Context(), 0, nil, nil)
		require.Equal(t, dispatch.CauseDeadline, refusalCause(t, err))
		require.Less(t, time.Since(started), time.Second)
		waiting.Finish(dispatch.Result{})

		shortCtx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		impatient := admit(t, rt, arrival(doc, "third", 1, time.Minute))
		_, err = impatient.Acquire(shortCtx, 0, nil, nil)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Zero(t, rt.Status()[0].Queued)

		view.set(nil)
		time.Sleep(time.Second)
		_, err = rt.Admit(t.Context(), arrival(doc, "fourth", 1, time.Minute))
		require.Equal(t, dispatch.CauseNoUpstream, refusalCause(t, err))
		slot.Done(dispatch.Outcome{})
		rt.Drain()
		_, err = rt.Admit(t.Context(), arrival(doc, "fifth", 1, time.Minute))
		require.Equal(t, dispatch.CauseDraining, refusalCause(t, err))
		require.False(t, errors.Is(err, context.Canceled))
		explained, ok := rt.Explain("second")
		require.True(t, ok)
		require.Equal(t, "deadline", explained.Decisions[len(explained.Decisions)-2].Verdict)
	})
}
