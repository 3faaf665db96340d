package soak

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// newScriptedHost returns a host whose program is a shell script. Its environment is
// closed when the test ends.
func newScriptedHost(t *testing.T, script string) *hostProcess {
	e := &environment{store: platformtest.NewStore()}
	t.Cleanup(e.close)
	dir := t.TempDir()
	binary := filepath.Join(dir, "seamedge")
	require.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\n"+script+"\n"), 0o700))
	s := platformtest.HostSettings{
		Name: "entry-0", CallerAddr: ports.ForTest(t), ReadinessAddr: ports.ForTest(t), PeerAddr: ports.ForTest(t), GraceS: graceSeconds,
	}
	h, err := newHost(binary, dir, s, ports.ForTest(t).Port(), platformtest.NewFaultProxy(e.store.Addr()))
	require.NoError(t, err)
	e.hosts = append(e.hosts, h)
	return h
}

// dirVariable makes the test binary start a host in the folder, and then wait.
const dirVariable = "GALENASEAM_SOAK_DIR"

// A host must not outlive its soak: it would keep calling the ports of the soak's
// store and upstreams, which other processes get then.
func TestHostEndsWithItsSoak(t *testing.T) {
	if dir := os.Getenv(dirVariable); dir != "" {
		h, err := newHost(filepath.Join(dir, "seamedge"), dir, platformtest.HostSettings{Name: "entry-0"}, 0, nil)
		require.NoError(t, err)
		require.NoError(t, h.launch())
		time.Sleep(startTimeout)
		return
	}
	dir := t.TempDir()
	pidFile := filepath.Join(dir, "pid")
	script := "#!/bin/sh\necho $$ > " + pidFile + ".new && mv " + pidFile + ".new " + pidFile + "\nexec sleep 60\n"
	require.NoError(t, os.WriteFile(filepath.Join(dir, "seamedge"), []byte(script), 0o700))
	soak := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	soak.Env = append(os.Environ(), dirVariable+"="+dir)
	require.NoError(t, soak.Start())
	var pid []byte
	require.Eventually(t, func() bool {
		var err error
		pid, err = os.ReadFile(pidFile)
		return err == nil
	}, startTimeout, startPoll)
	require.NoError(t, soak.Process.Kill())
	require.Error(t, soak.Wait())
	require.Eventually(t, func() bool {
		stat, err := os.ReadFile("/proc/" + strings.TrimSpace(string(pid)) + "/stat")
		return err != nil || strings.Contains(string(stat), ") Z ")
	}, startTimeout, startPoll, "the host runs on")
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

// A host may abort a request at the end of its grace period, not before, and none that is sent
// late.
func TestRequestsAreExcusedAtTheEndOfAGracePeriodOnly(t *testing.T) {
	term := time.Unix(1000, 0)
	h := &hostProcess{disruptions: []*disruption{{kind: stopped, from: term, until: term.Add(graceSeconds * time.Second)}}}
	for _, c := range []struct {
		sent, ended time.Duration
		excused     bool
	}{{2480 * time.Millisecond, 5400 * time.Millisecond, true}, {2 * time.Second, 4900 * time.Millisecond, false}, {3100 * time.Millisecond, 5400 * time.Millisecond, false}, {2 * time.Second, 6100 * time.Millisecond, false}} {
		require.Equal(t, c.excused, h.graceEnded(term.Add(c.sent), term.Add(c.ended)), "sent after %s, ended after %s", c.sent, c.ended)
	}
}
