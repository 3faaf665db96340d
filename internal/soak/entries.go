package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// minWatchLife and maxWatchLife bound how long the store lets a watch wait when it cuts
// watches.
const (
	minWatchLife = 50 * time.Millisecond
	maxWatchLife = 1500 * time.Millisecond
)

// entryFaults concern how hosts follow the entries of upstreams. They disturb no host, so
// every bound holds while they last.
var entryFaults = []fault{cutWatches, cutWatches, writeOddEntries}

// cutWatches makes the store cut the watches of all hosts for a while.
func cutWatches(e *environment, r *rand.Rand) (string, error) {
	life := minWatchLife + time.Duration(r.Int64N(int64(maxWatchLife-minWatchLife)))
	e.store.CutWatches(life)
	time.Sleep(2 * faultDuration(r))
	e.store.CutWatches(0)
	return fmt.Sprintf("the store cut watches after %s", life), nil
}

// writeOddEntries writes entries that name no upstream to use, and removes some of them.
func writeOddEntries(e *environment, r *rand.Rand) (string, error) {
	service := pick(r, e.present()).Service
	odd := platformtest.OddEntries(service)
	names := slices.Sorted(maps.Keys(odd))
	for _, name := range names {
		e.store.Put("servers/odd "+name, odd[name])
	}
	time.Sleep(faultDuration(r))
	for _, name := range names {
		if r.IntN(2) == 0 {
			e.store.Delete("servers/odd " + name)
		}
	}
	return fmt.Sprintf("%d odd entries of %s", len(odd), service), nil
}
