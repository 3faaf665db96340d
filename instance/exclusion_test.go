package instance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
)

// Guards against an upstream that gets no work without a reason, or is given one and gets work.
func TestExclusionsAreThoseWithoutWork(t *testing.T) {
	table, now := instance.NewTable(nil), time.Now()
	for id, dc := range map[instance.ID]host.DataCentre{"evacuated": "x", "leaving": "y", "limited": "y", "open": "y", "paused": "y", "version": "y"} {
		version := "v1"
		if id == "version" {
			version = "v2"
		}
		table.Put(instance.Entry{ID: id, Service: "s", DataCentre: dc, Leaving: id == "leaving", Version: version, Revision: 1})
	}
	table.SetEvacuated("x", true, now)
	table.Pause(instance.Process{ID: "paused"}, now.Add(time.Second), now)
	table.Throttle(instance.Process{ID: "limited"}, now.Add(time.Second))
	reasons := map[instance.ID]string{}
	for _, e := range table.Exclusions("s", "v1", now) {
		reasons[e.ID] = e.Reason
		require.Equal(t, e.ID == "paused" || e.ID == "limited", e.Until.Equal(now.Add(time.Second)), e.ID)
	}
	require.Equal(t, map[instance.ID]string{"evacuated": "evacuated", "leaving": "leaving", "limited": "limited", "paused": "paused", "version": "version"}, reasons)
	require.Equal(t, instance.ID("open"), instance.OfVersion(table.Service("s", now), "v1")[0].ID)
	require.Len(t, table.Service("s", now), 2)
}
