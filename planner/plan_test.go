package planner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/upstream"
)

// simulation is a planner's decisions with engines that carry out its orders in
// simulated time, without any I/O.
type simulation struct {
	in         Input
	settings   Settings
	plan       Plan
	loadTime   time.Duration
	readyAt    []map[string]time.Time
	neverReady string // a version that never becomes ready
}

func newSimulation(engines int, models ...document.Model) *simulation {
	s := &simulation{settings: DefaultSettings(), loadTime: 30 * time.Second}
	s.in.Models = models
	s.in.Now = time.Unix(1_000_000, 0)
	for i := range engines {
		s.in.Engines = append(s.in.Engines, ObservedEngine{ID: upstream.ID(fmt.Sprintf("engine-%02d", i)), Answered: true})
		s.readyAt = append(s.readyAt, make(map[string]time.Time))
	}
	return s
}

// step does one round: it plans, carries out the orders and advances the clock.
func (s *simulation) step() []Command {
	s.in.Last = s.plan
	s.plan = NextPlan(s.in, s.settings)
	commands := Commands(s.in, s.plan, s.settings, 1)
	for _, command := range commands {
		s.applyOrder(command)
	}
	s.in.Now = s.in.Now.Add(roundInterval)
	for i := range s.in.Engines {
		for j := range s.in.Engines[i].State.Models {
			held := &s.in.Engines[i].State.Models[j]
			if !s.in.Now.Before(s.readyAt[i][held.Name]) && held.Version != s.neverReady {
				held.State = stateReady
			}
		}
	}
	return commands
}

// applyOrder makes an engine accept an order. Versions that it does not hold
// yet become ready after loadTime.
func (s *simulation) applyOrder(command Command) {
	for i := range s.in.Engines {
		engine := &s.in.Engines[i]
		if engine.ID != command.Engine {
			continue
		}
		var models []EngineModel
		for _, wanted := range command.Order.Models {
			held, ok := engine.State.model(wanted.Name)
			if !ok || held.Version != wanted.Version {
				held.State = "loading"
				s.readyAt[i][wanted.Name] = s.in.Now.Add(s.loadTime)
			}
			wanted.State = held.State
			models = append(models, wanted)
		}
		engine.State.Models = models
	}
}

func (s *simulation) run(rounds int, check func()) {
	for range rounds {
		s.step()
		check()
	}
}

func TestRolloutKeepsMinCopiesAndLimitsConcurrentLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := rapid.IntRange(4, 12).Draw(t, "engines")
		minCopies := rapid.IntRange(1, engines-1).Draw(t, "min")
		big := document.Model{Name: "big", Version: "1", MinCopies: minCopies}
		small := document.Model{Name: "small", Version: "1", MinCopies: rapid.IntRange(0, engines-1).Draw(t, "small")}
		s := newSimulation(engines, big, small)
		s.settings.MaxConcurrentLoads = rapid.IntRange(1, 4).Draw(t, "loads")
		s.run(20*engines, func() { require.LessOrEqual(t, countLoading(s.in), s.settings.MaxConcurrentLoads) })
		require.GreaterOrEqual(t, readyCopies(s.in, "big"), minCopies)
		s.in.Models[0].Version = "2"
		s.in.Demand = []Demand{{Model: "small", Copies: rapid.Float64Range(0, 10).Draw(t, "demand")}}
		s.run(300+40*engines, func() {
			require.LessOrEqual(t, countLoading(s.in), s.settings.MaxConcurrentLoads)
			require.GreaterOrEqual(t, readyCopies(s.in, "big"), minCopies)
			require.GreaterOrEqual(t, readyCopies(s.in, "small"), s.in.Models[1].MinCopies)
		})
		plan, _ := s.plan.model("big")
		require.Equal(t, "2", plan.Stable)
		require.GreaterOrEqual(t, countReady(s.in, "big", "2"), minCopies)
		require.Zero(t, countReady(s.in, "big", "1"))
	})
}

func TestFailedVersionIsRolledBackAndNotRetried(t *testing.T) {
	for name, fail := range map[string]func(*simulation){
		"never ready": func(s *simulation) { s.neverReady = "2" },
		"calls fail":  func(s *simulation) { s.in.Failures = []Failures{{"big", "2", 0.5}} },
	} {
		s := newSimulation(10, document.Model{Name: "big", Version: "1", MinCopies: 6})
		s.run(200, func() {})
		fail(s)
		s.in.Models[0].Version = "2"
		maxHolders := 0
		s.run(2000, func() {
			maxHolders = max(maxHolders, len(enginesHolding(s, "2")))
			require.GreaterOrEqual(t, readyCopies(s.in, "big"), 6)
		})
		require.Equal(t, 1, maxHolders, "%s: only the first step may have loaded the version", name)
		require.Empty(t, enginesHolding(s, "2"), name)
		plan, _ := s.plan.model("big")
		require.Equal(t, ModelPlan{Name: "big", Copies: 6, Stable: "1", Failed: "2"}, plan)
		s.neverReady, s.in.Failures = "", nil
		s.in.Models[0].Version = "3"
		s.run(1000, func() {})
		require.GreaterOrEqual(t, countReady(s.in, "big", "3"), 6)
	}
}

// readyCopies counts the engines that are ready with any version of a model.
func readyCopies(in Input, model string) int {
	ready := 0
	for _, engine := range in.Engines {
		held, ok := engine.State.model(model)
		if ok && held.State == stateReady {
			ready++
		}
	}
	return ready
}

func enginesHolding(s *simulation, version string) []upstream.ID {
	var ids []upstream.ID
	for _, engine := range s.in.Engines {
		if held, ok := engine.State.model("big"); ok && held.Version == version {
			ids = append(ids, engine.ID)
		}
	}
	return ids
}

func TestDemandScalesUpAtOnceAndDownSlowly(t *testing.T) {
	s := newSimulation(12, document.Model{Name: "big", Version: "1", MinCopies: 2, MaxCopies: 8})
	demand := func(copies float64) { s.in.Demand = []Demand{{Model: "big", Copies: copies}} }
	demand(3.5)
	s.run(200, func() {})
	require.Equal(t, 5, readyCopies(s.in, "big"))
	moved := 0
	for i := range 500 { // demand that swings faster than ScaleDownDelay changes nothing
		demand(3.5 - float64(i%100)/50)
		moved += len(s.step())
	}
	require.Zero(t, moved)
	demand(100)
	s.run(200, func() {})
	require.Equal(t, 8, readyCopies(s.in, "big"))
	demand(0)
	s.run(int(s.settings.ScaleDownDelay/roundInterval)+5, func() {})
	require.Equal(t, 7, readyCopies(s.in, "big"))
	s.run(10*int(s.settings.ScaleDownDelay/roundInterval), func() {})
	require.Equal(t, 2, readyCopies(s.in, "big"))
}

func TestUnresponsiveEngineKeepsItsAssignment(t *testing.T) {
	s := newSimulation(6, document.Model{Name: "big", Version: "1", MinCopies: 3})
	s.run(200, func() {})
	before := s.plan
	for i := range s.in.Engines {
		s.in.Engines[i].Answered = false
		kept := s.in.Engines[i].State
		s.in.Engines[i].State = EngineState{}
		require.Empty(t, s.step())
		require.Equal(t, before.Assignments, s.plan.Assignments)
		s.in.Engines[i].State, s.in.Engines[i].Answered = kept, true
	}
}
