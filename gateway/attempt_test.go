package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/transport"
)

// A caller that leaves while the connection is being made must not eject the
// upstream, unless connecting had already taken longer than slowConnectTime.
func TestCallerLeavingDuringConnectDoesNotEjectUpstream(t *testing.T) {
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
		r := &race{exchange: &exchange{
			Gateway: New(Config{Instances: table, Metrics: NewMetrics(nil)}), request: &call.Request{}, ctx: ctx,
			route: &routing.Route{}, deadline: time.Now().Add(time.Minute),
		}}
		s := r.newAttempt(attemptPlan{})
		s.begun, s.use, s.sentAt = true, use, time.Now().Add(-c.took)
		s.monitor = s.newSilenceMonitor(instance.Status{})
		s.monitor.start()
		what := s.sendFailure(transport.ErrNotSent)
		require.Equal(t, notRun, what.result, name)
		s.end(what.outcome, what.status, what.label, what.err)
		require.Equal(t, c.ejected, table.Service("s", time.Now())[0].Ejected, name)
		require.Zero(t, table.Service("s", time.Now())[0].InFlight, name)
	}
}
