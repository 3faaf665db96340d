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

// stopTimeout bounds the end of the event loop.
const stopTimeout = 5 * time.Second

// transport takes datagrams in by a gnet event loop, and sends others from the
// same port.
type transport struct {
	gnet.BuiltinEventEngine
	addr    string
	receive func(datagram []byte)
	logger  *slog.Logger

	engine gnet.Engine
	ready  chan struct{}
	ended  chan struct{}

	connMu sync.RWMutex
	conn   *net.UDPConn
	err    error
}

func newTransport(addr string, receive func([]byte), logger *slog.Logger) *transport {
	return &transport{addr: addr, receive: receive, logger: logger, ready: make(chan struct{}), ended: make(chan struct{})}
}

// run serves until ctx ends. It may be called once.
func (t *transport) run(ctx context.Context) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		if t.waitReady(context.Background()) == nil {
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			_ = t.engine.Stop(ctx)
		}
	})
	defer func() {
		if !stop() {
			<-stopped
		}
	}()
	defer close(t.ended)
	return Error.Wrap(gnet.Run(t, "udp://"+t.addr,
		gnet.WithNumEventLoop(1),
		gnet.WithLogger(eventLog{t.logger}),
	))
}

// waitReady returns once datagrams can be sent.
func (t *transport) waitReady(ctx context.Context) error {
	select {
	case <-t.ready:
		return t.err
	case <-t.ended:
		return Error.New("the event loop has ended")
	case <-ctx.Done():
		return nil
	}
}

// OnBoot is for gnet: it makes a sender of the listening socket.
func (t *transport) OnBoot(engine gnet.Engine) gnet.Action {
	defer close(t.ready)
	t.engine = engine
	conn, err := senderOf(engine)
	if err != nil {
		t.err = err
		return gnet.Shutdown
	}
	t.connMu.Lock()
	defer t.connMu.Unlock()
	t.conn = conn
	return gnet.None
}

// senderOf duplicates the listening socket for sending.
func senderOf(engine gnet.Engine) (*net.UDPConn, error) {
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

// OnTraffic is for gnet: it takes in one datagram.
func (t *transport) OnTraffic(conn gnet.Conn) gnet.Action {
	datagram, err := conn.Next(-1)
	if err == nil && len(datagram) > 0 {
		t.receive(datagram)
	}
	return gnet.None
}

// send sends one datagram; before the start and after the end it is dropped.
func (t *transport) send(datagram []byte, to netip.AddrPort) error {
	t.connMu.RLock()
	defer t.connMu.RUnlock()
	if t.conn == nil {
		return nil
	}
	_, err := t.conn.WriteToUDPAddrPort(datagram, to)
	return Error.Wrap(err)
}

// close ends the sending side.
func (t *transport) close() {
	t.connMu.Lock()
	defer t.connMu.Unlock()
	if t.conn != nil {
		_ = t.conn.Close()
		t.conn = nil
	}
}
