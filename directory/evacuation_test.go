package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// evacuationItem is the record of the key of data centre "x".
func evacuationItem(era, revision int64, removed bool) Item {
	return Item{Key: "evacuate/x", Era: era, Revision: revision, Removed: removed}
}

// Guards against an evacuation that older data ends or begins again: delayed changes and
// listings, and data of a former era of the store.
func TestOlderNewsChangesNoEvacuation(t *testing.T) {
	d := newLoneDirectory(&testStore{}, nil)
	now := time.Now()
	step := func(what string, evacuated bool, apply func()) {
		apply()
		require.Equal(t, evacuated, d.config.Instances.IsEvacuated("x"), what)
	}
	change := func(era, revision int64, removed bool) func() {
		return func() {
			d.applyChanges([]Item{evacuationItem(era, revision, removed)}, infra.Position{Era: era, Revision: revision}, now)
		}
	}
	listing := func(era, revision int64, items ...Item) func() {
		return func() { d.applySnapshot(items, infra.Position{Era: era, Revision: revision}, now) }
	}
	step("first read", true, listing(0, 10, evacuationItem(0, 5, false)))
	step("older removal", true, change(0, 4, true))
	step("older listing without the key", true, listing(0, 4))
	step("a host of the build before", true, func() { d.applyAnswer(followAnswer{AsOf: 12}, netip.AddrPort{}) })
	step("removal", false, change(0, 13, true))
	step("older beginning", false, change(0, 11, false))
	step("another host that is behind", false, func() {
		d.applyAnswer(followAnswer{AsOf: 12, Evacuations: []wireEvacuation{{DataCentre: "x", Revision: 11}}}, netip.AddrPort{})
	})
	step("the next one", true, change(0, 14, false))
	step("another host knows its end", false, func() { d.applyAnswer(followAnswer{AsOf: 15, Evacuations: []wireEvacuation{}}, netip.AddrPort{}) })
	step("a copy that has the key", true, listing(1, 6, evacuationItem(1, 5, false)))
	step("former era", true, change(0, 20, true))
	step("a copy that lacks the key", false, listing(2, 3))
}

// Guards against a host that starts after an evacuation has ended and begins it again because
// of a watcher that does not know the end yet.
func TestHostThatStartedLaterIgnoresOlderAnswers(t *testing.T) {
	d := newLoneDirectory(&testStore{}, nil)
	d.applySnapshot(nil, infra.Position{Revision: 14}, time.Now())
	d.applyAnswer(followAnswer{AsOf: 12, Evacuations: []wireEvacuation{{DataCentre: "x", Revision: 11}}}, netip.AddrPort{})
	require.False(t, d.config.Instances.IsEvacuated("x"))
}

// countEvacuated returns the number of hosts at which data centre "x" is evacuated.
func (f *testFleet) countEvacuated() (count int) {
	for _, h := range f.hosts {
		if h.config.Instances.IsEvacuated("x") {
			count++
		}
	}
	return count
}

// The load is one change of an otherwise idle store, in fleets of 4 and 24 hosts. Guards
// against followers that learn of an evacuation only when their call to the watcher ends
// without other changes, and against one that ends because the store is away.
func TestEvacuationReachesEveryHostAndOutlastsTheStore(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, size)
			f.store.put("evacuate/x", instance.Entry{}, false)
			require.Eventually(t, func() bool { return f.countEvacuated() == size }, testMaxDelay/4, 10*time.Millisecond)
			f.store.mu.Lock()
			f.store.rejectCalls = true
			f.store.mu.Unlock()
			if size == largeFleet {
				f.watching()[0].frozen.Store(true)
			}
			time.Sleep(2 * testMaxDelay)
			require.Equal(t, size, f.countEvacuated())
			f.store.put("evacuate/x", instance.Entry{}, true)
			f.store.mu.Lock()
			f.store.rejectCalls = false
			f.store.mu.Unlock()
			time.Sleep(testMaxDelay)
			require.Zero(t, f.countEvacuated())
		})
	}
}

// Guards against a follower that waits for other changes although it lacks an evacuation, or
// its end.
func TestFollowerThatLacksAnEvacuationIsAnsweredAtOnce(t *testing.T) {
	d := newLoneDirectory(&testStore{}, nil)
	now := time.Now()
	d.applySnapshot(nil, infra.Position{Revision: 4}, now)
	for revision := int64(5); revision < 7; revision++ {
		d.applyChanges([]Item{evacuationItem(0, revision, revision == 6)}, infra.Position{Revision: revision}, now)
		answer, err := d.serveFollow(t.Context(), followRequest{AsOf: revision - 1, Wait: time.Minute})
		require.NoError(t, err)
		require.Less(t, time.Since(now), time.Second)
		require.Len(t, answer.Evacuations, int(6-revision))
	}
}

// Guards against records that grow with keys that name no data centre.
func TestRecordsOfEvacuationsAreBounded(t *testing.T) {
	e := make(evacuations)
	for i := range int64(3 * maxEvacuations) {
		e.put(host.DataCentre(fmt.Sprint(i)), infra.Position{Revision: 2*i + 1}, false)
		e.put(host.DataCentre(fmt.Sprint(i)), infra.Position{Revision: 2*i + 2}, true)
	}
	require.LessOrEqual(t, len(e), maxEvacuations)
}
