package gateway

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/retry"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/transport"
)

// Upstreams that start to leave between their choice and the sending were sent
// nothing: the request must go on to another, also if the retry budget is used up
// and although more were chosen than the route's limit allows.
func TestUpstreamThatLeavesBeforeSendingCostsNoRetry(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Stamp", "stamp")
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	}))
	defer upstream.Close()
	table := instance.NewTable(nil)
	for _, id := range []instance.ID{"a", "b", "c", "d", "e"} {
		table.Put(instance.Entry{ID: id, Service: "s", Addr: upstream.Listener.Addr().(*net.TCPAddr).AddrPort(), Revision: 1})
	}
	routes, err := routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s"}}})
	require.NoError(t, err)
	client := transport.New(nil)
	withheld := 0
	client.Admit(func(c *transport.Call) bool {
		if withheld == 4 {
			return true
		}
		withheld++
		table.MarkLeaving(c.Upstream, time.Now())
		return false
	})
	w := httptest.NewRecorder()
	x := &exchange{
		Gateway: New(Config{
			Codec: platform.HTTPCodec{}, Instances: table, Metrics: NewMetrics(nil), Transport: client, Logger: slog.New(slog.DiscardHandler),
			Retries: retry.New(retry.Bounds{Window: time.Second}, func() int { return 1 }, time.Now()),
		}),
		w: w, r: httptest.NewRequest(http.MethodGet, "/", nil), table: routes, service: "s", deadline: time.Now().Add(time.Minute),
		request: &call.Request{ID: "r1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Attempt-Id": {"r1"}}, LastEvent: call.NoEvent},
		route:   &routing.Route{Kind: routing.AtMostOnce, MaxUpstreams: 1}, ctx: t.Context(), random: rand.New(rand.NewPCG(1, 1)),
	}
	x.runAttempts()
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, 4, withheld)
	require.Len(t, x.attempts, 5)
}
