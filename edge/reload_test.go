package edge_test

import (
	"context"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Guards against hosts that stay on an old configuration because the store has moved to
// another address, which the settings file tells them, with a signal or without one.
func TestHostFollowsTheStoreToAnotherAddress(t *testing.T) {
	t.Parallel()
	for name, signals := range map[string]bool{"signal": true, "no signal": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.configure(1, nil)
			f.upstream(&platformtest.Upstream{ID: "u1", Service: "plain"})
			old, moved := platformtest.NewFaultProxy(f.store.Addr()), platformtest.NewFaultProxy(f.store.Addr())
			t.Cleanup(moved.Close)
			n := f.startWith(old.Addr(), func(s *edge.Settings) { s.StoreAddr = old.Addr() })
			require.NoError(t, n.waitReady())
			require.Eventually(t, func() bool { return len(f.store.Keys("hosts/")) == 1 }, waitTimeout, 5*time.Millisecond)
			updated := n.settings
			updated.StoreAddr, updated.Capacity = moved.Addr(), 7
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			signalled := make(chan os.Signal, 1)
			go n.FollowSettings(ctx, signalled, func() (edge.Settings, error) { return updated, nil })
			if signals {
				signalled <- syscall.SIGHUP
			}
			require.Eventually(t, func() bool {
				return n.log.count("settings reloaded", moved.Addr().String()) > 0 &&
					n.log.count("changed settings are not in force until a restart") > 0
			}, waitTimeout, 5*time.Millisecond)
			require.Equal(t, 1, n.log.count("changed settings are not in force until a restart", `["Capacity"]`))
			old.Close()
			f.configure(2, func(c map[string]any) {
				c["tenants"] = []map[string]any{{"name": "welders", "api_keys": []string{"new"}}}
			})
			require.Eventually(t, func() bool {
				return f.send(n, http.MethodGet, "/read/1", "r1").status == http.StatusUnauthorized
			}, 2*time.Second, 10*time.Millisecond)
			require.Zero(t, n.log.count("connection to the store lost"))
			require.Len(t, f.store.Keys("hosts/"), 1, "its entry is not lost")
		})
	}
}
