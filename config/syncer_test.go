package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/internal/fakestore"
)

// inForceBound is the guaranteed time from acceptance until a change is in
// force on every host.
const inForceBound = 6 * time.Second

// applyChange makes one change through a host and returns its generation.
func applyChange(f *fleet, h *testHost, id string) Generation {
	edit := editOf(id, h.syncer.Current(), document.SectionPrices, "billing", id)
	result, err := f.writerOn(h).Apply(context.Background(), edit)
	require.NoError(f.t, err)
	return result.Generation
}

func TestChangesAreInForceEverywhereInTime(t *testing.T) {
	for _, gossip := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 1)
			f.gossip = gossip
			hosts := f.start(12, 4)
			defer f.stop()
			f.waitAll(hosts, 1)
			for i := range 20 {
				generation := applyChange(f, hosts[i%12], fmt.Sprint("op-", i))
				require.LessOrEqual(t, f.waitAll(hosts, generation), inForceBound, "gossip %v", gossip)
			}
			require.Zero(t, f.reversals)
		})
	}
}

func TestSilentAndBrokenWatchesDoNotDelayChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		hosts := f.start(12, 4)
		defer f.stop()
		f.waitAll(hosts, 1)
		f.store.SetFaults(fakestore.Faults{MuteWatches: true})
		for i := range 10 {
			generation := applyChange(f, hosts[i], fmt.Sprint("mute-", i))
			require.LessOrEqual(t, f.waitAll(hosts, generation), inForceBound)
			f.store.BreakWatches()
		}
		require.Zero(t, f.reversals)
	})
}

func TestPausedWatchersAreReplacedByPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		hosts := f.start(12, 2)
		defer f.stop()
		f.waitAll(hosts, 1)
		chosen := watchers(hosts[0].Members(), hosts[0].info.Place.DataCentre)
		var rest []*testHost
		for _, h := range hosts {
			if containsHost(chosen, h.info.ID) {
				f.update(h, func(h *testHost) { h.paused = true })
			} else {
				rest = append(rest, h)
			}
		}
		require.Len(t, chosen, watchersPerDataCentre)
		require.Len(t, rest, 9)
		generation := applyChange(f, rest[0], "paused")
		require.LessOrEqual(t, f.waitAll(rest, generation), inForceBound)
		require.Zero(t, f.reversals)
	})
}

func TestRestartDuringStoreOutageLoadsFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		hosts := f.start(12, 4)
		defer f.stop()
		f.waitAll(hosts, 1)
		generation := applyChange(f, hosts[0], "before")
		f.waitAll(hosts, generation)
		f.store.SetFaults(fakestore.Faults{Down: true})
		isolated := f.startOne("lonely", 0, func(h *testHost) { h.partitioned = true })
		for i, h := range hosts { // replace all hosts but one, one at a time
			if i == 11 {
				break
			}
			h.stop()
			replacement := f.startOne(fmt.Sprint("again-", i), i%4)
			f.waitAll([]*testHost{replacement}, generation)
			time.Sleep(10 * time.Second)
		}
		require.False(t, isolated.syncer.Ready(), "nobody answered, so it must not serve")
		require.Nil(t, isolated.syncer.Current())
		f.store.SetFaults(fakestore.Faults{})
		f.update(isolated, func(h *testHost) { h.partitioned = false })
		f.waitAll(f.all(), generation)
		require.Zero(t, f.reversals)
	})
}

func TestAnOlderHeadIsReportedAndNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		hosts := f.start(12, 4)
		defer f.stop()
		f.waitAll(hosts, 1)
		old := f.store.Save()
		for i := range 3 {
			f.waitAll(hosts, applyChange(f, hosts[i], fmt.Sprint("op-", i)))
		}
		f.store.Restore(old)
		time.Sleep(10 * time.Second)
		restarted := f.startOne("restarted", 1)
		f.waitAll([]*testHost{restarted}, 4)
		for _, h := range f.all() {
			require.EqualValues(t, 4, h.syncer.Current().Generation)
		}
		require.NotZero(t, behindCount(hosts))
		writer := f.writerOn(hosts[0])
		edit := editOf("late", hosts[0].syncer.Current(), document.SectionPrices, "billing", "late")
		_, err := writer.Apply(context.Background(), edit)
		require.ErrorIs(t, err, ErrStaleStore)
		_, err = writer.Restore(context.Background())
		require.NoError(t, err)
		result, err := writer.Apply(context.Background(), edit)
		require.NoError(t, err)
		require.EqualValues(t, 5, result.Generation)
		f.waitAll(f.all(), 5)
		history, err := writer.History(context.Background(), 10)
		require.NoError(t, err)
		require.Len(t, history, 5)
		require.Zero(t, f.reversals)
	})
}

// behindCount returns how many hosts report that the store is behind.
func behindCount(hosts []*testHost) int {
	count := 0
	for _, h := range hosts {
		if metricValue(h.syncer.metrics.storeBehind) == 1 {
			count++
		}
	}
	return count
}

func TestAForkIsNeverFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		hosts := f.start(6, 2)
		defer f.stop()
		f.waitAll(hosts, 1)
		old := f.store.Save()
		f.waitAll(hosts, applyChange(f, hosts[0], "kept"))
		f.store.Restore(old)
		blind := NewWriter(WriterConfig{Store: f.store}) // has no HostState, so it can't detect the stale store
		for i := range 3 {
			bodies, record, err := blind.Bodies(context.Background(), 0)
			require.NoError(t, err)
			snapshot := &Snapshot{Generation: record.Generation, Bodies: bodies}
			_, err = blind.Apply(context.Background(),
				editOf(fmt.Sprint("fork-", i), snapshot, document.SectionPrices, "billing", "fork"))
			require.NoError(t, err)
		}
		time.Sleep(20 * time.Second)
		for _, h := range hosts {
			require.EqualValues(t, 2, h.syncer.Current().Generation)
			require.Equal(t, "kept", h.syncer.Current().Operation.ID)
		}
	})
}

func TestAHostCutOffForManyGenerationsCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		hosts := f.start(6, 2)
		defer f.stop()
		f.waitAll(hosts, 1)
		isolated := hosts[5]
		f.update(isolated, func(h *testHost) { h.partitioned = true })
		f.store.SetFaults(fakestore.Faults{MuteWatches: true})
		var generation Generation
		for i := range recentLimit + 20 {
			generation = applyChange(f, hosts[0], fmt.Sprint("op-", i))
			f.waitAll(hosts[:1], generation)
		}
		f.update(isolated, func(h *testHost) { h.partitioned = false })
		require.LessOrEqual(t, f.waitAll(hosts, generation), inForceBound)
		require.Zero(t, f.reversals)
	})
}

func TestAHostIsNotReadyBeforeEnoughPeersAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		round   startRound
		serving Generation
		floor   Generation
		ready   bool
	}{
		"nothing to serve":            {startRound{asked: 4, answered: 4}, 0, 0, false},
		"all answered":                {startRound{asked: 4, answered: 4, newest: 3}, 3, 3, true},
		"half answered, store down":   {startRound{asked: 4, answered: 2, newest: 3}, 3, 3, true},
		"too few answered":            {startRound{asked: 4, answered: 1, newest: 3, storeAnswered: true}, 3, 3, false},
		"a peer is ahead":             {startRound{asked: 4, answered: 4, newest: 4}, 3, 3, false},
		"one that hangs is ahead":     {startRound{asked: 4, answered: 3, newest: 3}, 3, 4, false},
		"alone":                       {startRound{settled: true, storeAnswered: true}, 3, 0, true},
		"alone but list may come":     {startRound{storeAnswered: true}, 3, 0, false},
		"alone and the store is down": {startRound{settled: true}, 3, 0, false},
	} {
		require.Equal(t, c.ready, c.round.isReady(c.serving, c.floor), name)
	}
	quiet := startRound{asked: 2, answered: 2, storeAnswered: true}
	require.True(t, quiet.mayCreate(0, 0))
	require.False(t, quiet.mayCreate(0, 1))
	require.False(t, startRound{asked: 2, answered: 2}.mayCreate(0, 0))
}

func TestAHostThatOnlyReachesAnOldStoreWaitsForItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 8)
		hosts := f.start(6, 2)
		defer f.stop()
		f.waitAll(hosts, 1)
		old := f.store.Save()
		f.waitAll(hosts, applyChange(f, hosts[0], "newer"))
		f.store.Restore(old)
		for _, h := range hosts {
			f.update(h, func(h *testHost) { h.paused, h.served = true, 0 }) // membership has not announced them either
		}
		restarted := f.startOne("restarted", 0)
		time.Sleep(30 * time.Second)
		require.False(t, restarted.syncer.Ready())
		for _, h := range hosts {
			f.update(h, func(h *testHost) { h.paused = false })
		}
		f.waitAll(f.all(), 2)
	})
}
