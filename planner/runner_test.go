package planner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/internal/fakestore"
	"github.com/galenaseam/galenaseam/upstream"
)

// fakeEngine is an engine in memory that checks fencing numbers or ignores them.
type fakeEngine struct {
	id            upstream.ID
	checksFencing bool

	mu    sync.Mutex
	state EngineState
	// delay holds up the orders with delayedFencing, as if their sender had
	// paused after it checked its lease.
	delayedFencing int64
	delay          time.Duration
	orders         int
	stale          staleEffect
}

// staleEffect records the effect of stale orders on an engine.
type staleEffect struct {
	// active says that a stale order has been in force since the time in since.
	active   bool
	since    time.Time
	accepted int
	// longest is the longest time that a stale order was in force.
	longest time.Duration
}

func (e *fakeEngine) staleEffect() staleEffect {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stale
}

func (e *fakeEngine) ID() upstream.ID { return e.id }

func (e *fakeEngine) Order(_ context.Context, order Order) (EngineState, error) {
	e.mu.Lock()
	wait := time.Duration(0)
	if order.Fencing == e.delayedFencing {
		wait = e.delay
	}
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.state.Fencing && e.checksFencing {
		return EngineState{}, ErrStaleOrder
	}
	e.orders++
	if order.Fencing < e.state.Fencing && !e.stale.active {
		e.stale.active, e.stale.since = true, time.Now()
		e.stale.accepted++
	}
	if order.Fencing >= e.state.Fencing && e.stale.active {
		e.stale.active, e.stale.longest = false, max(e.stale.longest, time.Since(e.stale.since))
	}
	e.state = EngineState{Fencing: max(order.Fencing, e.state.Fencing)}
	for _, model := range order.Models {
		model.State = stateReady
		e.state.Models = append(e.state.Models, model)
	}
	return e.state, nil
}

func (e *fakeEngine) State(context.Context) (EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// singleHostView is a view of one host, which is a candidate for every group.
type singleHostView struct{ id host.ID }

func (v singleHostView) Self() host.Info { return host.Info{ID: v.id} }
func (v singleHostView) Members() []host.Member {
	return []host.Member{{Info: v.Self()}}
}
func (v singleHostView) Lookup(host.ID) (host.Member, bool) { return host.Member{}, false }

// fixture holds the store, the engines and the document that planners use.
type fixture struct {
	store   *fakestore.Store
	engines []*fakeEngine

	mu      sync.Mutex
	version string
}

func newFixture(checksFencing bool) *fixture {
	f := &fixture{store: fakestore.New(21), version: "1"}
	for i := range 4 {
		f.engines = append(f.engines, &fakeEngine{id: upstream.ID(fmt.Sprint("engine-", i)), checksFencing: checksFencing})
	}
	return f
}

// newRunner returns a planner on a host of its own. It uses the given store, so
// that a test can give it another one than the fixture's.
func (f *fixture) newRunner(id string, store *fakestore.Store) *Runner {
	settings := DefaultSettings()
	settings.Soak = 10 * time.Second
	return NewRunner(Config{
		Group: "g", Store: store, View: singleHostView{host.ID(id)}, Settings: settings,
		Document: func() *document.Document {
			f.mu.Lock()
			defer f.mu.Unlock()
			return &document.Document{Models: []document.Model{{Name: "m", Version: f.version, Group: "g", MinCopies: 3}}}
		},
		Engines: func() []Engine {
			var engines []Engine
			for _, engine := range f.engines {
				engines = append(engines, engine)
			}
			return engines
		},
	})
}

func (f *fixture) setVersion(version string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version = version
}

// startRunner runs a planner and returns a function that stops it.
func startRunner(r *Runner) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// countHolding counts the engines that hold a version.
func (f *fixture) countHolding(version string) int {
	count := 0
	for _, engine := range f.engines {
		state, _ := engine.State(context.Background())
		if held, ok := state.model("m"); ok && held.Version == version {
			count++
		}
	}
	return count
}

func (f *fixture) orderCount() int {
	total := 0
	for _, engine := range f.engines {
		engine.mu.Lock()
		total += engine.orders
		engine.mu.Unlock()
	}
	return total
}

// repairBound is the guarantee for engines that ignore fencing numbers: a stale
// order that takes effect after the settling time is replaced within this time.
const repairBound = roundInterval + 2*storeTimeout + orderTimeout

// Guards against a stale order that takes effect for good: the first planner's
// orders hang for minutes and arrive when a second planner leads. Engines that
// check fencing numbers must refuse them; on the others the second planner must
// replace them within repairBound.
func TestOrderDelayedPastLeaseChange(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(checksFencing)
			defer startRunner(f.newRunner("first", f.store))()
			time.Sleep(5 * time.Minute)
			require.GreaterOrEqual(t, f.countHolding("1"), 3)
			first, _ := f.engines[0].State(context.Background())
			for _, engine := range f.engines { // from now on the first planner's orders are delayed
				engine.mu.Lock()
				engine.delayedFencing, engine.delay = first.Fencing, 3*time.Minute
				engine.mu.Unlock()
			}
			f.setVersion("2") // makes the first planner send an order
			time.Sleep(2 * roundInterval)
			f.setVersion("3")
			defer startRunner(f.newRunner("second", f.store))()
			time.Sleep(20 * time.Minute)
			require.GreaterOrEqual(t, f.countHolding("3"), 3)
			require.Zero(t, f.countHolding("1")+f.countHolding("2"))
			later, _ := f.engines[0].State(context.Background())
			require.Greater(t, later.Fencing, first.Fencing, "the second planner never led")
			accepted := 0
			for _, engine := range f.engines {
				effect := engine.staleEffect()
				require.False(t, effect.active)
				require.LessOrEqual(t, effect.longest, repairBound)
				accepted += effect.accepted
			}
			require.Equal(t, checksFencing, accepted == 0, "late orders take effect only on engines that ignore fencing numbers")
		})
	}
}

// A stale order on an engine that ignores fencing numbers must be found by
// reading the engine's state back, and replaced within repairBound.
func TestStaleOrderIsDetectedAndRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		stop := startRunner(f.newRunner("only", f.store))
		defer stop()
		time.Sleep(5 * time.Minute)
		for i := range 20 {
			engine := f.engines[i%len(f.engines)]
			_, err := engine.Order(context.Background(), Order{Fencing: 1, Models: []EngineModel{{Name: "m", Version: "0"}}})
			require.NoError(t, err)
			time.Sleep(time.Minute + roundInterval/4) // not aligned with the planner's rounds
		}
		repaired := time.Duration(0)
		for _, engine := range f.engines {
			effect := engine.staleEffect()
			require.False(t, effect.active)
			repaired = max(repaired, effect.longest)
		}
		require.Positive(t, repaired)
		require.LessOrEqual(t, repaired, repairBound)
		require.Zero(t, f.countHolding("0"))
	})
}

// During an outage of the store nobody may send orders, so engines keep the last
// plan. Planning goes on when the store answers again, also while some of its
// answers and writes are lost.
func TestStoreOutageKeepsLastPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		stops := []func(){startRunner(f.newRunner("a", f.store)), startRunner(f.newRunner("b", f.store))}
		time.Sleep(5 * time.Minute)
		require.GreaterOrEqual(t, f.countHolding("1"), 3)
		f.store.SetFaults(fakestore.Faults{Down: true})
		time.Sleep(leaseTTL)
		before := f.orderCount()
		f.setVersion("2")
		time.Sleep(10 * time.Minute)
		require.Equal(t, before, f.orderCount())
		require.GreaterOrEqual(t, f.countHolding("1"), 3)
		f.store.SetFaults(fakestore.Faults{LoseResponse: 0.2, DropWrite: 0.1})
		time.Sleep(30 * time.Minute)
		require.GreaterOrEqual(t, f.countHolding("2"), 3)
		for _, stop := range stops {
			stop()
		}
	})
}

// Guards against a former holder that pauses before it saves and then overwrites
// the plan of its successor.
func TestLateSaveOfFormerHolderIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		earlier, later := f.newRunner("earlier", f.store), f.newRunner("later", f.store)
		lead := func(r *Runner) {
			for range 30 {
				r.round(context.Background())
				time.Sleep(roundInterval)
			}
		}
		lead(earlier)
		paused := *earlier
		time.Sleep(2 * leaseTTL)
		lead(later) // writes the plan again, unchanged
		next := paused.plan
		next.Models = []ModelPlan{{Name: "m", Stable: "0", Copies: 1}}
		require.Error(t, paused.savePlan(context.Background(), next))
		require.GreaterOrEqual(t, f.countHolding("1"), 3)
	})
}

// Checks MayOrder of spec/orders.pml: a holder sends no orders before the
// settling time is over, and stops leaseMargin before the store's lease ends.
func TestHolderOrdersOnlyBetweenSettlingAndExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakestore.New(31)
		held, err := acquire(context.Background(), store, "g", "me")
		require.NoError(t, err)
		require.Greater(t, settleTime, orderTimeout)
		require.False(t, held.mayOrder(time.Now().Add(orderTimeout)), "an earlier holder's order may still be in flight")
		time.Sleep(settleTime)
		require.True(t, held.mayOrder(time.Now()))
		time.Sleep(leaseTTL - leaseMargin - settleTime)
		require.False(t, held.mayOrder(time.Now()))
		other, err := acquire(context.Background(), store, "g", "other")
		require.NoError(t, err)
		require.Nil(t, other, "the store must hold the lease until the margin has passed")
		time.Sleep(leaseMargin)
		other, err = acquire(context.Background(), store, "g", "other")
		require.NoError(t, err)
		require.Greater(t, other.fencing, held.fencing)
	})
}

// A holder that is paused in the middle of a round until its lease has expired
// must not send the orders that remain.
func TestPausedHolderSendsNoMoreOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		r := f.newRunner("still", f.store)
		r.round(context.Background())
		require.NotNil(t, r.tenure)
		f.engines[0].delayedFencing, f.engines[0].delay = r.tenure.fencing, 2*leaseTTL
		for r.tenure != nil && f.orderCount() == 0 {
			time.Sleep(time.Second)
			r.round(context.Background())
		}
		require.Equal(t, 1, f.orderCount(), "only the order that was in flight")
	})
}

// savedPlans records the plans that the store accepted and checks rules of
// spec/orders.pml on them: the fencing numbers of saved plans never decrease,
// and no engine holds a version that no saved plan assigned to it.
type savedPlans struct {
	mu         sync.Mutex
	fencing    int64
	assigned   map[upstream.ID]map[string]bool
	count      int
	violations []string
}

func newSavedPlans(store *fakestore.Store) *savedPlans {
	s := &savedPlans{assigned: make(map[upstream.ID]map[string]bool)}
	store.Observe(s.observe)
	return s
}

func (s *savedPlans) observe(key string, _, after []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored storedPlan
	if key != planKey("g") || cbor.Unmarshal(after, &stored) != nil {
		return
	}
	s.count++
	if stored.Fencing < s.fencing {
		s.violations = append(s.violations, "Save: an earlier holder's plan replaced a later one")
	}
	s.fencing = stored.Fencing
	for _, a := range stored.Plan.Assignments {
		if s.assigned[a.Engine] == nil {
			s.assigned[a.Engine] = make(map[string]bool)
		}
		for _, held := range a.Models {
			s.assigned[a.Engine][held.Version] = true
		}
	}
}

func (s *savedPlans) check(engine upstream.ID, state EngineState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range state.Models {
		if !s.assigned[engine][held.Version] {
			s.violations = append(s.violations, "Give: an engine holds a version from a plan that was not saved")
		}
	}
}

// Three planners compete for the lease while the store is slow and loses answers
// and writes. At no time may two of them send orders.
func TestAtMostOnePlannerMayOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(false)
		saved := newSavedPlans(f.store)
		f.store.SetFaults(fakestore.Faults{Delay: 3 * time.Second, LoseResponse: 0.2, DropWrite: 0.2})
		runners := []*Runner{f.newRunner("a", f.store), f.newRunner("b", f.store), f.newRunner("c", f.store)}
		var last int64
		led := make(map[int64]bool)
		for i := range 2000 {
			f.setVersion(fmt.Sprint(1 + i/400))
			var rounds sync.WaitGroup
			for _, r := range runners {
				rounds.Go(func() { r.round(context.Background()) })
			}
			rounds.Wait()
			mayOrder := 0
			for _, r := range runners {
				if r.tenure.mayOrder(time.Now()) {
					mayOrder++
					require.GreaterOrEqual(t, r.tenure.fencing, last)
					last = r.tenure.fencing
					led[last] = true
				}
			}
			require.LessOrEqual(t, mayOrder, 1)
			for _, engine := range f.engines {
				state, _ := engine.State(context.Background())
				saved.check(engine.id, state)
			}
			time.Sleep(time.Second)
		}
		require.Empty(t, saved.violations)
		require.Greater(t, saved.count, 10)
		require.Greater(t, len(led), 2, "the lease never passed to another holder")
	})
}
