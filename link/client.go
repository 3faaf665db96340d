package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/zeebo/errs"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Defaults of a Client.
const (
	DefaultDialTimeout = 2 * time.Second
	DefaultCallTimeout = 30 * time.Second
	DefaultIdleTimeout = time.Minute
	DefaultIdlePerPeer = 16
	DefaultIdleTotal   = 1024
)

// ClientConfig configures a Client. One of TLS and Key must be set.
type ClientConfig struct {
	// TLS, when set, must hold the client's certificate.
	TLS *tls.Config
	// Key is the fleet's shared secret.
	Key []byte
	// DialTimeout bounds connecting and the handshake, each.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds one request or answer.
	MaxMessageBytes int
}

// Client makes calls to other hosts over pooled connections. A connection
// carries one call at a time.
type Client struct {
	config ClientConfig
	auth   authenticator
	codec  *codec
	dialer net.Dialer
	pool   *drpcpool.Pool[netip.AddrPort, *pooledConn]
}

var _ Caller = (*Client)(nil)

// pooledConn is a connection that knows whether a call has begun to write.
type pooledConn struct {
	*drpcconn.Conn
	wrote *atomic.Bool
}

// watchedConn notes every write in wrote.
type watchedConn struct {
	net.Conn
	wrote atomic.Bool
}

// Write notes the attempt before it is made.
func (w *watchedConn) Write(data []byte) (int, error) {
	w.wrote.Store(true)
	return w.Conn.Write(data)
}

// NewClient returns a client. Close it to close its idle connections.
func NewClient(config ClientConfig) *Client {
	defaults.Set(&config.DialTimeout, DefaultDialTimeout)
	defaults.Set(&config.CallTimeout, DefaultCallTimeout)
	defaults.Set(&config.IdleTimeout, DefaultIdleTimeout)
	defaults.Set(&config.MaxMessageBytes, DefaultMaxMessageBytes)
	return &Client{
		config: config,
		auth:   authenticator{tls: config.TLS, key: config.Key, timeout: config.DialTimeout},
		codec:  newCodec(config.MaxMessageBytes),
		dialer: net.Dialer{Timeout: config.DialTimeout},
		pool: drpcpool.New[netip.AddrPort, *pooledConn](drpcpool.Options{
			Expiration:  config.IdleTimeout,
			KeyCapacity: DefaultIdlePerPeer,
			Capacity:    DefaultIdleTotal,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return Error.Wrap(c.pool.Close()) }

// Call sends in to the peer and decodes its answer into out; a nil out drops
// the answer. It returns ErrNotSent when the peer surely never saw the call, a
// *RemoteError when the peer's handler failed, and ErrUnknownMethod.
func (c *Client) Call(ctx context.Context, peer netip.AddrPort, method Method, in, out any) error {
	if err := c.auth.usable(); err != nil {
		return notSent(err)
	}
	request, err := c.codec.Marshal(in)
	if err != nil {
		return notSent(err)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.CallTimeout)
		defer cancel()
	}
	if pooled, ok := c.pool.Take(peer); ok {
		sent, err := c.callOn(ctx, pooled, peer, method, request, out)
		if sent || err == nil || ctx.Err() != nil {
			return err
		}
	}
	fresh, err := c.dial(ctx, peer)
	if err != nil {
		return notSent(err)
	}
	_, err = c.callOn(ctx, fresh, peer, method, request, out)
	return err
}

// callOn makes the call on one connection and gives the connection back. sent
// is false when nothing at all was written.
func (c *Client) callOn(ctx context.Context, conn *pooledConn, peer netip.AddrPort, method Method, request encoded, out any) (sent bool, err error) {
	conn.wrote.Store(false)
	reply := newAnswer(out)
	err = conn.Invoke(ctx, string(method), c.codec, request, reply)
	sent = conn.wrote.Load()
	c.pool.Put(peer, conn)
	switch {
	case reply.decoded:
		return sent, nil
	case !sent:
		return false, notSent(errs.Combine(err, ctx.Err()))
	case ctx.Err() != nil:
		return true, Error.Wrap(ctx.Err())
	}
	return true, fromWire(method, err)
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (*pooledConn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	secure, err := c.auth.client(raw, peer.Addr().String())
	stop()
	if err != nil {
		return nil, errs.Combine(err, raw.Close())
	}
	watched := &watchedConn{Conn: secure}
	options := drpcconn.Options{Manager: managerOptions(c.config.MaxMessageBytes)}
	return &pooledConn{Conn: drpcconn.NewWithOptions(watched, options), wrote: &watched.wrote}, nil
}
