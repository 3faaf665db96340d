package edge_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/galenaseam/galenaseam/transport"
)

// cut is how a host has lost its links to the upstreams.
type cut int

const (
	noCut cut = iota
	// silentCut: packets are lost in both directions.
	silentCut
	// resetCut: connections are reset, and new ones are refused.
	resetCut
	// newOnlyCut: new connections are refused, those that are open live on.
	newOnlyCut
)

// upstreamLinks are the links of one host to all upstreams. Its zero value has no cut.
type upstreamLinks struct {
	mu    sync.Mutex // guards the fields below
	cut   cut
	conns []*linkConn
}

// set cuts the links or heals them. Connections that a cut breaks stay broken.
func (l *upstreamLinks) set(c cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	if c != silentCut && c != resetCut {
		return
	}
	for _, conn := range l.conns {
		conn.lose(c)
	}
	l.conns = nil
}

func (l *upstreamLinks) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	l.mu.Lock()
	c := l.cut
	l.mu.Unlock()
	switch c {
	case silentCut:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Second): // the transport's own time-out
			return nil, os.ErrDeadlineExceeded
		}
	case resetCut, newOnlyCut:
		return nil, syscall.ECONNREFUSED
	}
	raw, err := transport.DialTCP(ctx, addr)
	if err != nil {
		return nil, err
	}
	conn := &linkConn{Conn: raw, lost: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, conn)
	return conn, nil
}

// linkConn is a connection that a cut breaks.
type linkConn struct {
	net.Conn
	once   sync.Once // guards cut and the closing of lost
	cut    cut
	lost   chan struct{}
	close  sync.Once
	closed chan struct{}
}

// lose breaks the connection.
func (c *linkConn) lose(how cut) {
	c.once.Do(func() {
		c.cut = how
		close(c.lost)
		_ = c.Conn.Close()
	})
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Read reads, and waits for Close once a silent cut has broken the connection.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.lost:
	default:
		return n, err
	}
	if c.cut == silentCut {
		<-c.closed
		return 0, net.ErrClosed
	}
	return 0, syscall.ECONNRESET
}

// Write writes. What is written after a silent cut is lost.
func (c *linkConn) Write(p []byte) (int, error) {
	select {
	case <-c.lost:
		if c.cut == silentCut {
			return len(p), nil
		}
		return 0, syscall.ECONNRESET
	default:
		return c.Conn.Write(p)
	}
}
