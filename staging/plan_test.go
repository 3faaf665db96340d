package staging

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/routing/routingtest"
)

// testGraph returns the graph of a request with numbers of pieces, at servers as testSpec has.
func testGraph(t *testing.T, stages []routing.Stage, pieces ...int) *graph {
	stageGraph, err := routing.NewStageGraph(stages)
	require.NoError(t, err)
	plan, err := NewPlan(stageGraph, &call.Request{Pieces: pieces, PiecesKey: "k"})
	require.NoError(t, err)
	r := Runner{config: RunnerConfig{Service: func(string) (*routing.Service, bool) { return &routing.Service{Stages: testSpec}, true }}}
	return newGraph(plan, r.stageTime)
}

// recordingServers records the pieces that stage servers are asked for.
type recordingServers struct {
	*pathServers
	asked []call.Piece
}

func (s *recordingServers) RunPieces(ctx context.Context, server instance.Entry, pieces []call.Piece) ([]call.PieceResult, instance.Outcome, bool, error) {
	s.mu.Lock()
	s.asked = append(s.asked, pieces...)
	s.mu.Unlock()
	return s.pathServers.RunPieces(ctx, server, pieces)
}

// drawStages draws a graph without cycles. Stages may come after later ones and list a stage
// twice.
func drawStages(t *rapid.T) []routing.Stage {
	order := rapid.Permutation([]int{0, 1, 2, 3, 4, 5}[:rapid.IntRange(1, 6).Draw(t, "stages")]).Draw(t, "order")
	stages := make([]routing.Stage, len(order))
	for i, stage := range order {
		stages[stage] = routing.Stage{Service: fmt.Sprint("stage", stage%3), ResultBytes: 8e3}
		if i > 0 && rapid.IntRange(0, 3).Draw(t, "first") > 0 {
			stages[stage].DependsOn = rapid.SliceOfN(rapid.SampledFrom(order[:i]), 1, 3).Draw(t, "after")
		}
	}
	return stages
}

// runPlan runs the stages of a request on the only host, and returns the pieces that the servers
// were asked for and the inputs of the request.
func runPlan(t *testing.T, q *call.Request, plan *Plan) (asked []call.Piece, inputs []string, err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		path, r, _ := newTestPath(ctx)
		servers := &recordingServers{pathServers: path}
		r.config.Gatherer.config.Caller = servers
		time.Sleep(10 * time.Second) // the owners of services are agreed on
		var results *Results
		if results, err = r.Run(ctx, Work{Request: q, Plan: plan, Deadline: time.Now().Add(time.Minute), TargetTime: time.Now().Add(time.Minute)}); err == nil {
			results.Free()
			asked, inputs = servers.asked, results.Inputs
		}
	})
	return asked, inputs, err
}

// Guards against pieces that run without the inputs of their stage, or with an input twice, after a
// request that omits some stages, and against a model that is given the results of other stages
// than the last ones.
func TestPlansFollowTheRuleForAllOmittedStages(t *testing.T) {
	served := 0
	rapid.Check(t, func(rt *rapid.T) {
		stages := drawStages(rt)
		pieces := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 1, 3}), len(stages), len(stages)).Draw(rt, "pieces")
		var rule routingtest.StageRule
		for _, stage := range stages {
			rule.After = append(rule.After, stage.DependsOn)
		}
		stageGraph, err := routing.NewStageGraph(stages)
		require.NoError(rt, err)
		q := &call.Request{ID: "r", Pieces: pieces, PiecesKey: "k"}
		plan, err := NewPlan(stageGraph, q)
		require.Equal(rt, rule.Sound(pieces), err == nil, "%v", err)
		if err != nil {
			return
		}
		asked, inputs, err := runPlan(t, q, plan)
		require.NoError(rt, err)
		var ran []string
		for _, p := range asked {
			ran = append(ran, routingtest.Name(p.Stage, p.Index))
			require.Equal(rt, rule.Given(pieces, p.Stage), routingtest.NamesOf(q.ID, p.Inputs))
			require.Equal(rt, len(stages[p.Stage].DependsOn) == 0, p.Key == "k")
			require.Equal(rt, p.Key == "", len(p.Inputs) > 0)
		}
		slices.Sort(ran)
		require.Equal(rt, rule.All(pieces), ran)
		require.Equal(rt, rule.Request(pieces), routingtest.NamesOf(q.ID, inputs))
		served++
	})
	require.Greater(t, served, 10)
}

// Guards against requests that are tried although no host can run their stages, among them those
// whose key or ID would be sent in another form.
func TestRequestsThatNobodyCanPlanAreRefused(t *testing.T) {
	stages := []routing.Stage{{Service: "a"}, {Service: "b", DependsOn: []int{0}}}
	for want, q := range map[string]call.Request{
		"states no numbers":                {PiecesKey: "k"},
		"has pieces for 1 stages":          {PiecesKey: "k", Pieces: []int{1}},
		"has pieces for 3 stages":          {PiecesKey: "k", Pieces: []int{1, 1, 0}},
		"is broken":                        {PiecesKey: "k", Pieces: []int{1, 1}, PiecesError: Error.New("is broken")},
		"has -1 pieces":                    {PiecesKey: "k", Pieces: []int{1, -1}},
		"has 16385 pieces":                 {PiecesKey: "k", Pieces: []int{1, maxPieces + 1}},
		"needs the key":                    {Pieces: []int{1, 1}},
		"valid UTF-8":                      {PiecesKey: "\xff", Pieces: []int{1, 1}},
		"must be valid":                    {ID: "\xff", PiecesKey: "k", Pieces: []int{1, 1}},
		"it comes after are omitted: [0]":  {PiecesKey: "k", Pieces: []int{0, 1}},
		"that come after it are omitted":   {PiecesKey: "k", Pieces: []int{1, 0}},
		"staging: stage 1 of the request ": {Pieces: []int{0, 3}},
	} {
		stageGraph, err := routing.NewStageGraph(stages)
		require.NoError(t, err)
		_, err = NewPlan(stageGraph, &q)
		require.ErrorContains(t, err, want)
	}
	wide := []routing.Stage{{Service: "a"}, {Service: "a"}, {Service: "a"}, {Service: "b", DependsOn: []int{0, 1, 2}}}
	stageGraph, err := routing.NewStageGraph(wide)
	require.NoError(t, err)
	_, err = NewPlan(stageGraph, &call.Request{Pieces: []int{maxPieces, maxPieces, maxPieces, 1}, PiecesKey: "k"})
	require.ErrorContains(t, err, "has 49152 inputs")
}
