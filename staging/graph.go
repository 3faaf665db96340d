// Package staging runs the stages that a request needs before it is sent to an
// upstream. The stages form a graph, and each consists of pieces of work. For
// each service, one host gathers the pieces of all hosts, so that calls to its
// servers are well filled.
package staging

import (
	"slices"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// Error is the class of every error this package returns.
var Error = errs.Class("staging")

// graph holds the stages of one request, the number of pieces of each, and the
// handles of their results.
type graph struct {
	stages  []routing.Stage
	pieces  []int
	handles [][]string // by stage, then piece
}

// newGraph creates a graph. It fails if the number of piece counts differs from
// the number of stages, if a stage has too many pieces, or if a stage does not come
// after all of its inputs.
func newGraph(stages []routing.Stage, pieces []int) (*graph, error) {
	if len(pieces) != len(stages) {
		return nil, Error.New("request has pieces for %d stages, route has %d", len(pieces), len(stages))
	}
	for i, s := range stages {
		if pieces[i] < 0 || pieces[i] > maxPieces {
			return nil, Error.New("stage %d of the request has %d pieces, at most %d are allowed", i, pieces[i], maxPieces)
		}
		for _, before := range s.DependsOn {
			if before < 0 || before >= i {
				return nil, Error.New("stage %d comes after stage %d", i, before)
			}
		}
	}
	return &graph{stages: stages, pieces: pieces, handles: make([][]string, len(stages))}, nil
}

// inputs returns the handles of the results that a stage needs, ordered by the
// stages that it depends on.
func (g *graph) inputs(stage int) []string {
	var all []string
	for _, before := range g.stages[stage].DependsOn {
		all = append(all, g.handles[before]...)
	}
	return all
}

// isLast reports whether no other stage with pieces depends on a stage.
func (g *graph) isLast(stage int) bool {
	for i, s := range g.stages {
		if slices.Contains(s.DependsOn, stage) && g.pieces[i] > 0 {
			return false
		}
	}
	return true
}

// results returns the handles of the results that the request itself needs:
// those of the last stages.
func (g *graph) results() []string {
	var all []string
	for i := range g.stages {
		if g.isLast(i) {
			all = append(all, g.handles[i]...)
		}
	}
	return all
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
