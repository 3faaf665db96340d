package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform"
)

// Ports of a host, the same on all hosts. Hosts have loopback addresses of their own.
const (
	callerPort    = 8625
	readinessPort = 8621
	peerPort      = 8628
	metricsPort   = 9464 // as the deploy file says
)

// siteHosts is the number of machines of the site.
const siteHosts = 12

// program is what the deploy file starts on each machine.
const program = "target/seamedge"

// entryHost is one process of the system.
type entryHost struct {
	name     string
	ip       string
	settings string // path of the settings file
	logPath  string
	command  *exec.Cmd
	exited   chan struct{}
}

// fleet is all hosts of a case.
type fleet struct {
	dir   string
	hosts []*entryHost
}

// zones are the data centres of the hosts, in turn.
var zones = []string{"riga-a", "riga-b", "daugavpils", "jekabpils"}

// newFleet writes the settings of a number of hosts that use a store.
func newFleet(dir string, count int, storeAddr string) (*fleet, error) {
	f := &fleet{dir: dir}
	prefix, err := freePrefix(count)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", prefix, i+1, peerPort))
	}
	for i := range count {
		h := &entryHost{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", prefix, i+1)}
		h.settings = filepath.Join(dir, h.name+".conf")
		h.logPath = filepath.Join(dir, h.name+".log")
		if err := os.WriteFile(h.settings, []byte(settingsOf(h, zones[i%len(zones)], storeAddr, seeds)), 0o600); err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// freePrefix returns the first three numbers of loopback addresses on which the hosts' ports
// are free.
func freePrefix(count int) (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if isFree(prefix, count) {
			return prefix, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports found")
}

func isFree(prefix string, count int) bool {
	for i := range count {
		for _, port := range []int{callerPort, readinessPort, peerPort, metricsPort} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, i+1, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// settingsOf returns a settings file with the figures of the site balonu-serviss.
func settingsOf(h *entryHost, zone, storeAddr string, seeds []string) string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name=%s", h.name)
	line("role=entry")
	line("machine_class=edge")
	line("serves=edge,control")
	line("ip=%s", h.ip)
	line("zone=%s", zone)
	line("region=latvija")
	for _, z := range zones {
		line("zones.%s=latvija", z)
	}
	line("listen.frontend=%s:%d", h.ip, callerPort)
	line("listen.readiness=%s:%d", h.ip, readinessPort)
	line("listen.control=%s:%d", h.ip, peerPort)
	line("port_range=7740,7755")
	line("seeds=%s", strings.Join(seeds, ","))
	line("bootstrap=true")
	line("limits.cpu_share=0.272")
	line("limits.cores=1")
	line("limits.memory_mb=206")
	line("limits.max_fds=2870")
	line("limits.link_mbps=700.0")
	line("limits.disk_mb=0")
	line("discovery=platform")
	line("entry=vip")
	line("heartbeat_ms=1200")
	line("contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,stages")
	line("fault_tolerance.machines=1")
	for _, bound := range []string{
		"seed_lag_s=3", "reuse_after_s=2", "stable_window_ms=3000", "ack_ms=4000", "catch_up_s=4", "drain_ms=2000", "grace_s=8",
		"loss_slack_ms=200", "config_apply_ms=2000", "rollback_slack_ms=250", "outer_ms=5000", "strict_revoke=false",
		"revoke_ms=5000", "retry_ratio=0.2", "retry_window_s=10", "retry_slack=104", "recovery_s=12", "iteration_ms=120",
		"reuse_window_s=10",
	} {
		line("bounds.%s", bound)
	}
	line("platform.address=%s", storeAddr)
	line("platform.form=kv")
	line("platform.writes_per_s=400")
	line("platform.reads_per_s=2000")
	line("platform.history_s=20")
	line("platform.value_bytes=1048576")
	line("platform.ttl_min_ms=1000")
	return b.String()
}

// start starts the process of a host.
func (h *entryHost) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", platform.SettingsVariable + "=" + h.settings}
	command.Stdout, command.Stderr = log, log
	// The host ends with the thread that starts it, which is that of main.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.command, h.exited = command, exited
	go func() {
		_ = command.Wait() // how the process ended is in its log
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *entryHost) signal(s syscall.Signal) error { return h.command.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (h *entryHost) kill() {
	if h.command == nil {
		return
	}
	_ = h.signal(syscall.SIGKILL) // it may have ended
	<-h.exited
}

// isReady asks the host as the load balancer does.
func (h *entryHost) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (h *entryHost) callerAddr() string { return fmt.Sprintf("%s:%d", h.ip, callerPort) }

// start starts all hosts and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

func (f *fleet) awaitReady(ctx context.Context) error {
	for _, h := range f.hosts {
		for !h.isReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("host %s is not ready: %w", h.name, ctx.Err())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// stop ends all hosts.
func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.kill()
	}
}
