package placement

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/host/hosttest"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
)

// ownerStub answers every call as an owner that chose an engine.
type ownerStub struct{ engine instance.ID }

func (o ownerStub) Call(_ context.Context, _ netip.AddrPort, method link.Method, _, out any) error {
	if reply, ok := out.(*placeReply); ok && method == placeMethod {
		*reply = placeReply{Engine: o.engine}
	}
	return nil
}

// Guards against a stream that goes on at another software version because the
// owner does not know the required one or has an older entry of the engine.
func TestEngineOfAnotherVersionFromTheOwnerIsNotTaken(t *testing.T) {
	fleet := hosttest.Fleet{{Info: host.Info{ID: "h0", Capacity: 1}}, {Info: host.Info{ID: "h1", Capacity: 1}}}
	owners := ownership.New(fleet, time.Now())
	service := ""
	for i := 0; service == ""; i++ {
		if _, own := owners.Owner(fmt.Sprint("s", i), time.Now()); !own {
			service = fmt.Sprint("s", i)
		}
	}
	engines := instance.NewTable(nil)
	engines.Put(instance.Entry{ID: "e0", Service: service, Version: "v1", Revision: 1})
	engines.Put(instance.Entry{ID: "e1", Service: service, Version: "v2", Revision: 2})
	p := New(Config{Engines: engines, Owners: owners, Caller: ownerStub{engine: "e0"}, Logger: slog.New(slog.DiscardHandler)}, link.NewMux())
	random := rand.New(rand.NewPCG(1, 2))
	ticket, found := p.Place(t.Context(), Need{Service: service, Version: "v2"}, random)
	require.True(t, found)
	require.Equal(t, instance.ID("e1"), ticket.Engine.ID)
	ticket, found = p.Place(t.Context(), Need{Service: service, Version: "v1"}, random)
	require.True(t, found)
	require.Equal(t, instance.ID("e0"), ticket.Engine.ID)
	_, found = p.Place(t.Context(), Need{Service: service, Version: "v3"}, random)
	require.False(t, found)
}
