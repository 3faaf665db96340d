package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/internal/logfile"
	"github.com/galenaseam/galenaseam/internal/soak/cutdial"
	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// fleetKey is the secret that all hosts share. Their settings name different addresses of
// the store, each host's proxy.
const fleetKey = "soak"

// graceSeconds is the configured time limit from SIGTERM to the process's exit.
const graceSeconds = 6

// hostProcess is one host. Its settings file, log and addresses stay the same
// across restarts.
type hostProcess struct {
	binary       string
	settings     platformtest.HostSettings
	metricsPort  uint16
	settingsPath string
	log          *os.File
	storeProxy   *platformtest.FaultProxy // between the host and the store

	lifecycle sync.Mutex // held by the fault that signals the process

	mu          sync.Mutex // guards the fields below
	command     *exec.Cmd
	exited      chan struct{}
	disruptions []*disruption
}

// disruptionKind is what a fault does to a host.
type disruptionKind uint8

// The kinds of disruption.
const (
	killed disruptionKind = iota
	stopped
	paused
	storeCut
	linksCut
)

// disruption is a time in which a fault was at work on a host.
type disruption struct {
	kind  disruptionKind
	from  time.Time
	until time.Time // zero while it lasts
}

// disrupt records the start of a disruption and returns a function that ends it.
func (h *hostProcess) disrupt(kind disruptionKind) (end func()) {
	d := &disruption{kind: kind, from: time.Now()}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions = append(h.disruptions, d)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		d.until = time.Now()
	}
}

// wasDisrupted reports whether a disruption of one of the kinds overlaps the given
// time.
func (h *hostProcess) wasDisrupted(from, until time.Time, kinds ...disruptionKind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.disruptions {
		if slices.Contains(kinds, d.kind) && d.from.Before(until) && (d.until.IsZero() || d.until.After(from)) {
			return true
		}
	}
	return false
}

// wasCutOff reports whether the host lost its links to upstreams in the given time. Links that
// were lost before don't count: its requests reach upstreams through other hosts then, and so
// do the answers.
func (h *hostProcess) wasCutOff(from, until time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.disruptions, func(d *disruption) bool {
		return d.kind == linksCut && !d.from.Before(from) && d.from.Before(until)
	})
}

const (
	// lastGrace is the last sixth of the grace period, in which a host may abort requests.
	lastGrace = graceSeconds * time.Second / 6
	// graceRequestTime is how long after SIGTERM requests may be sent that are aborted then.
	graceRequestTime = 3 * time.Second
)

// graceEnded reports whether the host was in the last sixth of its grace period at a time, and
// whether that may have aborted a request.
func (h *hostProcess) graceEnded(sentAt, at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.disruptions, func(d *disruption) bool {
		age := at.Sub(d.from)
		return d.kind == stopped && sentAt.Before(d.from.Add(graceRequestTime)) &&
			age >= graceSeconds*time.Second-lastGrace && age <= graceSeconds*time.Second
	})
}

// newHost writes the settings file of a host and opens its log.
func newHost(binary, dir string, s platformtest.HostSettings, metricsPort uint16, storeProxy *platformtest.FaultProxy) (*hostProcess, error) {
	h := &hostProcess{binary: binary, settings: s, metricsPort: metricsPort, storeProxy: storeProxy, settingsPath: filepath.Join(dir, s.Name+".conf")}
	if err := os.WriteFile(h.settingsPath, s.File(), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(dir, s.Name+".log"))
	return h, err
}

// linksPath returns the path of the file with the state of the host's links to upstreams.
func (h *hostProcess) linksPath() string { return h.settingsPath + ".links" }

func (h *hostProcess) callerAddr() netip.AddrPort { return h.settings.CallerAddr }

// start launches the process and waits until it listens. Until its main function
// has installed signal handlers, any signal would terminate it. An error gives the
// reason if a port is in use or the process exits.
func (h *hostProcess) start() error {
	if err := h.checkPorts(); err != nil {
		return err
	}
	if err := h.launch(); err != nil {
		return err
	}
	for started := time.Now(); time.Since(started) < startTimeout; time.Sleep(startPoll) {
		if c, err := net.Dial("tcp4", h.callerAddr().String()); err == nil {
			return c.Close()
		}
		if code, ended := h.wait(0); ended {
			return fmt.Errorf("%s exited with code %d during startup: %s", h.settings.Name, code, logfile.LastLine(h.log.Name()))
		}
	}
	return fmt.Errorf("%s does not listen %s after it was launched: %s", h.settings.Name, startTimeout, logfile.LastLine(h.log.Name()))
}

// checkPorts returns an error if another process has a port of the host open. A
// connection to that process would look like a host that listens.
func (h *hostProcess) checkPorts() error {
	s := h.settings
	for _, addr := range []netip.AddrPort{s.CallerAddr, s.ReadinessAddr, s.PeerAddr, netip.AddrPortFrom(s.PeerAddr.Addr(), h.metricsPort)} {
		l, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return fmt.Errorf("%s is not started: %w", s.Name, err)
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

const (
	startTimeout = 10 * time.Second
	startPoll    = 5 * time.Millisecond
)

// knowsFleet returns an error if the host does not know all other hosts.
func (h *hostProcess) knowsFleet() error {
	response, err := http.Get("http://" + netip.AddrPortFrom(h.settings.PeerAddr.Addr(), h.metricsPort).String() + "/metrics")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if all := fmt.Sprintf("galenaseam_members{state=\"alive\"} %d\n", hostCount); !strings.Contains(string(metrics), all) {
		return fmt.Errorf("%s does not know %d living hosts", h.settings.Name, hostCount)
	}
	return nil
}

// launch starts the process without waiting until it listens.
func (h *hostProcess) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(h.binary, "-metrics-port", fmt.Sprint(h.metricsPort), "-fleet-key", fleetKey)
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsPath, cutdial.FileVariable+"="+h.linksPath())
	h.command.Stdout, h.command.Stderr = h.log, h.log
	// A host that outlived the soak would keep calling ports that others get then.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // wait reads the exit code from ProcessState
		close(ended)
	}(h.command, h.exited)
	return nil
}

// signal sends a signal to the process. A process that has already exited is not
// an error.
func (h *hostProcess) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wait waits until the process exits, at most for the timeout, and returns its
// exit code.
func (h *hostProcess) wait(timeout time.Duration) (code int, ended bool) {
	h.mu.Lock()
	done, command := h.exited, h.command
	h.mu.Unlock()
	select {
	case <-done:
		return command.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}
