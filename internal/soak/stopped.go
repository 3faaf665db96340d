package soak

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"
)

// The backlogs of a listener whose process runs and whose process is stopped.
const (
	openBacklog    = 128
	stoppedBacklog = 0
	// fillerConnections fill the backlog of a stopped listener, with the connection
	// that the proxy already waits for.
	fillerConnections = 3
	fillerTimeout     = 50 * time.Millisecond
)

// stopTime is a time in which the upstream's process was as if stopped.
type stopTime struct{ from, until time.Time }

// wasStopped reports whether the upstream was stopped in a part of the given time, so that
// its answers may not have reached a host.
func (p *proxy) wasStopped(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.stops, func(s stopTime) bool { return s.from.Before(until) && s.until.After(from) })
}

// stop holds the upstream's connections for the given time, as if its process were
// stopped: nothing that it sends reaches a host. If it doesn't accept, attempts to
// connect time out meanwhile; otherwise the kernel accepts them.
func (p *proxy) stop(length time.Duration, accepts bool) error {
	until := time.Now().Add(length)
	p.mu.Lock()
	p.stopped = true
	p.stops = append(p.stops, stopTime{from: time.Now(), until: until})
	p.mu.Unlock()
	var err error
	if !accepts {
		err = p.stopAccepting(until)
	}
	time.Sleep(time.Until(until))
	p.mu.Lock()
	p.stopped = false
	p.mu.Unlock()
	return err
}

// stopAccepting keeps the listener from completing connections until the given
// time, and has it accept again.
func (p *proxy) stopAccepting(until time.Time) error {
	resume := make(chan struct{})
	p.mu.Lock()
	p.resume = resume
	p.mu.Unlock()
	defer close(resume)
	err := p.setBacklog(stoppedBacklog)
	for range fillerConnections {
		if c, dialErr := net.DialTimeout("tcp4", p.addr().String(), fillerTimeout); dialErr == nil {
			defer c.Close()
		}
	}
	time.Sleep(time.Until(until))
	return errors.Join(err, p.setBacklog(openBacklog))
}

func (p *proxy) setBacklog(n int) error {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) })
	return errors.Join(err, listenErr)
}
