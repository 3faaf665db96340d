package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/transport"
)

// TestCallerThatLeavesWhileConnectingSaysNothingOfTheUpstream ends a request
// while its connection is being made: at once, and after a connecting so slow
// that the upstream is to be doubted all the same.
func TestCallerThatLeavesWhileConnectingSaysNothingOfTheUpstream(t *testing.T) {
	for name, c := range map[string]struct {
		took    time.Duration
		ejected bool
	}{
		"at once":    {took: 10 * time.Millisecond},
		"after long": {took: time.Second, ejected: true},
	} {
		table := instance.NewTable(nil)
		table.Put(instance.Entry{ID: "a", Service: "s", Revision: 1})
		use, begun := table.Begin("a", 0)
		require.True(t, begun)
		ctx, leave := context.WithCancel(t.Context())
		leave()
		s := &sending{
			exchange: &exchange{
				Gateway: New(Config{Instances: table, Metrics: NewMetrics(nil)}), request: &call.Request{}, ctx: ctx,
			},
			ctx: ctx, use: use, begun: time.Now().Add(-c.took),
		}
		require.Equal(t, notRun, s.broken(transport.ErrNotSent), name)
		require.Equal(t, c.ejected, table.Service("s", time.Now())[0].Ejected, name)
		require.Zero(t, table.Service("s", time.Now())[0].InFlight, name)
	}
}
