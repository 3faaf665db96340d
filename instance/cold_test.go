package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// coldTable returns a table at a time whose first listing is complete, with upstreams of a
// service that warms up in 10 s and of one that is never cold.
func coldTable(now *time.Time, changed func(instance.Change)) *instance.Table {
	table := instance.NewTable(changed)
	table.SetClock(func() time.Time { return *now })
	table.SetWarmups(map[string]instance.Warmup{"s": {Time: 10 * time.Second, PerSecond: 8.4}, "never": {Time: 10 * time.Second}})
	for _, service := range []string{"s", "never"} {
		table.Put(instance.Entry{ID: instance.ID("old-" + service), Service: service, Revision: 1, DataCentre: "riga-a"})
	}
	table.MarkGap(infra.Position{}, *now)
	return table
}

// Guards against a source of coldness that does not count, ends early or never ends.
func TestUpstreamIsColdAsLongAsAnySourceSaysSo(t *testing.T) {
	start := time.Unix(1000, 0)
	old := instance.Process{ID: "old-s"}
	entry := func(revision, startMS int64, left time.Duration) instance.Entry {
		return instance.Entry{ID: "old-s", Service: "s", Revision: revision, DataCentre: "riga-a", StartTime: time.UnixMilli(startMS), WarmupLeft: left}
	}
	for name, c := range map[string]struct {
		event    func(*instance.Table)
		coldFor  time.Duration
		reported bool
	}{
		"in the first listing":    {event: func(*instance.Table) {}},
		"entry":                   {func(t *instance.Table) { e := entry(2, 0, 3*time.Second); e.StartTime = time.Time{}; t.Put(e) }, 3 * time.Second, true},
		"answer":                  {func(t *instance.Table) { t.MarkCold(old, 4*time.Second, start) }, 4 * time.Second, true},
		"shorter answer after it": {func(t *instance.Table) { t.MarkCold(old, 4*time.Second, start); t.MarkCold(old, time.Second, start) }, 4 * time.Second, true},
		"newer process":           {func(t *instance.Table) { t.Put(entry(2, 1, 0)) }, 10 * time.Second, false},
		"newer process that says longer": {
			func(t *instance.Table) { t.Put(entry(2, 1, 12*time.Second)) }, 12 * time.Second, false,
		},
		"removed and back": {func(t *instance.Table) {
			t.Remove("old-s", infra.Position{Revision: 2})
			e := entry(3, 0, 0)
			e.StartTime = time.Time{}
			t.Put(e)
		}, 10 * time.Second, false},
		"data centre is used again": {func(t *instance.Table) { t.MarkDataCentreCold("riga-a", start) }, 10 * time.Second, false},
		"another data centre":       {event: func(t *instance.Table) { t.MarkDataCentreCold("riga-b", start) }},
		"unreachable":               {func(t *instance.Table) { t.MarkUnreachable("old-s", start) }, 10700 * time.Millisecond, false},
		"warm-up of the service is shortened": {func(t *instance.Table) {
			t.Put(entry(2, 1, 0))
			t.SetWarmups(map[string]instance.Warmup{"s": {Time: 2 * time.Second, PerSecond: 8.4}})
		}, 2 * time.Second, false},
	} {
		now, reported := start, false
		table := coldTable(&now, func(c instance.Change) { reported = reported || c.Kind == "cold" })
		c.event(table)
		_, cold := table.Cold(old, start)
		require.Equal(t, c.coldFor > 0, cold, name)
		require.Equal(t, c.reported, reported, name)
		for _, at := range []time.Duration{0, c.coldFor - 1, c.coldFor} {
			_, cold = table.Cold(old, start.Add(max(at, 0)))
			require.Equal(t, at < c.coldFor && c.coldFor > 0, cold, "%s, %s", name, at)
		}
		require.Equal(t, c.coldFor > 0, table.Service("s", start.Add(c.coldFor-1))[0].Cold, name)
	}
}

// Guards against a fleet that starts with its upstreams and takes them all for new, and against
// a clock that is ahead and keeps its upstream cold.
func TestFirstListingCountsByStartTimesOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	table := instance.NewTable(nil)
	table.SetClock(func() time.Time { return now })
	for id, started := range map[instance.ID]time.Duration{"long ago": -time.Minute, "lately": -4 * time.Second, "ahead": time.Hour} {
		table.Put(instance.Entry{ID: id, Service: "s", Revision: 1, StartTime: now.Add(started)})
	}
	table.SetWarmups(map[string]instance.Warmup{"s": {Time: 10 * time.Second, PerSecond: 8.4}})
	require.Len(t, table.ColdUpstreams(now)["s"], 2)
	require.Len(t, table.ColdUpstreams(now.Add(6 * time.Second))["s"], 1)
	require.Len(t, table.ColdUpstreams(now.Add(10 * time.Second))["s"], 0)
}

// Guards against any change for services without a warm-up, whatever their upstreams say, and
// against an upstream that registers after its data centre was marked and is taken for warm.
func TestOnlyServicesWithAWarmupHaveColdUpstreams(t *testing.T) {
	now := time.Unix(1000, 0)
	table := coldTable(&now, func(c instance.Change) { require.NotEqual(t, "cold", c.Kind) })
	never := instance.Process{ID: "old-never"}
	table.MarkCold(never, time.Minute, now)
	table.MarkDataCentreCold("riga-a", now)
	require.Zero(t, table.Restraint(never, now))
	require.False(t, table.Service("never", now)[0].Cold)
	table.Put(instance.Entry{ID: "new", Service: "s", Revision: 2, DataCentre: host.DataCentre("riga-a")})
	require.Equal(t, 8.4, table.Restraint(instance.Process{ID: "new"}, now.Add(9*time.Second)).WarmupPerSecond)
	require.Len(t, table.ColdUpstreams(now)["s"], 2)
}
