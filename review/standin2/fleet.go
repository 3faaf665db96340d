package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
)

// Ports of a host on its own loopback address, as the platform's settings give them.
const (
	callerPort    = 8625
	readinessPort = 8621
	peerPort      = 8628
)

const (
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	graceS       = 8
)

// zones are the data centres of the small deployment.
var zones = []string{"riga-a", "riga-b", "daugavpils", "jekabpils"}

// hostProcess is one process of the product, started with the command of the deploy file.
type hostProcess struct {
	name     string
	ip       string
	settings string // path of the settings file
	log      *os.File

	mu      sync.Mutex // guards the fields below
	command *exec.Cmd
	exited  chan struct{}
}

// fleet is the hosts of a small deployment.
type fleet struct {
	command string
	dir     string
	hosts   []*hostProcess
}

// newFleet starts hosts that use a store.
func newFleet(command, dir, store string, count int) (*fleet, error) {
	f := &fleet{command: command, dir: dir}
	// Each host has a loopback address of its own, since its ports are the same on all machines.
	prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", prefix, i+10, peerPort))
	}
	for i := range count {
		h := &hostProcess{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s%d", prefix, i+10)}
		h.settings = filepath.Join(dir, h.name+".conf")
		if err := os.WriteFile(h.settings, []byte(settingsFile(h, zones[i%len(zones)], store, seeds)), 0o600); err != nil {
			return nil, err
		}
		var err error
		if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
		if err := f.launch(h); err != nil {
			f.stop()
			return nil, err
		}
	}
	return f, nil
}

// settingsFile returns the settings of a host in the platform's format.
func settingsFile(h *hostProcess, zone, store string, seeds []string) string {
	lines := []string{
		"node_name=" + h.name, "role=entry", "machine_class=edge", "serves=edge,control", "ip=" + h.ip, "zone=" + zone, "region=latvija",
		"zones.riga-a=latvija", "zones.riga-b=latvija", "zones.daugavpils=latvija", "zones.jekabpils=latvija",
		fmt.Sprintf("listen.frontend=%s:%d", h.ip, callerPort), fmt.Sprintf("listen.readiness=%s:%d", h.ip, readinessPort),
		fmt.Sprintf("listen.control=%s:%d", h.ip, peerPort), "port_range=7740,7755", "seeds=" + strings.Join(seeds, ","),
		"bootstrap=true", "counts_as_loss=false", "limits.cpu_share=0.272", "limits.cores=1", "limits.memory_mb=206", "limits.max_fds=2870",
		"limits.link_mbps=700.0", "limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages",
		"fault_tolerance.machines=1", "fault_tolerance.zones=0", "fault_tolerance.regions=0",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		"bounds.drain_ms=2000", fmt.Sprintf("bounds.grace_s=%d", graceS), "bounds.loss_slack_ms=200", "bounds.config_apply_ms=2000",
		"bounds.rollback_slack_ms=250", "bounds.outer_ms=5000", "bounds.strict_revoke=false", "bounds.revoke_ms=5000",
		"bounds.retry_ratio=0.2", "bounds.retry_window_s=10", "bounds.retry_slack=104", "bounds.recovery_s=12", "bounds.iteration_ms=120",
		"bounds.reuse_window_s=10", "platform.address=" + store, "platform.form=kv", "platform.writes_per_s=400", "platform.reads_per_s=2000",
		"platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// launch starts the process of a host.
func (f *fleet) launch(h *hostProcess) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.command = exec.Command(f.command)
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", platform.SettingsVariable + "=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	// The process ends with the script.
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return err
	}
	h.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait() // the exit is all that matters
		close(exited)
	}(h.command, h.exited)
	return nil
}

// signal sends a signal to the process of a host.
func (h *hostProcess) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	return nil
}

func (h *hostProcess) done() chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// callers returns the address at which a host serves callers.
func (h *hostProcess) callers() string { return net.JoinHostPort(h.ip, fmt.Sprint(callerPort)) }

// isReady asks a host as the platform's balancer does.
func (h *hostProcess) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + net.JoinHostPort(h.ip, fmt.Sprint(readinessPort)) + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady() error {
	for _, h := range f.hosts {
		for until := time.Now().Add(readyTimeout); !h.isReady(); time.Sleep(readyPoll) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", h.name, readyTimeout)
			}
		}
	}
	return nil
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		if h.command == nil {
			continue
		}
		_ = h.signal(syscall.SIGKILL) // it may have ended
		<-h.done()
	}
}
