package soak

import (
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// newScriptedHost returns a host whose program is a shell script.
func newScriptedHost(t *testing.T, script string) *hostProcess {
	dir := t.TempDir()
	binary := filepath.Join(dir, "seamedge")
	require.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\n"+script+"\n"), 0o700))
	s := platformtest.HostSettings{
		Name: "entry-0", CallerAddr: ports.ForTest(t), ReadinessAddr: ports.ForTest(t), PeerAddr: ports.ForTest(t), GraceS: graceSeconds,
	}
	h, err := newHost(binary, dir, s, ports.ForTest(t).Port(), nil)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, h.log.Close()) })
	return h
}

func TestPortInUseIsReportedAtOnce(t *testing.T) {
	h := newScriptedHost(t, "sleep 60")
	taken, err := net.Listen("tcp4", h.callerAddr().String())
	require.NoError(t, err)
	defer taken.Close()
	started := time.Now()
	err = h.start()
	require.ErrorContains(t, err, "entry-0 is not started: listen tcp4 "+h.callerAddr().String())
	require.ErrorContains(t, err, "address already in use")
	require.Less(t, time.Since(started), startTimeout/2)
}

func TestReasonOfFailedStartIsReportedAtOnce(t *testing.T) {
	h := newScriptedHost(t, "echo first; echo the reason; exit 3")
	started := time.Now()
	require.EqualError(t, h.start(), "entry-0 exited with code 3 during startup: the reason")
	require.Less(t, time.Since(started), startTimeout/2)
}
