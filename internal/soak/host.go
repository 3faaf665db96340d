package soak

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// graceSeconds is the time from SIGTERM to the end that the settings give.
const graceSeconds = 6

// hostProcess is one host and the files and addresses that its restarts share.
type hostProcess struct {
	binary   string
	settings platformtest.HostSettings
	metrics  uint16
	path     string
	log      *os.File
	front    *platformtest.Turnstile

	mu      sync.Mutex // guards what follows
	command *exec.Cmd
	ended   chan struct{}
}

// newHost writes the settings of a host and opens its log.
func newHost(binary, dir string, s platformtest.HostSettings, metrics uint16, front *platformtest.Turnstile) (*hostProcess, error) {
	h := &hostProcess{binary: binary, settings: s, metrics: metrics, front: front, path: filepath.Join(dir, s.Name+".conf")}
	if err := os.WriteFile(h.path, s.File(), 0o600); err != nil {
		return nil, err
	}
	var err error
	h.log, err = os.Create(filepath.Join(dir, s.Name+".log"))
	return h, err
}

func (h *hostProcess) callers() netip.AddrPort { return h.settings.Callers }

// start runs the process and waits until it listens: before its main function
// runs, the system ends it at any signal.
func (h *hostProcess) start() error {
	if err := h.launch(); err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < startLimit; time.Sleep(startPoll) {
		if c, err := net.Dial("tcp4", h.callers().String()); err == nil {
			return c.Close()
		}
		if code, ended := h.wait(0); ended {
			return fmt.Errorf("%s ended with code %d at its start", h.settings.Name, code)
		}
	}
	return fmt.Errorf("%s does not listen %s after its start", h.settings.Name, startLimit)
}

const (
	startLimit = 10 * time.Second
	startPoll  = 5 * time.Millisecond
)

// launch runs the process.
func (h *hostProcess) launch() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(h.binary, "-metrics-port", fmt.Sprint(h.metrics))
	h.command.Env = append(os.Environ(), platform.SettingsVariable+"="+h.path)
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait() // the exit state is read where it matters
		close(ended)
	}(h.command, h.ended)
	return nil
}

// signal sends a signal to the process if it runs.
func (h *hostProcess) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

// wait waits for the end of the process and returns its exit code.
func (h *hostProcess) wait(limit time.Duration) (code int, ended bool) {
	h.mu.Lock()
	done, command := h.ended, h.command
	h.mu.Unlock()
	select {
	case <-done:
		return command.ProcessState.ExitCode(), true
	case <-time.After(limit):
		return 0, false
	}
}
