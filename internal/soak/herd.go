package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// herdGap is the least time between two losses of all hosts, in which streams begin.
	herdGap = 2 * time.Second
	// herdExitTimeout bounds the wait until a killed process has exited.
	herdExitTimeout = 5 * time.Second
)

// herdFaults are losses of all hosts at once.
var herdFaults = []fault{killAllHosts}

// killAllHosts kills all hosts at the same moment and starts them again together.
func killAllHosts(e *environment, r *rand.Rand) (string, error) {
	time.Sleep(herdGap + faultDuration(r))
	for _, h := range e.hosts {
		h.lifecycle.Lock()
		defer h.lifecycle.Unlock()
		defer h.disrupt(killed)()
	}
	var failures error
	for _, h := range e.hosts {
		failures = errors.Join(failures, h.signal(syscall.SIGKILL))
	}
	for _, h := range e.hosts {
		if _, ended := h.wait(herdExitTimeout); !ended {
			failures = errors.Join(failures, fmt.Errorf("%s did not exit after SIGKILL", h.settings.Name))
		}
	}
	time.Sleep(faultDuration(r) / 2)
	started := make(chan error, len(e.hosts))
	var group sync.WaitGroup
	for _, h := range e.hosts {
		group.Go(func() { started <- h.start() })
	}
	group.Wait()
	for range e.hosts {
		failures = errors.Join(failures, <-started)
	}
	return "killed all hosts", failures
}
