package main

import (
	"bytes"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Checks that a host whose address is in use exits with the failure code and
// reports the reason.
func TestAddressInUseIsReported(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	addr := taken.Addr().(*net.TCPAddr).AddrPort()
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	settings := platformtest.HostSettings{Name: "entry-0", CallerAddr: addr, ReadinessAddr: anyPort, PeerAddr: anyPort, Store: store.Addr(), GraceS: 2}
	path := filepath.Join(t.TempDir(), "entry-0.conf")
	require.NoError(t, os.WriteFile(path, settings.File(), 0o600))
	var out, errOut bytes.Buffer
	code := run([]string{"-settings", path, "-metrics-port", strconv.Itoa(0)}, &out, &errOut)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out.String()+errOut.String(), "address already in use")
}
