// Package routingtest has the users' rule on the inputs of stages, which tests of several packages
// check by. It is written from their pages and shares no code with what it checks.
package routingtest

import (
	"fmt"
	"slices"
	"strings"
)

// StageRule is the rule for a route. After has, by stage, the stages that it comes after.
type StageRule struct {
	After [][]int
}

// Sound reports whether a request with numbers of pieces can be served: no stage with pieces
// would be given nothing though it comes after others, and the results of each reach the request
// or another stage.
func (r StageRule) Sound(pieces []int) bool {
	for stage := range r.After {
		starved := len(r.After[stage]) > 0 && len(r.Given(pieces, stage)) == 0
		if pieces[stage] > 0 && (starved || r.isFollowed(stage) && !r.isRead(stage, pieces)) {
			return false
		}
	}
	return true
}

// Given returns the names of the pieces whose results a piece of a stage is given: all pieces of
// all stages that it comes after, each once. A piece without any is given the key.
func (r StageRule) Given(pieces []int, stage int) []string {
	return Names(pieces, slices.Compact(slices.Sorted(slices.Values(r.After[stage])))...)
}

// Request returns the names of the pieces whose results the request is given: all pieces of the
// stages that no other stage comes after.
func (r StageRule) Request(pieces []int) []string {
	var last []int
	for stage := range r.After {
		if !r.isFollowed(stage) {
			last = append(last, stage)
		}
	}
	return Names(pieces, last...)
}

// isFollowed reports whether another stage comes after a stage.
func (r StageRule) isFollowed(stage int) bool {
	return slices.ContainsFunc(r.After, func(after []int) bool { return slices.Contains(after, stage) })
}

// isRead reports whether a stage that comes after a stage has pieces.
func (r StageRule) isRead(stage int, pieces []int) bool {
	for other, after := range r.After {
		if pieces[other] > 0 && slices.Contains(after, stage) {
			return true
		}
	}
	return false
}

// All returns the names of all pieces.
func (r StageRule) All(pieces []int) (names []string) {
	for stage := range r.After {
		names = append(names, Names(pieces, stage)...)
	}
	slices.Sort(names)
	return names
}

// Names returns the names of all pieces of some stages, sorted.
func Names(pieces []int, stages ...int) (names []string) {
	for _, stage := range stages {
		for index := range pieces[stage] {
			names = append(names, Name(stage, index))
		}
	}
	slices.Sort(names)
	return names
}

// Name returns the name of a piece.
func Name(stage, index int) string { return fmt.Sprint(stage, "-", index) }

// NamesOf returns the names of the pieces of a request to whose results handles belong, sorted. A
// handle ends with a slash, the request's ID and the name; that of another request counts as its
// whole text.
func NamesOf(request string, handles []string) (names []string) {
	for _, handle := range handles {
		if _, name, found := strings.Cut(handle, "/"+request+"-"); found {
			handle = name
		}
		names = append(names, handle)
	}
	slices.Sort(names)
	return names
}
