// Package harness starts hosts as separate processes for the cases under review/, sends
// them requests and records what was sent, answered and run.
package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
)

// Ports on which each host listens at its own loopback address, as the platform does.
const (
	callerPort    = 8625
	readinessPort = 8621
	peerPort      = 8628
	metricsPort   = 9464
)

// readyTimeout bounds the wait until a host answers the readiness check with 200.
const readyTimeout = 10 * time.Second

// Host is one host process.
type Host struct {
	Name string
	IP   netip.Addr

	command  *exec.Cmd
	settings string
	exited   chan struct{}
}

// Fleet is the host processes of a case.
type Fleet struct {
	Hosts []*Host

	dir    string
	record *Record
	net    [2]byte // second and third byte of the hosts' addresses
}

// NewFleet prepares hosts that keep their settings and logs in a temporary folder.
func NewFleet(record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{dir: dir, record: record}
	for range 50 {
		f.net = [2]byte{byte(64 + rand.IntN(180)), byte(1 + rand.IntN(250))}
		if f.isFree() {
			return f, nil
		}
	}
	return nil, errors.New("no free loopback addresses")
}

// isFree reports whether the ports of the first host are free at its address.
func (f *Fleet) isFree() bool {
	for _, port := range []uint16{callerPort, readinessPort, peerPort, metricsPort} {
		l, err := net.Listen("tcp4", netip.AddrPortFrom(f.ip(0), port).String())
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (f *Fleet) ip(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net[0], f.net[1], byte(10 + i)})
}

// Start starts a number of hosts that use the store at an address, and waits until they
// are ready.
func (f *Fleet) Start(count int, store netip.AddrPort) error {
	for i := range count {
		h := &Host{Name: fmt.Sprintf("edge-riga-a-%d", i+1), IP: f.ip(i)}
		h.settings = filepath.Join(f.dir, h.Name+".conf")
		f.Hosts = append(f.Hosts, h)
		if err := f.WriteSettings(h, store); err != nil {
			return err
		}
		if err := f.Launch(h); err != nil {
			return err
		}
	}
	for _, h := range f.Hosts {
		if err := h.AwaitReady(); err != nil {
			return err
		}
		f.record.Printf("host %s is ready", h.Name)
	}
	return nil
}

// WriteSettings writes a host's settings file, like that of a small deployment.
func (f *Fleet) WriteSettings(h *Host, store netip.AddrPort) error {
	var seeds []string
	for _, other := range f.Hosts[:min(len(f.Hosts), 3)] {
		seeds = append(seeds, netip.AddrPortFrom(other.IP, peerPort).String())
	}
	text := fmt.Sprintf(`node_name=%[1]s
role=entry
machine_class=edge
serves=edge,control
ip=%[2]s
zone=riga-a
region=latvija
zones.riga-a=latvija
listen.frontend=%[2]s:%[3]d
listen.readiness=%[2]s:%[4]d
listen.control=%[2]s:%[5]d
port_range=7740,7755
seeds=%[6]s
bootstrap=true
counts_as_loss=false
limits.cpu_share=0.272
limits.cores=1
limits.memory_mb=206
limits.max_fds=2870
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.stable_window_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=8
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=false
bounds.revoke_ms=5000
bounds.retry_ratio=0.2
bounds.retry_window_s=10
bounds.retry_slack=104
bounds.recovery_s=12
bounds.iteration_ms=120
bounds.reuse_window_s=10
platform.address=%[7]s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, h.Name, h.IP, callerPort, readinessPort, peerPort, strings.Join(seeds, ","), store)
	// The file is replaced at once, so that the host never reads half of it.
	if err := os.WriteFile(h.settings+".new", []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".new", h.settings)
}

// Launch starts the process of a host by the command of the deploy file.
func (f *Fleet) Launch(h *Host) error {
	words, err := entryCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.command = exec.Command(words[0], words[1:]...)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait() // its exit code is not checked
		close(exited)
	}(h.command, h.exited)
	f.record.Printf("host %s started, process %d, log %s", h.Name, h.command.Process.Pid, log.Name())
	return nil
}

// deployFile is the deploy file, from the root of the repository.
const deployFile = "deploy/system.toml"

// entryCommand returns the command of the only role in the deploy file.
func entryCommand() ([]string, error) {
	raw, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, "=")
		if strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s names no command", deployFile)
}

// AwaitReady waits until the host answers the readiness check with 200.
func (h *Host) AwaitReady() error {
	url := "http://" + netip.AddrPortFrom(h.IP, readinessPort).String() + "/v1/readyz"
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		answer, err := client.Get(url)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready after %s", h.Name, readyTimeout)
}

// CallerAddr is where the host serves callers.
func (h *Host) CallerAddr() netip.AddrPort { return netip.AddrPortFrom(h.IP, callerPort) }

// Signal sends a signal to the host's process.
func (h *Host) Signal(s syscall.Signal) error { return h.command.Process.Signal(s) }

// Exited is closed when the host's process has ended.
func (h *Host) Exited() <-chan struct{} { return h.exited }

// Close kills the processes that still run and removes the temporary folder. It keeps the
// folder if keep is true.
func (f *Fleet) Close(keep bool) {
	for _, h := range f.Hosts {
		if h.exited == nil {
			continue
		}
		_ = h.command.Process.Kill() // it may have ended
		<-h.exited
	}
	if !keep {
		_ = os.RemoveAll(f.dir)
	}
}
