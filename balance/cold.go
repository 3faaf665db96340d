package balance

import (
	"slices"

	"github.com/galenaseam/galenaseam/instance"
)

const (
	// coldFactor multiplies the score of a cold upstream that is no engine. Its owner would
	// refuse most of an even share, and each refusal costs a call to it.
	coldFactor = 2
	// coldTrial is one in how many choices takes a cold upstream for a warm one, so that it
	// gets some work while the others have room, and load returns gradually.
	coldTrial = 4
)

// warmIfAny returns the warm upstreams, or all if none is warm.
func warmIfAny(all []instance.Status) []instance.Status {
	isCold := func(s instance.Status) bool { return s.Cold }
	if !slices.ContainsFunc(all, isCold) {
		return all
	}
	if warm := slices.DeleteFunc(slices.Clone(all), isCold); len(warm) > 0 {
		return warm
	}
	return all
}
