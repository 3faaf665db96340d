package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/transport"
)

// Guards against calls to an evacuated data centre, and to upstreams that are leaving or were
// removed, on connections that are kept or that were opened before, and against results there that
// are never freed.
func TestCallsOnOpenConnectionsKeepToChanges(t *testing.T) {
	for name, change := range map[string]func(*instance.Table, instance.Entry){
		"evacuated": func(table *instance.Table, _ instance.Entry) { table.SetEvacuated("x", true, time.Now()) },
		"leaving": func(table *instance.Table, e instance.Entry) {
			e.Leaving, e.Revision = true, 2
			table.Put(e)
		},
		"removed": func(table *instance.Table, e instance.Entry) { table.Remove(e.ID, infra.Position{Revision: 2}) },
	} {
		t.Run(name, func(t *testing.T) {
			arrived := 0
			upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived++ }))
			defer upstream.Close()
			h := &Host{instances: instance.NewTable(nil)}
			entry := instance.Entry{ID: "u", Service: "s", DataCentre: "x", Revision: 1, Addr: upstream.Listener.Addr().(*net.TCPAddr).AddrPort()}
			h.instances.Put(entry)
			client := transport.New(nil)
			defer client.Close()
			changed, admitted := 0, 0 // the call that meets the change after it was admitted
			client.Admit(func(c *transport.Call) bool {
				defer func() {
					if admitted++; admitted == changed {
						change(h.instances, entry)
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
			changed = admitted + 1
			require.ErrorIs(t, send(false), transport.ErrWithheld, "the change comes after the connection was made")
			require.ErrorIs(t, send(false), transport.ErrWithheld)
			require.Equal(t, 1, arrived)
			require.NoError(t, send(true))
			require.Equal(t, 2, arrived)
		})
	}
}
