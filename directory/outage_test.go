package directory

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

const (
	testHeartbeat = 1200 * time.Millisecond
	testEntryTTL  = 3 * testHeartbeat
)

// Guards against an upstream that is kept in use after its removal because a call failed
// that explains no expiry, and against one that is dropped although it could not write.
func TestOnlyAnOutageInWhichEntriesExpireKeepsRemovedUpstreams(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		reached  time.Duration // when the store was last known to be reachable
		failures []time.Duration
		answered time.Duration
		kept     bool
	}{
		"no failure":                           {answered: 5 * time.Second},
		"one failed call":                      {failures: []time.Duration{100 * time.Millisecond}, answered: 200 * time.Millisecond},
		"failed call after a long watch":       {reached: 2 * time.Second, failures: []time.Duration{2100 * time.Millisecond}, answered: 2400 * time.Millisecond},
		"outage too short for an expiry":       {failures: []time.Duration{0, 700 * time.Millisecond, 1900 * time.Millisecond}, answered: 2100 * time.Millisecond},
		"outage long enough for an expiry":     {failures: []time.Duration{0, 1 * time.Second, 2200 * time.Millisecond}, answered: 2500 * time.Millisecond, kept: true},
		"call without an answer for as long":   {failures: []time.Duration{3500 * time.Millisecond}, answered: 3600 * time.Millisecond, kept: true},
		"answered longer than the grace after": {failures: []time.Duration{2500 * time.Millisecond}, answered: 2500*time.Millisecond + expiryGrace},
	} {
		t.Run(name, func(t *testing.T) {
			d := newLoneDirectory(&testStore{}, nil)
			d.outages = newOutageTracker(testHeartbeat, testEntryTTL)
			start := time.Unix(1000, 0)
			raw, err := cbor.Marshal(instance.Entry{Service: "s"})
			require.NoError(t, err)
			d.applySnapshot([]Item{{Key: "up/u", Value: raw, Revision: 1}}, infra.Position{Revision: 1}, start)
			if c.reached > 0 {
				d.recordCutWatch(c.reached, start.Add(c.reached))
			}
			for _, at := range c.failures {
				d.recordFailure(errs.New("call rejected"), start.Add(at))
			}
			answered := start.Add(c.answered)
			d.recordAnswer(answered)
			d.applyChanges([]Item{{Key: "up/u", Revision: 2, Removed: true}}, infra.Position{Revision: 2}, answered)
			_, kept := d.config.Instances.Lookup("u")
			require.Equal(t, c.kept, kept)
			d.removeExpired(answered.Add(expiryGrace))
			_, kept = d.config.Instances.Lookup("u")
			require.False(t, kept, "the grace is over")
		})
	}
}

// Guards against an outage that is overlooked because another host, or a request that asks for
// confirmation, reaches the store before this host's own watch.
func TestOutageIsNoticedWhoeverReachesTheStoreFirst(t *testing.T) {
	start := time.Unix(1000, 0)
	o := newOutageTracker(testHeartbeat, testEntryTTL)
	o.reached(start)
	o.failed(start.Add(time.Second))
	o.reached(start.Add(time.Second)) // another host is still in touch
	require.Zero(t, o.endedAt)
	o.failed(start.Add(4 * time.Second))
	o.reached(start.Add(4100 * time.Millisecond)) // another host is in touch again
	_, restored := o.answered(start.Add(4200 * time.Millisecond))
	require.True(t, restored)
	require.Equal(t, start.Add(4*time.Second), o.endedAt)
	_, restored = o.answered(start.Add(5 * time.Second))
	require.False(t, restored)
}

// Guards against watches in a loop without a pause while the store cuts each at once.
func TestWatchesThatAreCutAtOnceAreRepeatedWithAPause(t *testing.T) {
	t.Parallel()
	store := &testStore{changed: make(chan struct{}), cutsWatches: true}
	d := newLoneDirectory(store, nil)
	const length = time.Second
	begun := time.Now()
	ctx, stop := context.WithTimeout(t.Context(), length)
	defer stop()
	require.NoError(t, d.Run(ctx))
	rounds := int(time.Since(begun)/minRetryDelay) + 1
	require.LessOrEqual(t, store.calls, 1+2*rounds, "the first read, then a watch and a confirmation in each round")
	require.GreaterOrEqual(t, store.calls, 4, "the watch is repeated")
	require.Zero(t, d.outages.failedAt)
	require.True(t, d.confirmedAt.After(begun), "the store keeps confirming that nothing changed")
}

// Guards against a host that asks again for changes that it can't read, and against one that takes
// this for an outage of the store, in which removed upstreams are kept.
func TestUnreadableChangesAreReplacedByAReadOfEverything(t *testing.T) {
	t.Parallel()
	store := &testStore{changed: make(chan struct{}), unreadable: true}
	d := newLoneDirectory(store, nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go func() { _ = d.Run(ctx) }()
	const changes = 4
	for revision := range int64(changes) {
		store.put("odd", instance.Entry{}, false)
		require.Eventually(t, func() bool { return d.Revision() == revision+1 }, 5*time.Second, time.Millisecond)
	}
	store.mu.Lock()
	calls := store.calls
	store.mu.Unlock()
	require.LessOrEqual(t, calls, 2*changes+2, "the first read, then a watch and a read for each change, and a watch that waits")
	d.mu.Lock()
	defer d.mu.Unlock()
	require.Zero(t, d.outages.failedAt)
}
