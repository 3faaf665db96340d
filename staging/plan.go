// Package staging runs the stages that a request needs before it is sent to an
// upstream. The stages form a graph, and each consists of pieces of work. For
// each service, one host gathers the pieces of all hosts, so that calls to its
// servers are well filled.
package staging

import (
	"slices"
	"time"
	"unicode/utf8"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// Error is the class of every error this package returns.
var Error = errs.Class("staging")

// Plan is which stages of its route a request runs, in how many pieces, and what each piece and
// the request itself are given. It is immutable. docs/design/stage-plans.md has the rules.
type Plan struct {
	graph  *routing.StageGraph
	stages []routing.Stage
	pieces []int  // by stage; 0 means that the request omits the stage
	key    string // identifies the content for the stages without inputs
}

// NewPlan returns the plan of a request on a route. The error says what no attempt at the
// request can serve: the request does not state a number of pieces for each stage, or a stage
// with pieces would be given nothing, or nothing would read its results.
func NewPlan(graph *routing.StageGraph, q *call.Request) (*Plan, error) {
	p := &Plan{graph: graph, stages: graph.Stages(), pieces: q.Pieces, key: q.PiecesKey}
	switch {
	case q.PiecesError != nil:
		return nil, Error.Wrap(q.PiecesError)
	case len(q.Pieces) == 0:
		return nil, Error.New("request states no numbers of pieces, route has %d stages", len(p.stages))
	case len(q.Pieces) != len(p.stages):
		return nil, Error.New("request has pieces for %d stages, route has %d", len(q.Pieces), len(p.stages))
	}
	if !utf8.ValidString(q.ID) || !utf8.ValidString(q.PiecesKey) {
		return nil, Error.New("the ID of the request, %q, and the key of its pieces, %q, must be valid UTF-8", q.ID, q.PiecesKey)
	}
	for i := range p.stages {
		if err := p.checkStage(i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// checkStage returns an error if a stage can't run as the request states it.
func (p *Plan) checkStage(stage int) error {
	pieces, inputs := p.pieces[stage], p.graph.Inputs(stage)
	if pieces < 0 || pieces > maxPieces {
		return Error.New("stage %d of the request has %d pieces, at most %d are allowed", stage, pieces, maxPieces)
	}
	if pieces == 0 {
		return nil
	}
	if len(inputs) == 0 && p.key == "" {
		return Error.New("stage %d of the request needs the key of its pieces, which is missing", stage)
	}
	if len(inputs) > 0 {
		given := p.total(inputs)
		if given == 0 {
			return Error.New("stage %d of the request has pieces, but all stages that it comes after are omitted: %v", stage, inputs)
		}
		if least := int64(given) * (minHandleBytes + inputOverheadBytes); least > maxInputBytes {
			return Error.New("stage %d of the request has %d inputs, which take at least %d bytes, over %d", stage, given, least, maxInputBytes)
		}
	}
	if !p.graph.IsLast(stage) && p.total(p.graph.Readers(stage)) == 0 {
		return Error.New("stage %d of the request has pieces, but all stages that come after it are omitted", stage)
	}
	return nil
}

// total returns the number of pieces of some stages.
func (p *Plan) total(stages []int) (n int) {
	for _, i := range stages {
		n += p.pieces[i]
	}
	return n
}

// graph is the stages of a request while they run, with the handles of their results.
type graph struct {
	*Plan
	handles [][]string // by stage, then piece
	// times estimate how long each stage takes, timesAfter the stages after it along the
	// longest path.
	times, timesAfter []time.Duration
}

// newGraph returns the graph of a request that begins. stageTime estimates how long a number of
// pieces takes at a service.
func newGraph(p *Plan, stageTime func(service string, pieces int) time.Duration) *graph {
	n := len(p.stages)
	g := &graph{Plan: p, handles: make([][]string, n), times: make([]time.Duration, n), timesAfter: make([]time.Duration, n)}
	for _, i := range slices.Backward(p.graph.Order()) {
		if p.pieces[i] == 0 {
			continue
		}
		g.times[i] = stageTime(p.stages[i].Service, p.pieces[i])
		for _, input := range p.graph.Inputs(i) {
			g.timesAfter[input] = max(g.timesAfter[input], g.pathTime(i))
		}
	}
	return g
}

// pathTime estimates how long a stage and the stages after it take.
func (g *graph) pathTime(stage int) time.Duration { return g.times[stage] + g.timesAfter[stage] }

// inputs returns the handles of the results that a stage needs, ordered by the
// stages that it reads.
func (g *graph) inputs(stage int) []string {
	var all []string
	for _, input := range g.graph.Inputs(stage) {
		all = append(all, g.handles[input]...)
	}
	return all
}

// results returns the handles of the results that the request itself needs:
// those of the last stages.
func (g *graph) results() []string {
	var all []string
	for i := range g.stages {
		if g.graph.IsLast(i) {
			all = append(all, g.handles[i]...)
		}
	}
	return all
}

// isOnlyConsumer reports whether no other stage with pieces than consumer reads the results of a
// stage.
func (g *graph) isOnlyConsumer(stage, consumer int) bool {
	return !slices.ContainsFunc(g.graph.Readers(stage), func(i int) bool { return i != consumer && g.pieces[i] > 0 })
}

// failure returns the first failure among results, or PieceDone.
func failure(results []call.PieceResult) call.PieceFailure {
	for _, r := range results {
		if r.Failure != call.PieceDone {
			return r.Failure
		}
	}
	return call.PieceDone
}
