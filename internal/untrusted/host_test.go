package untrusted_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/galenaseam/galenaseam/internal/logfile"
	"github.com/galenaseam/galenaseam/internal/ports"
	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Bounds of the process under test. The peak of its memory and its open descriptors must
// stay below them.
const (
	memoryMB       = 96
	maxDescriptors = 400
)

const (
	largeAnswerBytes = 4 << 20
	largeEventBytes  = 512 << 10
	largeEvents      = 16
	apiKey           = "key"
	// settleTime bounds the start of the process and the wait for an ordinary answer.
	settleTime = 30 * time.Second
)

// TestMain lets one run of these tests on a machine go on at a time.
func TestMain(m *testing.M) {
	lock, err := os.OpenFile(filepath.Join(os.TempDir(), "galenaseam-untrusted.lock"), os.O_CREATE|os.O_RDWR, 0o666)
	if err == nil {
		err = unix.Flock(int(lock.Fd()), unix.LOCK_EX)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// process is a running cmd/seamedge.
type process struct {
	t       *testing.T
	addr    string // for callers
	command *exec.Cmd
	exited  chan struct{}
	log     string
	most    atomic.Int64 // open descriptors
}

// serveAnswers is an upstream whose answers are large on some paths.
func serveAnswers(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Stamp", "stamp")
	switch {
	case strings.HasPrefix(r.URL.Path, "/large/"):
		_, _ = w.Write(make([]byte, largeAnswerBytes))
	case strings.HasPrefix(r.URL.Path, "/events/"):
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range largeEvents {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, bytes.Repeat([]byte("x"), largeEventBytes))
			_ = http.NewResponseController(w).Flush()
		}
	default:
		_, _ = io.WriteString(w, "ordinary")
	}
}

// start builds and starts the process with its stand-ins, and waits until it serves.
func start(t *testing.T) *process {
	dir := t.TempDir()
	binary := filepath.Join(dir, "seamedge")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/seamedge").CombinedOutput()
	require.NoError(t, err, string(out))
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	upstream := httptest.NewServer(http.HandlerFunc(serveAnswers))
	t.Cleanup(upstream.Close)
	entry := &platformtest.Upstream{ID: "u1", Service: "plain", Zone: "riga-a", Public: upstream.Listener.Addr().(*net.TCPAddr).AddrPort()}
	entry.Register(store, "ready")
	store.SetLimits(map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000})
	store.Configure(1, []platformtest.Route{
		{Prefix: "/read/", Type: "safe", Service: "plain"}, {Prefix: "/large/", Type: "safe", Service: "plain"},
		{Prefix: "/events/", Type: "stream", Service: "plain"},
	}, []string{apiKey})
	settings := platformtest.HostSettings{
		Name: "entry-0", CallerAddr: ports.ForTest(t), ReadinessAddr: ports.ForTest(t), PeerAddr: ports.ForTest(t),
		Store: store.Addr(), GraceS: 2, MemoryMB: memoryMB, MaxDescriptors: maxDescriptors,
	}
	path := filepath.Join(dir, "settings")
	require.NoError(t, os.WriteFile(path, settings.File(), 0o600))
	p := &process{t: t, addr: settings.CallerAddr.String(), exited: make(chan struct{}), log: filepath.Join(dir, "log")}
	log, err := os.Create(p.log)
	require.NoError(t, err)
	p.command = exec.Command(binary, "-metrics-port", strconv.Itoa(int(ports.ForTest(t).Port())))
	p.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	require.NoError(t, p.command.Start())
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill() // it may have ended
		<-p.exited
	})
	p.requireOrdinaryAnswer()
	go p.countDescriptors()
	return p
}

// countDescriptors records the most descriptors that the process has open, until it ends.
func (p *process) countDescriptors() {
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(20 * time.Millisecond):
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
			p.most.Store(max(p.most.Load(), int64(len(open))))
		}
	}
}

// alive reports whether the process that was started still runs.
func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// requireOrdinaryAnswer sends ordinary requests until one is answered.
func (p *process) requireOrdinaryAnswer() {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		if !p.alive() {
			return true // requireBounds reports it
		}
		r, err := http.NewRequest(http.MethodPost, "http://"+p.addr+"/read/x", strings.NewReader("ordinary body"))
		require.NoError(p.t, err)
		r.Host, r.Close = platformtest.Host, true
		r.Header = platformtest.CallerHeader("ordinary", apiKey, 3*time.Second)
		answer, err := (&http.Client{Timeout: 3 * time.Second}).Do(r)
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		return err == nil && answer.StatusCode == http.StatusOK && string(body) == "ordinary"
	}, settleTime, 100*time.Millisecond, "no ordinary request was answered")
}

// peakMB returns the most memory that the process has had resident, in MB.
func (p *process) peakMB() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	require.NoError(p.t, err)
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			require.NoError(p.t, err)
			return kb >> 10
		}
	}
	return 0
}

// requireBounds checks that the process lives, has stayed within its memory and
// descriptors, and answers an ordinary request while the crowd's connections are open.
func (p *process) requireBounds() {
	p.t.Helper()
	require.True(p.t, p.alive(), "the process ended: %s", logfile.LastLine(p.log))
	p.requireOrdinaryAnswer()
	require.True(p.t, p.alive(), "the process ended: %s", logfile.LastLine(p.log))
	peak, descriptors := p.peakMB(), p.most.Load()
	p.t.Logf("memory %d MB of %d, descriptors %d of %d", peak, memoryMB, descriptors, maxDescriptors)
	if peak >= memoryMB || descriptors >= maxDescriptors {
		p.t.Errorf("memory %d MB of %d, descriptors %d of %d", peak, memoryMB, descriptors, maxDescriptors)
	}
}
