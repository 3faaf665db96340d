package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// fault injects one failure, waits until it is over, and returns a description.
type fault func(e *environment, r *rand.Rand) (string, error)

// baseFaults are the faults that regressionSeeds were kept for. Those that signal
// host processes run one at a time.
var baseFaults = []fault{
	oneAtATime(killHost), oneAtATime(pauseHost), oneAtATime(stopHost), oneAtATime(reloadHost),
	failStoreForHost, failStore, compactStore, injectUpstreamFaults, resetConnections, delayConnections, changeConfiguration, drainUpstream,
}

// oneAtATime keeps two base series from signalling hosts at once.
func oneAtATime(f fault) fault {
	return func(e *environment, r *rand.Rand) (string, error) {
		e.signals.Lock()
		defer e.signals.Unlock()
		return f(e, r)
	}
}

// faultDuration draws how long a fault lasts.
func faultDuration(r *rand.Rand) time.Duration {
	return time.Duration(200+r.IntN(1300)) * time.Millisecond
}

func killHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	defer h.disrupt(killed)()
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
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	defer h.disrupt(paused)()
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
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	defer h.disrupt(stopped)()
	if err := h.terminate(); err != nil {
		return "", err
	}
	return "stopped " + h.settings.Name, h.start()
}

// terminate sends SIGTERM and waits until the process has exited.
func (h *hostProcess) terminate() error {
	if err := h.signal(syscall.SIGTERM); err != nil {
		return err
	}
	code, ended := h.wait((graceSeconds + 2) * time.Second)
	if !ended || code != 0 {
		return fmt.Errorf("%s after SIGTERM: exited %t, exit code %d", h.settings.Name, ended, code)
	}
	return nil
}

func reloadHost(e *environment, r *rand.Rand) (string, error) {
	h := pick(r, e.hosts)
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	return "SIGHUP to " + h.settings.Name, h.signal(syscall.SIGHUP)
}

var storeFaults = []platformtest.Fault{
	platformtest.FaultUnavailable, platformtest.FaultTooManyRequests, platformtest.FaultReset, platformtest.FaultSilent, platformtest.FaultLost,
}

func failStoreForHost(e *environment, r *rand.Rand) (string, error) {
	h, f := pick(r, e.hosts), pick(r, storeFaults[:4])
	defer h.disrupt(storeCut)()
	h.storeProxy.SetFault(f)
	time.Sleep(faultDuration(r))
	h.storeProxy.SetFault(platformtest.FaultNone)
	return fmt.Sprintf("store failed only for %s by fault %d", h.settings.Name, f), nil
}

func failStore(e *environment, r *rand.Rand) (string, error) {
	f := pick(r, storeFaults)
	for _, h := range e.hosts {
		defer h.disrupt(storeCut)()
	}
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
	p := pick(r, e.upstreams).proxy
	p.reset()
	return "reset connections to " + p.target.String(), nil
}

func delayConnections(e *environment, r *rand.Rand) (string, error) {
	p := pick(r, e.upstreams).proxy
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
	if e.storeRestores {
		// A process that was leaving stays so in a later era of the store.
		u.NextProcess()
		e.mu.Lock()
		u.replacedAt = append(u.replacedAt, time.Now())
		e.mu.Unlock()
	}
	u.Register(e.store, "ready")
	return u.ID + " was drained and became ready again", nil
}

const (
	minSilence = 800 * time.Millisecond
	maxSilence = 1600 * time.Millisecond
	// maxSilentAnswers is how many answers of one upstream fall silent in one fault.
	maxSilentAnswers = 4
)

// silenceFaults are the faults of upstreams that send nothing for a while and then
// go on.
var silenceFaults = []fault{silenceUpstream, silenceService, stopUpstream}

func silenceLength(r *rand.Rand) time.Duration {
	return minSilence + time.Duration(r.Int64N(int64(maxSilence-minSilence)))
}

// drawSilences draws the silences of an upstream's next answers.
func drawSilences(r *rand.Rand) (list []platformtest.Silence) {
	for range 1 + r.IntN(maxSilentAnswers) {
		list = append(list, platformtest.Silence{
			Place:  platformtest.SilencePlace(r.IntN(int(platformtest.BetweenEvents) + 1)),
			Length: silenceLength(r),
		})
	}
	return list
}

func silenceUpstream(e *environment, r *rand.Rand) (string, error) {
	u, list := pick(r, e.present()), drawSilences(r)
	u.QueueSilences(list...)
	return fmt.Sprintf("%s falls silent in answers %v", u.ID, list), nil
}

// silenceService makes all upstreams of a service fall silent, so that none of them
// can take over from another at once.
func silenceService(e *environment, r *rand.Rand) (string, error) {
	service := pick(r, e.present()).Service
	for _, u := range e.ofService(service) {
		u.QueueSilences(drawSilences(r)...)
	}
	return "upstreams of " + service + " fall silent", nil
}

// stopUpstream makes all requests of an upstream fall silent at once.
func stopUpstream(e *environment, r *rand.Rand) (string, error) {
	u, length, accepts := pick(r, e.present()), silenceLength(r), r.IntN(2) == 0
	return fmt.Sprintf("%s was silent for %s, accepting connections %t", u.ID, length, accepts), u.proxy.stop(length, accepts)
}

// maxPlannedSeries is how many SIGHUPs and configurations follow each other at most.
const maxPlannedSeries = 4

// plannedFaults is planned work on one host while other series run: SIGHUPs and
// configurations in a row, also while the host drains after a SIGTERM.
var plannedFaults = []fault{plannedSeries}

func plannedSeries(e *environment, r *rand.Rand) (string, error) {
	h, stops, count := pick(r, e.hosts), r.IntN(2) == 0, 1+r.IntN(maxPlannedSeries)
	pause := faultDuration(r) / maxPlannedSeries
	h.lifecycle.Lock()
	defer h.lifecycle.Unlock()
	series := make(chan error, 1)
	go func() {
		var err error
		for range count {
			err = errors.Join(err, h.signal(syscall.SIGHUP))
			e.rotateKeys()
			time.Sleep(pause)
		}
		series <- err
	}()
	if !stops {
		return fmt.Sprintf("%d SIGHUPs and configurations at %s", count, h.settings.Name), <-series
	}
	defer h.disrupt(stopped)()
	time.Sleep(pause)
	err := errors.Join(h.terminate(), <-series)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("SIGTERM in a series of %d SIGHUPs and configurations at %s", count, h.settings.Name), h.start()
}
