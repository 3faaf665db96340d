package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/transport"
)

// Guards against calls to an evacuated data centre on connections that are kept or that were
// opened before, and against results there that are never freed.
func TestCallsOnOpenConnectionsKeepToAnEvacuation(t *testing.T) {
	arrived := 0
	upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
	defer upstream.Close()
	h := &Host{instances: instance.NewTable(nil)}
	entry := instance.Entry{ID: "u", Service: "s", DataCentre: "x", Revision: 1, Addr: upstream.Listener.Addr().(*net.TCPAddr).AddrPort()}
	h.instances.Put(entry)
	client := transport.New(nil)
	defer client.Close()
	evacuated, admitted := 0, 0 // the call that meets the evacuation after it was admitted
	client.Admit(func(c *transport.Call) bool {
		defer func() {
			if admitted++; admitted == evacuated {
				h.instances.SetEvacuated("x", true, time.Now())
			}
		}()
		return h.admitCall(c)
	})
	send := func(takesNoSlot bool) error {
		answer, err := client.Do(t.Context(), &transport.Call{
			Addr: entry.Addr, Upstream: entry.Process(), Method: http.MethodGet, Target: "/", Host: "h", TakesNoSlot: takesNoSlot,
		})
		if err == nil {
			answer.Close()
		}
		return err
	}
	require.NoError(t, send(false))
	evacuated = admitted + 1
	require.ErrorIs(t, send(false), transport.ErrWithheld, "the evacuation begins after the connection was made")
	require.ErrorIs(t, send(false), transport.ErrWithheld)
	require.Equal(t, 1, arrived)
	require.NoError(t, send(true))
	require.Equal(t, 2, arrived)
}
