package tunnel

import (
	"io"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/link"
)

// Conn is a connection to an upstream through another host. It has no deadlines; Close ends
// a Read or Write that waits. A Read returns io.EOF only if the upstream has closed the
// connection in order.
type Conn struct {
	stream  link.ClientStream
	peer    host.Info
	addr    netip.AddrPort // of the upstream
	pending []byte         // received and not yet read
	ended   bool
}

var _ net.Conn = (*Conn)(nil)

// Peer returns the ID of the host that the connection goes through.
func (c *Conn) Peer() string { return string(c.peer.ID) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 {
		if c.ended {
			return 0, io.EOF
		}
		var f frame
		if err := c.stream.Recv(&f); err != nil {
			return 0, Error.New("connection through host %q broke: %v", c.peer.ID, err)
		}
		c.pending, c.ended = f.Data, f.End
	}
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (written int, err error) {
	for written < len(p) {
		part := p[written:min(written+maxFrameBytes, len(p))]
		if err := c.stream.Send(frame{Data: part}); err != nil {
			return written, Error.New("connection through host %q broke: %v", c.peer.ID, err)
		}
		written += len(part)
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error { return Error.Wrap(c.stream.Close()) }

// LocalAddr returns the address of the host that the connection goes through.
func (c *Conn) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(c.peer.LinkAddr) }

// RemoteAddr returns the address of the upstream.
func (c *Conn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.addr) }

// SetDeadline returns os.ErrNoDeadline.
func (c *Conn) SetDeadline(time.Time) error { return os.ErrNoDeadline }

// SetReadDeadline returns os.ErrNoDeadline.
func (c *Conn) SetReadDeadline(time.Time) error { return os.ErrNoDeadline }

// SetWriteDeadline returns os.ErrNoDeadline.
func (c *Conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
