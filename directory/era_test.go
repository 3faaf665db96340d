package directory

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// listedAtStart is the number of upstreams that a test fleet's store has.
	listedAtStart = 20
	largeFleet    = 24
)

// loseRevisions writes to the store what it will have lost after restore.
func (f *testFleet) loseRevisions(n int) {
	for i := range n {
		f.store.put(fmt.Sprint("other/", i), instance.Entry{}, false)
	}
	time.Sleep(testMaxDelay)
}

// Guards against new work for an upstream that leaves after the store came back
// from a copy, with revisions lower than those known. Most hosts of the large
// fleet learn it from others.
func TestNewsOfNewEraReachesEveryHost(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, size)
			f.loseRevisions(30)
			f.store.restore(listedAtStart)
			f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
			f.store.put("up/u4", instance.Entry{}, true)
			f.store.put("up/new", instance.Entry{Service: "s"}, false)
			time.Sleep(testMaxDelay)
			require.Zero(t, f.countWrong("u3", false))
			require.Zero(t, f.countWrong("u4", false))
			require.Zero(t, f.countWrong("new", true))
			f.store.put("up/u5", instance.Entry{Service: "s", Leaving: true}, false)
			time.Sleep(testMaxDelay)
			require.Zero(t, f.countWrong("u5", false), "the hosts follow the new era")
		})
	}
}

// Guards against the loss of upstreams that serve, because the copy lacks them,
// and against one that stays although it does not come back.
func TestUpstreamMissingInCopyIsKeptUntilItRegistersAgain(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, size)
			f.store.put("up/back", instance.Entry{Service: "s"}, false)
			f.store.put("up/gone", instance.Entry{Service: "s"}, false)
			f.loseRevisions(10)
			f.store.restore(listedAtStart)
			for range 15 {
				require.Zero(t, f.countWrong("back", true))
				time.Sleep(100 * time.Millisecond)
			}
			f.store.put("up/back", instance.Entry{Service: "s"}, false)
			for range 20 {
				require.Zero(t, f.countWrong("back", true))
				time.Sleep(200 * time.Millisecond)
			}
			require.Zero(t, f.countWrong("gone", false))
			f.store.put("up/gone", instance.Entry{Service: "s"}, false)
			time.Sleep(testMaxDelay)
			require.Zero(t, f.countWrong("gone", true), "it registers after the grace, at a revision below its last")
		})
	}
}

// Guards against new work for upstreams that were leaving or removed before the
// store came back from a copy that lists them as ready.
func TestUpstreamThatLeftStaysOutThoughTheCopyListsIt(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, size)
			f.store.put("up/u3", instance.Entry{Service: "s", Leaving: true}, false)
			f.store.put("up/u4", instance.Entry{}, true)
			f.loseRevisions(3)
			f.store.restore(listedAtStart)
			for range 20 {
				require.Zero(t, f.countWrong("u3", false))
				require.Zero(t, f.countWrong("u4", false))
				time.Sleep(100 * time.Millisecond)
			}
			require.EqualValues(t, 1, f.hosts[0].position().Era)
		})
	}
}

// Guards against late answers of the store: what was read before it came back
// from a copy arrives after it.
func TestLateNewsOfFormerEraChangesNothing(t *testing.T) {
	t.Parallel()
	h := newTestFleet(t, 2).hosts[0]
	raw, err := cbor.Marshal(instance.Entry{Service: "s"})
	require.NoError(t, err)
	late := []Item{{Key: "up/late", Value: raw, Revision: 90}, {Key: HostPrefix + "x", Revision: 91, Removed: true}}
	h.store.restore(listedAtStart)
	require.Eventually(t, func() bool { return h.position().Era == 1 }, 10*time.Second, 5*time.Millisecond)
	h.applySnapshot(late, infra.Position{Revision: 95}, time.Now())
	require.False(t, h.applyChanges(late, infra.Position{Revision: 95}, time.Now()))
	require.Equal(t, infra.Position{Era: 1, Revision: listedAtStart}, h.position())
	require.Zero(t, h.countWrong("late", false))
	require.Zero(t, h.countWrong("u3", true))
}

// Guards against news that another host gives from a former era. Its
// configuration counts, because that is ordered by version.
func TestAnswerOfHostInFormerEraChangesOnlyTheConfiguration(t *testing.T) {
	t.Parallel()
	h := newTestFleet(t, 2).hosts[0]
	h.store.restore(listedAtStart)
	require.Eventually(t, func() bool { return h.position().Era == 1 }, 10*time.Second, 5*time.Millisecond)
	require.False(t, h.applyAnswer(followAnswer{
		AsOf: 95, Config: []byte("123"), Complete: true, Entries: []instance.Entry{{ID: "late", Service: "s", Revision: 90}},
		Removals: []instance.Removal{{ID: "u3", Revision: 91}},
		Expiries: map[instance.ID]wireExpiry{"u4": {Left: -time.Second, Revision: 92}},
	}, netip.AddrPort{}))
	require.Equal(t, routing.Version(3), h.Routes().Version())
	time.Sleep(2 * expiryCheckInterval)
	for id, wanted := range map[instance.ID]bool{"late": false, "u3": true, "u4": true} {
		require.Zero(t, h.countWrong(id, wanted), id)
	}
}

// Guards against a host that ignores the announcement of a new era, or that is
// held back by one of a former era with a higher revision.
func TestAnnouncedPositionsAreOrderedByEraFirst(t *testing.T) {
	t.Parallel()
	h := newTestFleet(t, 1).hosts[0]
	h.store.restore(listedAtStart)
	require.Eventually(t, func() bool { return h.position().Era == 1 }, 10*time.Second, 5*time.Millisecond)
	announce := func(payload []byte) (behind bool) {
		h.handleRevision(member.Fact{Payload: payload})
		_, _ = h.peerAhead()
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.heard.After(h.asOf)
	}
	require.False(t, announce(binary.BigEndian.AppendUint64(nil, 1_000_000)), "a host of the build before")
	require.False(t, announce([]byte("no position")))
	require.False(t, announce(encodePosition(infra.Position{Era: 1, Revision: listedAtStart})))
	require.True(t, announce(encodePosition(infra.Position{Era: 2, Revision: 3})))
	for _, p := range []infra.Position{{Revision: 7}, {Era: 3, Revision: 7}} {
		decoded, ok := decodePosition(encodePosition(p))
		require.True(t, ok)
		require.Equal(t, p, decoded)
	}
}

// Guards against followers of the build before, which state no era: they must be
// served as before, and not be answered without a pause.
func TestFollowerOfTheBuildBeforeIsServedByRevision(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.store.restore(listedAtStart)
	h := f.hosts[0]
	require.Eventually(t, func() bool { return h.position().Era == 1 }, 10*time.Second, 5*time.Millisecond)
	type oldRequest struct {
		AsOf int64         `cbor:"1,keyasint"`
		Wait time.Duration `cbor:"3,keyasint"`
	}
	follow := func(request oldRequest) (answer followAnswer) {
		require.NoError(t, f.hosts[1].Call(t.Context(), h.Self().LinkAddr, followMethod, request, &answer))
		return answer
	}
	const wait = 300 * time.Millisecond
	start := time.Now()
	answer := follow(oldRequest{AsOf: listedAtStart, Wait: wait})
	require.GreaterOrEqual(t, time.Since(start), wait)
	require.True(t, answer.isEmpty())
	f.store.put("up/new", instance.Entry{Service: "s"}, false)
	require.Eventually(t, func() bool { return h.position().Revision > listedAtStart }, 10*time.Second, 5*time.Millisecond)
	answer = follow(oldRequest{AsOf: listedAtStart, Wait: wait})
	require.Len(t, answer.Entries, 1)
	require.False(t, answer.Complete)
	answer = follow(oldRequest{AsOf: listedAtStart - 1, Wait: wait})
	require.Greater(t, len(answer.Entries), 1)
	require.True(t, answer.Complete, "removals before the listing are not known")
}

// Guards against a follower that waits for a watcher which is still in the former
// era.
func TestFollowerInLaterEraIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t, 2)
	f.store.put("up/new", instance.Entry{Service: "s"}, false)
	require.Eventually(t, func() bool { return f.countWrong("new", true) == 0 }, 10*time.Second, time.Millisecond)
	era := int64(5)
	var answer followAnswer
	start := time.Now()
	request := followRequest{Era: &era, AsOf: 1, Wait: 10 * time.Second}
	require.NoError(t, f.hosts[1].Call(t.Context(), f.hosts[0].Self().LinkAddr, followMethod, request, &answer))
	require.Less(t, time.Since(start), time.Second, "before its data counts as stale")
	require.Zero(t, answer.Era)
}

// Guards against a new era that the metrics do not show.
func TestEraIsCounted(t *testing.T) {
	t.Parallel()
	registry := prometheus.NewRegistry()
	running := newTestFleet(t, 1).hosts[0]
	config := running.config
	config.Registerer, config.Instances = registry, instance.NewTable(nil)
	d := New(config, &testHost{testFleet: running.testFleet, handlers: make(map[link.Method]link.Handler)})
	d.applySnapshot(nil, infra.Position{Era: 3, Revision: 9}, time.Now())
	d.applySnapshot(nil, infra.Position{Era: 4, Revision: 1}, time.Now())
	families, err := registry.Gather()
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, family := range families {
		m := family.GetMetric()[0]
		values[family.GetName()] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
	}
	require.Less(t, values["seam_store_copy_age_seconds"], 60.0)
	delete(values, "seam_store_copy_age_seconds")
	require.Equal(t, map[string]float64{"seam_configuration_sent_bytes_total": 0, "seam_store_era": 4, "seam_store_era_rises_total": 1, "seam_store_watches_cut_total": 0, "seam_store_answers_overdue_total": 0, "seam_evacuations_of_unknown_data_centres_total": 0}, values)
}
