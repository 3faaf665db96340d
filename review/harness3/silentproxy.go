package main

import (
	"net"
	"net/netip"
	"sync"
)

// silentProxy passes connections on to a server. It can make the open ones silent for good,
// without a reset, while new ones work.
type silentProxy struct {
	target   netip.AddrPort
	listener net.Listener

	mu   sync.Mutex // guards open
	open map[*passedConn]struct{}
}

// passedConn is a connection that the proxy passes on.
type passedConn struct {
	client, server net.Conn

	mu     sync.Mutex // held while bytes are passed on
	silent bool
}

func newSilentProxy(target netip.AddrPort) (*silentProxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &silentProxy{target: target, listener: listener, open: make(map[*passedConn]struct{})}
	go p.accept()
	return p, nil
}

func (p *silentProxy) addr() string { return p.listener.Addr().String() }

func (p *silentProxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp4", p.target.String())
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &passedConn{client: client, server: server}
		p.mu.Lock()
		p.open[c] = struct{}{}
		p.mu.Unlock()
		go p.pass(c, client, server)
		go p.pass(c, server, client)
	}
}

// pass passes bytes on until the connection ends. A silent connection is kept open, and what
// arrives on it is dropped.
func (p *silentProxy) pass(c *passedConn, from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if n > 0 && !silent {
			_, _ = to.Write(buffer[:n]) // if it fails, the other direction ends
		}
		c.mu.Unlock()
		if err == nil {
			continue
		}
		if !silent || from == c.client {
			_ = c.client.Close()
			_ = c.server.Close()
			p.mu.Lock()
			delete(p.open, c)
			p.mu.Unlock()
		}
		return
	}
}

// silence makes all open connections silent and returns how many there were.
func (p *silentProxy) silence() (count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
		count++
	}
	return count
}

func (p *silentProxy) close() { _ = p.listener.Close() }
