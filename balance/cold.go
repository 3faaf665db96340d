package balance

import (
	"slices"

	"github.com/galenaseam/galenaseam/instance"
)

// coldFactor multiplies the score of a cold upstream that is no engine. It gets some requests
// beside warm ones that have work for most of their slots, and not more than its owner grants.
const coldFactor = 2

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
