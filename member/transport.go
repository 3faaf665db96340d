package member

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/panjf2000/gnet/v2"
)

// stopTimeout bounds stopping the event loop.
const stopTimeout = 5 * time.Second

// transport receives datagrams in a gnet event loop, and sends datagrams from
// the same port.
type transport struct {
	gnet.BuiltinEventEngine
	addr    string
	receive func(datagram []byte)
	logger  *slog.Logger

	engine gnet.Engine
	ready  chan struct{}
	ended  chan struct{}

	connMu sync.RWMutex // guards conn
	conn   *net.UDPConn
	err    error // from OnBoot; set before ready is closed
	runErr error // from the event loop; set before ended is closed
}

func newTransport(addr string, receive func([]byte), logger *slog.Logger) *transport {
	return &transport{addr: addr, receive: receive, logger: logger, ready: make(chan struct{}), ended: make(chan struct{})}
}

// run receives datagrams until ctx ends. It may be called once.
func (t *transport) run(ctx context.Context) error {
	stopped := make(chan struct{})
	running, end := context.WithCancel(context.Background())
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		if t.waitReady(context.Background()) == nil {
			ctx, cancel := context.WithTimeout(running, stopTimeout)
			defer cancel()
			_ = t.engine.Stop(ctx) // polls twice a second for the end of the event loop
		}
	})
	defer func() {
		end()
		if !stop() {
			<-stopped
		}
	}()
	defer close(t.ended)
	if err := gnet.Run(t, "udp://"+t.addr, gnet.WithNumEventLoop(1), gnet.WithLogger(gnetLogger{t.logger})); err != nil {
		t.runErr = Error.New("receive datagrams on %s: %w", t.addr, err)
	}
	return t.runErr
}

// waitReady waits until datagrams can be sent. It also returns nil when ctx ends.
func (t *transport) waitReady(ctx context.Context) error {
	select {
	case <-t.ready:
		return t.err
	case <-t.ended:
		if t.runErr != nil {
			return t.runErr
		}
		return Error.New("the UDP event loop has ended")
	case <-ctx.Done():
		return nil
	}
}

// OnBoot is called by gnet at the start. It duplicates the listening socket for
// sending.
func (t *transport) OnBoot(engine gnet.Engine) gnet.Action {
	defer close(t.ready)
	t.engine = engine
	conn, err := dupListenerForSending(engine)
	if err != nil {
		t.err = err
		return gnet.Shutdown
	}
	t.connMu.Lock()
	defer t.connMu.Unlock()
	t.conn = conn
	return gnet.None
}

// dupListenerForSending returns a connection that sends from the listening
// socket.
func dupListenerForSending(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	file := os.NewFile(uintptr(fd), "membership")
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return conn.(*net.UDPConn), nil
}

// OnTraffic is called by gnet with each received datagram.
func (t *transport) OnTraffic(conn gnet.Conn) gnet.Action {
	datagram, err := conn.Next(-1)
	if err == nil && len(datagram) > 0 {
		t.receive(datagram)
	}
	return gnet.None
}

// send sends a datagram. Before the start and after close it drops the datagram.
func (t *transport) send(datagram []byte, to netip.AddrPort) error {
	t.connMu.RLock()
	defer t.connMu.RUnlock()
	if t.conn == nil {
		return nil
	}
	_, err := t.conn.WriteToUDPAddrPort(datagram, to)
	return Error.Wrap(err)
}

// close closes the sending socket.
func (t *transport) close() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
		t.conn = nil
	}
}
