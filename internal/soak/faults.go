package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// fault injects one failure, waits until it is over, and returns a description.
type fault func(e *environment, r *rand.Rand) (string, error)

// faults are the faults that a run draws from. The first four signal host
// processes; injectFaults runs these one at a time.
var faults = []fault{
	killHost, pauseHost, stopHost, reloadHost, failStoreForHost, failStore, compactStore, injectUpstreamFaults, resetConnections, delayConnections, changeConfiguration, drainUpstream,
}

// faultDuration draws how long a fault lasts.
func faultDuration(r *rand.Rand) time.Duration {
	return time.Duration(200+r.IntN(1300)) * time.Millisecond
}

func killHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	if err := h.signal(syscall.SIGKILL); err != nil {
		return "", err
	}
	if _, ended := h.wait(5 * time.Second); !ended {
		return "", fmt.Errorf("%s did not exit after SIGKILL", h.settings.Name)
	}
	time.Sleep(faultDuration(r) / 2)
	return "killed " + h.settings.Name, h.start()
}

func pauseHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	if err := h.signal(syscall.SIGSTOP); err != nil {
		return "", err
	}
	time.Sleep(faultDuration(r))
	return "paused " + h.settings.Name, h.signal(syscall.SIGCONT)
}

// stopHost stops a host gracefully and starts it again. The host must exit with
// code 0 within its grace time.
func stopHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	if err := h.signal(syscall.SIGTERM); err != nil {
		return "", err
	}
	code, ended := h.wait((graceSeconds + 2) * time.Second)
	if !ended || code != 0 {
		return "", fmt.Errorf("%s after SIGTERM: exited %t, exit code %d", h.settings.Name, ended, code)
	}
	return "stopped " + h.settings.Name, h.start()
}

func reloadHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	return "SIGHUP to " + h.settings.Name, h.signal(syscall.SIGHUP)
}

var storeFaults = []platformtest.Fault{
	platformtest.FaultUnavailable, platformtest.FaultTooManyRequests, platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultLost,
}

func failStoreForHost(e *environment, r *rand.Rand) (string, error) {
	h, f := pick(r, e.hosts), pick(r, storeFaults[:4])
	h.storeProxy.SetFault(f)
	time.Sleep(faultDuration(r))
	h.storeProxy.SetFault(platformtest.FaultNone)
	return fmt.Sprintf("store failed only for %s by fault %d", h.settings.Name, f), nil
}

func failStore(e *environment, r *rand.Rand) (string, error) {
	f := pick(r, storeFaults)
	e.store.SetFault(func(string) platformtest.Fault { return f })
	time.Sleep(faultDuration(r))
	e.store.SetFault(nil)
	return fmt.Sprintf("store fault %d", f), nil
}

func compactStore(e *environment, _ *rand.Rand) (string, error) {
	e.store.Compact()
	return "compacted the store's history", nil
}

func injectUpstreamFaults(e *environment, r *rand.Rand) (string, error) {
	u := pick(r, e.upstreams)
	var list []platformtest.UpstreamFault
	for range 1 + r.IntN(6) {
		list = append(list, platformtest.UpstreamFault(r.IntN(int(platformtest.LoseInputs)+1)))
	}
	u.QueueFaults(list...)
	return fmt.Sprintf("%s injects faults %v", u.ID, list), nil
}

func resetConnections(e *environment, r *rand.Rand) (string, error) {
	p := pick(r, e.proxies)
	p.reset()
	return "reset connections to " + p.target.String(), nil
}

func delayConnections(e *environment, r *rand.Rand) (string, error) {
	p := pick(r, e.proxies)
	p.setState(proxyState{delay: time.Duration(r.IntN(40)) * time.Millisecond, silent: r.IntN(3) == 0})
	time.Sleep(faultDuration(r))
	p.setState(proxyState{})
	return "delayed or withheld responses of " + p.target.String(), nil
}

func changeConfiguration(e *environment, _ *rand.Rand) (string, error) {
	e.rotateKeys()
	return "changed keys", nil
}

// drainUpstream registers an upstream as draining for a while and then as ready
// again.
func drainUpstream(e *environment, r *rand.Rand) (string, error) {
	u := pick(r, e.upstreams)
	u.Register(e.store, "draining")
	time.Sleep(faultDuration(r))
	if e.restores {
		// A process that was leaving stays so in a later era of the store.
		u.NextProcess()
	}
	u.Register(e.store, "ready")
	return u.ID + " was drained and became ready again", nil
}

// restoreStoreRepeatedly lets the store come back from older copies for a while.
// Operators and upstreams write again what is lost. It runs beside the series of
// faults and takes nothing from their generators.
func (e *environment) restoreStoreRepeatedly(ctx context.Context, r *rand.Rand, length time.Duration) {
	for until := time.Now().Add(length); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(faultGap) {
		copied := e.store.Snapshot()
		time.Sleep(faultDuration(r))
		lost := e.store.Restore(copied)
		time.Sleep(faultDuration(r))
		e.store.WriteAgain(copied, lost)
	}
}
