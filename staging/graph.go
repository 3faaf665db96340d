// Package staging does the work that must come before a request can run: a
// graph of stages, each in pieces. One host gathers the pieces of all hosts for
// one service, so that calls to its servers are well filled.
package staging

import (
	"slices"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/routing"
)

// Error is the class of every error this package returns.
var Error = errs.Class("staging")

// graph is the stages of one request that have pieces, and their results.
type graph struct {
	stages  []routing.Stage
	pieces  []int
	handles [][]string // by stage, then piece
}

// newGraph checks the number of pieces against the stages.
func newGraph(stages []routing.Stage, pieces []int) (*graph, error) {
	if len(pieces) != len(stages) {
		return nil, Error.New("request has pieces for %d stages, route has %d", len(pieces), len(stages))
	}
	for i, s := range stages {
		for _, before := range s.After {
			if before < 0 || before >= i {
				return nil, Error.New("stage %d comes after stage %d", i, before)
			}
		}
	}
	return &graph{stages: stages, pieces: pieces, handles: make([][]string, len(stages))}, nil
}

// inputs are the results that a stage needs, in the order of its stages.
func (g *graph) inputs(stage int) []string {
	var all []string
	for _, before := range g.stages[stage].After {
		all = append(all, g.handles[before]...)
	}
	return all
}

// isLast says whether no other stage with pieces follows.
func (g *graph) isLast(stage int) bool {
	for i, s := range g.stages {
		if slices.Contains(s.After, stage) && g.pieces[i] > 0 {
			return false
		}
	}
	return true
}

// results are what the request itself needs: those of the last stages.
func (g *graph) results() []string {
	var all []string
	for i := range g.stages {
		if g.isLast(i) {
			all = append(all, g.handles[i]...)
		}
	}
	return all
}

// failure is the first failure among results.
func failure(results []call.PieceResult) call.PieceFailure {
	for _, r := range results {
		if r.Failure != call.PieceDone {
			return r.Failure
		}
	}
	return call.PieceDone
}
