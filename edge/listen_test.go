package edge_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/edge"
)

// A host whose address is in use must end at once, name the listener and the reason,
// and keep no other port open.
func TestHostWhoseAddressIsInUseEndsAtOnce(t *testing.T) {
	t.Parallel()
	for purpose, addrOf := range map[string]func(edge.Settings) netip.AddrPort{
		"callers":          func(s edge.Settings) netip.AddrPort { return s.CallerAddr },
		"readiness checks": func(s edge.Settings) netip.AddrPort { return s.ReadinessAddr },
		"other hosts":      func(s edge.Settings) netip.AddrPort { return s.PeerAddr },
		"metrics": func(s edge.Settings) netip.AddrPort {
			return netip.AddrPortFrom(s.PeerAddr.Addr(), s.MetricsPort)
		},
	} {
		t.Run(purpose, func(t *testing.T) {
			f := newFleet(t)
			s := f.newSettings()
			taken, err := net.Listen("tcp4", addrOf(s).String())
			require.NoError(t, err)
			started := time.Now()
			_, err = f.launch(s, f.store.Addr())
			require.ErrorContains(t, err, "open the listener for "+purpose+": listen tcp4 "+addrOf(s).String())
			require.ErrorContains(t, err, "address already in use")
			require.Less(t, time.Since(started), waitTimeout/2)
			require.NoError(t, taken.Close())

			n, err := f.launch(s, f.store.Addr())
			require.NoError(t, err, "the failed start has left a listener open")
			f.configure(1, nil)
			require.NoError(t, n.waitReady())
		})
	}
}
