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

// fakeEngine is an engine that checks fencing numbers or ignores them.
type fakeEngine struct {
	id     upstream.ID
	checks bool

	mu    sync.Mutex
	state State
	// late delays the orders of one fencing number until after their check,
	// as a holder that is paused between its check and its sending does.
	lateFencing int64
	late        time.Duration
	orders      int
	harm        harm
}

// harm is what stale orders did to an engine.
type harm struct {
	// now says that one is in force, since when since tells.
	now   bool
	since time.Time
	taken int
	// longest is the longest that one was in force.
	longest time.Duration
}

func (e *fakeEngine) harmDone() harm {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.harm
}

func (e *fakeEngine) ID() upstream.ID { return e.id }

func (e *fakeEngine) Order(_ context.Context, order Order) (State, error) {
	e.mu.Lock()
	wait := time.Duration(0)
	if order.Fencing == e.lateFencing {
		wait = e.late
	}
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fencing < e.state.Fencing && e.checks {
		return State{}, ErrStaleOrder
	}
	e.orders++
	if order.Fencing < e.state.Fencing && !e.harm.now {
		e.harm.now, e.harm.since = true, time.Now()
		e.harm.taken++
	}
	if order.Fencing >= e.state.Fencing && e.harm.now {
		e.harm.now, e.harm.longest = false, max(e.harm.longest, time.Since(e.harm.since))
	}
	e.state = State{Fencing: max(order.Fencing, e.state.Fencing)}
	for _, model := range order.Models {
		model.State = stateReady
		e.state.Models = append(e.state.Models, model)
	}
	return e.state, nil
}

func (e *fakeEngine) State(context.Context) (State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// only is a view in which a host is a candidate for every group.
type only struct{ id host.ID }

func (o only) Self() host.Info { return host.Info{ID: o.id} }
func (o only) Members() []host.Member {
	return []host.Member{{Info: o.Self()}}
}
func (o only) Lookup(host.ID) (host.Member, bool) { return host.Member{}, false }

// bench is a store, engines and the document that planners work on.
type bench struct {
	store   *fakestore.Store
	engines []*fakeEngine

	mu      sync.Mutex
	version string
}

func newBench(checks bool) *bench {
	b := &bench{store: fakestore.New(21), version: "1"}
	for i := range 4 {
		b.engines = append(b.engines, &fakeEngine{id: upstream.ID(fmt.Sprint("engine-", i)), checks: checks})
	}
	return b
}

// runner makes a planner on a host of its own; it sees the store through
// store, so that tests can cut it off.
func (b *bench) runner(id string, store *fakestore.Store) *Runner {
	settings := DefaultSettings()
	settings.Soak = 10 * time.Second
	return NewRunner(Config{
		Group: "g", Store: store, View: only{host.ID(id)}, Settings: settings,
		Document: func() *document.Document {
			b.mu.Lock()
			defer b.mu.Unlock()
			return &document.Document{Models: []document.Model{{Name: "m", Version: b.version, Group: "g", MinCopies: 3}}}
		},
		Engines: func() []Engine {
			var engines []Engine
			for _, engine := range b.engines {
				engines = append(engines, engine)
			}
			return engines
		},
	})
}

func (b *bench) setVersion(version string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version = version
}

// start runs a planner and returns how to stop it.
func start(r *Runner) func() {
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

// holding counts the engines that hold a version.
func (b *bench) holding(version string) int {
	count := 0
	for _, engine := range b.engines {
		state, _ := engine.State(context.Background())
		if held, ok := state.held("m"); ok && held.Version == version {
			count++
		}
	}
	return count
}

func (b *bench) orders() int {
	total := 0
	for _, engine := range b.engines {
		engine.mu.Lock()
		total += engine.orders
		engine.mu.Unlock()
	}
	return total
}

// repairBound is the promise for engines that ignore fencing numbers: a stale
// order that arrives after the settling time is undone in this time.
const repairBound = roundInterval + 2*storeTimeout + orderTimeout

func TestTwoPlannersAndAnOrderThatComesMuchTooLate(t *testing.T) {
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := newBench(checks)
			defer start(b.runner("first", b.store))()
			time.Sleep(5 * time.Minute)
			require.GreaterOrEqual(t, b.holding("1"), 3)
			first, _ := b.engines[0].State(context.Background())
			for _, engine := range b.engines { // from now on the first one's orders hang
				engine.mu.Lock()
				engine.lateFencing, engine.late = first.Fencing, 3*time.Minute
				engine.mu.Unlock()
			}
			b.setVersion("2") // makes it give one
			time.Sleep(2 * roundInterval)
			b.setVersion("3")
			defer start(b.runner("second", b.store))()
			time.Sleep(20 * time.Minute)
			require.GreaterOrEqual(t, b.holding("3"), 3)
			require.Zero(t, b.holding("1")+b.holding("2"))
			later, _ := b.engines[0].State(context.Background())
			require.Greater(t, later.Fencing, first.Fencing, "the second planner never led")
			stale := 0
			for _, engine := range b.engines {
				done := engine.harmDone()
				require.False(t, done.now)
				require.LessOrEqual(t, done.longest, repairBound)
				stale += done.taken
			}
			require.Equal(t, checks, stale == 0, "a late order harms engines that ignore numbers, and no others")
		})
	}
}

func TestAStaleOrderIsReadBackAndRepaired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(false)
		stop := start(b.runner("only", b.store))
		defer stop()
		time.Sleep(5 * time.Minute)
		for i := range 20 {
			engine := b.engines[i%len(b.engines)]
			_, err := engine.Order(context.Background(), Order{Fencing: 1, Models: []Held{{Name: "m", Version: "0"}}})
			require.NoError(t, err)
			time.Sleep(time.Minute + roundInterval/4) // at no round's very moment
		}
		repaired := time.Duration(0)
		for _, engine := range b.engines {
			done := engine.harmDone()
			require.False(t, done.now)
			repaired = max(repaired, done.longest)
		}
		require.Positive(t, repaired)
		require.LessOrEqual(t, repaired, repairBound)
		require.Zero(t, b.holding("0"))
	})
}

func TestDuringAnOutageTheLastPlanStands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(false)
		stops := []func(){start(b.runner("a", b.store)), start(b.runner("b", b.store))}
		time.Sleep(5 * time.Minute)
		require.GreaterOrEqual(t, b.holding("1"), 3)
		b.store.SetFaults(fakestore.Faults{Down: true})
		time.Sleep(leaseTTL)
		before := b.orders()
		b.setVersion("2")
		time.Sleep(10 * time.Minute)
		require.Equal(t, before, b.orders())
		require.GreaterOrEqual(t, b.holding("1"), 3)
		b.store.SetFaults(fakestore.Faults{LoseAnswer: 0.2, DropWrite: 0.1})
		time.Sleep(30 * time.Minute)
		require.GreaterOrEqual(t, b.holding("2"), 3)
		for _, stop := range stops {
			stop()
		}
	})
}

// The save of a holder that was paused must not slip in behind its successor.
func TestALateSaveOfAnEarlierHolderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(false)
		earlier, later := b.runner("earlier", b.store), b.runner("later", b.store)
		lead := func(r *Runner) {
			for range 30 {
				r.round(context.Background())
				time.Sleep(roundInterval)
			}
		}
		lead(earlier)
		paused := *earlier
		time.Sleep(2 * leaseTTL)
		lead(later) // changes nothing in the plan
		next := paused.plan
		next.Models = []ModelPlan{{Name: "m", Stable: "0", Copies: 1}}
		require.Error(t, paused.save(context.Background(), next))
		require.GreaterOrEqual(t, b.holding("1"), 3)
	})
}

// MayOrder of spec/orders.pml: not before the settling time is over, and not
// after the lease's time less the margin, when the store still has the lease.
func TestAHolderOrdersOnlyWithinItsTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakestore.New(31)
		held, err := acquire(context.Background(), store, "g", "me")
		require.NoError(t, err)
		require.Greater(t, settleTime, orderTimeout)
		require.False(t, held.mayOrder(time.Now().Add(orderTimeout)), "an earlier holder's order may be in flight")
		time.Sleep(settleTime)
		require.True(t, held.mayOrder(time.Now()))
		time.Sleep(leaseTTL - leaseMargin - settleTime)
		require.False(t, held.mayOrder(time.Now()))
		other, err := acquire(context.Background(), store, "g", "other")
		require.NoError(t, err)
		require.Nil(t, other, "the store must let the lease go only later")
		time.Sleep(leaseMargin)
		other, err = acquire(context.Background(), store, "g", "other")
		require.NoError(t, err)
		require.Greater(t, other.fencing, held.fencing)
	})
}

// A holder that stands still in the midst of a round gives none of the orders
// that are left.
func TestAHolderThatStandsStillGivesNoMoreOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(false)
		r := b.runner("still", b.store)
		r.round(context.Background())
		require.NotNil(t, r.tenure)
		b.engines[0].lateFencing, b.engines[0].late = r.tenure.fencing, 2*leaseTTL
		for r.tenure != nil && b.orders() == 0 {
			time.Sleep(time.Second)
			r.round(context.Background())
		}
		require.Equal(t, 1, b.orders(), "only the order that was on its way")
	})
}

// savedPlans records the plans that the store took, and checks the rules of
// spec/orders.pml on them: fencing numbers of saves don't go back, and no
// engine holds what no plan gave it.
type savedPlans struct {
	mu      sync.Mutex
	fencing int64
	given   map[upstream.ID]map[string]bool
	count   int
	broken  []string
}

func newSavedPlans(store *fakestore.Store) *savedPlans {
	s := &savedPlans{given: make(map[upstream.ID]map[string]bool)}
	store.Observe(s.saw)
	return s
}

func (s *savedPlans) saw(key string, _, after []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stored storedPlan
	if key != planKey("g") || cbor.Unmarshal(after, &stored) != nil {
		return
	}
	s.count++
	if stored.Fencing < s.fencing {
		s.broken = append(s.broken, "Save: the stored plan went back to an earlier holder's")
	}
	s.fencing = stored.Fencing
	for _, a := range stored.Plan.Assignments {
		if s.given[a.Engine] == nil {
			s.given[a.Engine] = make(map[string]bool)
		}
		for _, held := range a.Models {
			s.given[a.Engine][held.Version] = true
		}
	}
}

func (s *savedPlans) check(engine upstream.ID, state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range state.Models {
		if !s.given[engine][held.Version] {
			s.broken = append(s.broken, "Give: an engine heard of a plan that wasn't saved")
		}
	}
}

func TestNoTwoPlannersMayOrderAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(false)
		saved := newSavedPlans(b.store)
		b.store.SetFaults(fakestore.Faults{Delay: 3 * time.Second, LoseAnswer: 0.2, DropWrite: 0.2})
		runners := []*Runner{b.runner("a", b.store), b.runner("b", b.store), b.runner("c", b.store)}
		var last int64
		led := make(map[int64]bool)
		for i := range 2000 {
			b.setVersion(fmt.Sprint(1 + i/400))
			var rounds sync.WaitGroup
			for _, r := range runners {
				rounds.Go(func() { r.round(context.Background()) })
			}
			rounds.Wait()
			may := 0
			for _, r := range runners {
				if r.tenure.mayOrder(time.Now()) {
					may++
					require.GreaterOrEqual(t, r.tenure.fencing, last)
					last = r.tenure.fencing
					led[last] = true
				}
			}
			require.LessOrEqual(t, may, 1)
			for _, engine := range b.engines {
				state, _ := engine.State(context.Background())
				saved.check(engine.id, state)
			}
			time.Sleep(time.Second)
		}
		require.Empty(t, saved.broken)
		require.Greater(t, saved.count, 10)
		require.Greater(t, len(led), 2, "the lease never changed hands")
	})
}
