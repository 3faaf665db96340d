package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// fault is one thing that goes wrong for a while. It returns what was done.
type fault func(w *world, r *rand.Rand) (string, error)

// faults are all that a run draws from.
var faults = []fault{
	killHost, freezeHost, stopHost, hangUp, turnHostAway, storeFault, compact, misbehave, cutProxy, slowProxy, changeConfiguration, leave,
}

// span is how long a fault lasts.
func span(r *rand.Rand) time.Duration { return time.Duration(200+r.IntN(1300)) * time.Millisecond }

func killHost(w *world, r *rand.Rand) (string, error) {
	h := pick(r, w.hosts)
	if err := h.signal(syscall.SIGKILL); err != nil {
		return "", err
	}
	if _, ended := h.wait(5 * time.Second); !ended {
		return "", fmt.Errorf("%s did not end after SIGKILL", h.settings.Name)
	}
	time.Sleep(span(r) / 2)
	return "killed " + h.settings.Name, h.start()
}

func freezeHost(w *world, r *rand.Rand) (string, error) {
	h := pick(r, w.hosts)
	if err := h.signal(syscall.SIGSTOP); err != nil {
		return "", err
	}
	time.Sleep(span(r))
	return "froze " + h.settings.Name, h.signal(syscall.SIGCONT)
}

// stopHost stops a host gracefully, which must end well and in time.
func stopHost(w *world, r *rand.Rand) (string, error) {
	h := pick(r, w.hosts)
	if err := h.signal(syscall.SIGTERM); err != nil {
		return "", err
	}
	code, ended := h.wait((graceSeconds + 2) * time.Second)
	if !ended || code != 0 {
		return "", fmt.Errorf("%s after SIGTERM: ended %t, exit code %d", h.settings.Name, ended, code)
	}
	return "stopped " + h.settings.Name, h.start()
}

func hangUp(w *world, r *rand.Rand) (string, error) {
	h := pick(r, w.hosts)
	return "SIGHUP to " + h.settings.Name, h.signal(syscall.SIGHUP)
}

var storeFaults = []platformtest.Fault{
	platformtest.FaultBusy, platformtest.FaultMany, platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultLost,
}

func turnHostAway(w *world, r *rand.Rand) (string, error) {
	h, f := pick(r, w.hosts), pick(r, storeFaults[:4])
	h.front.Turn(f)
	time.Sleep(span(r))
	h.front.Turn(platformtest.FaultNone)
	return fmt.Sprintf("store turned %s away by fault %d", h.settings.Name, f), nil
}

func storeFault(w *world, r *rand.Rand) (string, error) {
	f := pick(r, storeFaults)
	w.store.SetFault(func(string) platformtest.Fault { return f })
	time.Sleep(span(r))
	w.store.SetFault(nil)
	return fmt.Sprintf("store fault %d", f), nil
}

func compact(w *world, _ *rand.Rand) (string, error) {
	w.store.Compact()
	return "store forgot its history", nil
}

func misbehave(w *world, r *rand.Rand) (string, error) {
	u := pick(r, w.upstreams)
	var list []platformtest.Misdeed
	for range 1 + r.IntN(6) {
		list = append(list, platformtest.Misdeed(r.IntN(int(platformtest.LoseInputs)+1)))
	}
	u.Do(list...)
	return fmt.Sprintf("%s misbehaves %v", u.ID, list), nil
}

func cutProxy(w *world, r *rand.Rand) (string, error) {
	p := pick(r, w.proxies)
	p.reset()
	return "reset connections to " + p.target.String(), nil
}

func slowProxy(w *world, r *rand.Rand) (string, error) {
	p := pick(r, w.proxies)
	p.set(proxyState{delay: time.Duration(r.IntN(40)) * time.Millisecond, silent: r.IntN(3) == 0})
	time.Sleep(span(r))
	p.set(proxyState{})
	return "slowed or silenced " + p.target.String(), nil
}

func changeConfiguration(w *world, _ *rand.Rand) (string, error) {
	w.changeKeys()
	return "changed keys", nil
}

// leave drains an upstream and brings it back.
func leave(w *world, r *rand.Rand) (string, error) {
	u := pick(r, w.upstreams)
	u.Register(w.store, "draining")
	time.Sleep(span(r))
	u.Register(w.store, "ready")
	return u.ID + " left and came back", nil
}
