package planner

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/document"
)

// Guards against a first planner that takes copies away from engines that were
// serving before there was any plan. Only the document's maximum removes some.
func TestInitialPlanKeepsServingCopies(t *testing.T) {
	model := document.Model{Name: "assistant", Version: "3", MinCopies: 2, MaxCopies: 12}
	s := newSimulation(10, model)
	for i := range s.in.Engines {
		s.in.Engines[i].State.Models = []EngineModel{{Name: "assistant", Version: "3", State: stateReady}}
	}
	s.step()
	plan, known := s.plan.model("assistant")
	require.True(t, known)
	require.Equal(t, 10, plan.Copies)

	s.in.Models[0].MaxCopies = 4
	s.plan = Plan{}
	s.step()
	plan, _ = s.plan.model("assistant")
	require.Equal(t, 4, plan.Copies)
}
