package soak

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/ports"
)

// proxyState is the fault that a proxy applies to its connections.
type proxyState struct {
	delay  time.Duration
	silent bool // withholds all data from the server to the host
}

// proxy forwards TCP connections from hosts to one upstream on loopback.
type proxy struct {
	port     *ports.Reservation
	listener net.Listener
	target   netip.AddrPort

	mu      sync.Mutex // guards the fields below
	state   proxyState
	stopped bool          // sends hosts nothing, as if the upstream's process were stopped
	resume  chan struct{} // closed when the proxy accepts connections
	conns   map[net.Conn]bool
	resets  []time.Time
	stops   []stopTime
}

func newProxy(target netip.AddrPort) (*proxy, error) {
	port, err := ports.Reserve()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", port.Addr().String())
	if err != nil {
		return nil, errors.Join(err, port.Release())
	}
	p := &proxy{port: port, listener: l, target: target, conns: make(map[net.Conn]bool), resume: make(chan struct{})}
	close(p.resume)
	go p.accept()
	return p, nil
}

func (p *proxy) addr() netip.AddrPort { return p.port.Addr() }

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		resume := p.resume
		p.mu.Unlock()
		<-resume
		to, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			_ = from.Close()
			continue
		}
		p.track(from, to)
		go p.pipe(to, from, false)
		go p.pipe(from, to, true)
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// pipe copies one direction of a connection; towardsCaller marks the direction
// from the server to the host.
func (p *proxy) pipe(to, from net.Conn, towardsCaller bool) {
	defer func() {
		_ = to.Close()
		_ = from.Close()
		p.mu.Lock()
		delete(p.conns, to)
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		for towardsCaller && n > 0 && p.isSilent() {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(p.currentState().delay)
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			return
		}
	}
}

func (p *proxy) currentState() proxyState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// isSilent reports whether the proxy withholds what the upstream sends.
func (p *proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.silent || p.stopped
}

func (p *proxy) setState(s proxyState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
}

// reset closes every connection, with a TCP reset where the system allows it.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = append(p.resets, time.Now())
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // if this fails, the orderly close is a fault as well
		}
		_ = c.Close()
	}
}

// wasReset reports whether connections were reset in the given time.
func (p *proxy) wasReset(from, until time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.resets {
		if !at.Before(from) && !at.After(until) {
			return true
		}
	}
	return false
}

// close stops the proxy and frees its port. The hosts must have ended.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setState(proxyState{})
	p.reset()
	_ = p.port.Release() // the reservation ends with the process at the latest
}
