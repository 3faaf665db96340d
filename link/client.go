package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/galenaseam/galenaseam/internal/sockopt"
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
	// DialTimeout bounds connecting and the handshake separately.
	DialTimeout time.Duration
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds one request or response.
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

// pooledConn is a connection that records whether the current call has written to
// it.
type pooledConn struct {
	*drpcconn.Conn
	wrote *atomic.Bool
}

// writeTrackingConn sets wrote at every write.
type writeTrackingConn struct {
	net.Conn
	wrote atomic.Bool
}

// Write sets wrote before it writes, because a failed write may have sent data.
func (w *writeTrackingConn) Write(data []byte) (int, error) {
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
		dialer: net.Dialer{Timeout: config.DialTimeout, Control: sockopt.UserTimeout(userTimeout)},
		pool: drpcpool.New[netip.AddrPort, *pooledConn](drpcpool.Options{
			Expiration:  config.IdleTimeout,
			KeyCapacity: DefaultIdlePerPeer,
			Capacity:    DefaultIdleTotal,
		}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() error { return Error.Wrap(c.pool.Close()) }

// Call sends in to the peer and decodes its response into out; a nil out discards
// the response. It returns ErrNotSent when the peer certainly did not run the
// call, a *RemoteError when the peer's handler failed, ErrUnknownMethod when the
// peer does not serve the method, and ErrBroken when the connection broke.
func (c *Client) Call(ctx context.Context, peer netip.AddrPort, method Method, in, out any) error {
	if err := c.auth.checkCredentials(); err != nil {
		return wrapNotSent(err)
	}
	request, err := c.codec.Marshal(in)
	if err != nil {
		return wrapNotSent(err)
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.CallTimeout)
		defer cancel()
	}
	if pooled, ok := c.pool.Take(peer); ok {
		sent, err := c.invoke(ctx, pooled, peer, method, request, out)
		if sent || err == nil || ctx.Err() != nil {
			return err
		}
	}
	fresh, err := c.dial(ctx, peer)
	if err != nil {
		return wrapNotSent(err)
	}
	_, err = c.invoke(ctx, fresh, peer, method, request, out)
	return err
}

// invoke makes the call on one connection and returns the connection to the pool.
// sent is false when nothing at all was written.
func (c *Client) invoke(ctx context.Context, conn *pooledConn, peer netip.AddrPort, method Method, request preencoded, out any) (sent bool, err error) {
	conn.wrote.Store(false)
	target := newResponseTarget(out)
	err = conn.Invoke(ctx, string(method), c.codec, request, target)
	sent = conn.wrote.Load()
	c.pool.Put(peer, conn)
	switch {
	case target.decoded:
		return sent, nil
	case !sent:
		return false, wrapNotSent(errs.Combine(err, ctx.Err()))
	case ctx.Err() != nil:
		return true, Error.Wrap(ctx.Err())
	}
	return true, classifyCallError(method, err)
}

func (c *Client) dial(ctx context.Context, peer netip.AddrPort) (*pooledConn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", peer.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	secure, err := c.auth.clientHandshake(raw, peer.Addr().String())
	stop()
	if err != nil {
		return nil, errs.Combine(err, raw.Close())
	}
	watched := &writeTrackingConn{Conn: secure}
	options := drpcconn.Options{Manager: managerOptions(c.config.MaxMessageBytes)}
	return &pooledConn{Conn: drpcconn.NewWithOptions(watched, options), wrote: &watched.wrote}, nil
}
