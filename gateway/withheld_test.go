package gateway

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
)

// Upstreams that start to leave between their choice and the sending were sent
// nothing: the request must go on to another, also if the retry budget is used up
// and although more were chosen than the route's limit allows.
func TestUpstreamThatLeavesBeforeSendingCostsNoRetry(t *testing.T) {
	table := instance.NewTable(nil)
	for _, id := range []instance.ID{"a", "b", "c", "d", "e"} {
		table.Put(instance.Entry{ID: id, Service: "s", Revision: 1})
	}
	routes, err := routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s"}}})
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	x := &exchange{
		Gateway: New(Config{
			Instances: table, Metrics: NewMetrics(nil),
			Retries: retry.New(retry.Bounds{Window: time.Second}, func() int { return 1 }, time.Now()),
		}),
		w: httptest.NewRecorder(), r: r, request: &call.Request{}, table: routes, service: "s",
		route: &routing.Route{Kind: routing.AtMostOnce, MaxUpstreams: 1}, ctx: t.Context(), random: rand.New(rand.NewPCG(1, 1)),
	}
	chosen := 0
	x.runAttempts(func(s instance.Status, ticket placement.Ticket) attemptResult {
		if chosen++; chosen == 5 {
			return callerAnswered
		}
		table.MarkLeaving(s.Process())
		_, result := x.send(x.ctx, s, ticket, call.NoEvent)
		return result
	})
	require.Equal(t, 5, chosen)
}
