// Package kv is the client of the platform's key-value service. It speaks the
// JSON form of the etcd v3 API over net/http, and uses single-key reads,
// transactions that compare and write one key, leases and watches, and nothing
// more.
package kv

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/infra"
)

// Error is the class of every error this package returns.
var Error = errs.Class("kv")

// The defaults of Config.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultWatchRefresh = 30 * time.Second
)

// idleConnections is how many connections to one endpoint are kept.
const idleConnections = 16

// Config is the settings of a client.
type Config struct {
	// Endpoints are base URLs of the service, such as http://192.0.2.1:2379.
	// A call goes on to the next one only if it surely had no effect.
	Endpoints []string
	// HTTPClient makes the calls; nil means one of the client's own. It must
	// not have a Timeout, which would end watches.
	HTTPClient *http.Client
	// Timeout bounds each call; zero means DefaultTimeout.
	Timeout time.Duration
	// WatchRefresh is how often a watch reads its key again, so that a change
	// that the service did not tell is seen; zero means DefaultWatchRefresh.
	WatchRefresh time.Duration
}

// Client is a infra.Store.
type Client struct {
	cfg  Config
	http *http.Client

	mu    sync.Mutex
	first int // the endpoint to try first
}

var _ infra.Store = (*Client)(nil)

// New returns a client. It makes no call.
func New(cfg Config) (*Client, error) {
	if len(cfg.Endpoints) == 0 {
		return nil, Error.New("no endpoint")
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WatchRefresh == 0 {
		cfg.WatchRefresh = DefaultWatchRefresh
	}
	c := &Client{cfg: cfg, http: cfg.HTTPClient}
	if c.http == nil {
		c.http = newHTTPClient()
	}
	return c, nil
}

// newHTTPClient returns a client that follows no redirects and uses no proxy.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	return &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// endpoint returns the endpoint to try.
func (c *Client) endpoint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Endpoints[c.first]
}

// avoid moves on from an endpoint that failed.
func (c *Client) avoid(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Endpoints[c.first] == endpoint {
		c.first = (c.first + 1) % len(c.cfg.Endpoints)
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (infra.Entry, error) {
	entry, _, err := c.read(ctx, key)
	return entry, err
}

// read reads one key and returns the service's revision too.
func (c *Client) read(ctx context.Context, key string) (infra.Entry, int64, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", noEffect, rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return infra.Entry{}, 0, err
	}
	if len(resp.Kvs) == 0 {
		return infra.Entry{Key: key}, resp.Header.Revision, nil
	}
	return entryOf(resp.Kvs[0]), resp.Header.Revision, nil
}

func entryOf(kv keyValue) infra.Entry {
	return infra.Entry{Key: string(kv.Key), Value: kv.Value, Version: infra.Version(kv.ModRevision)}
}

// CompareAndSwap writes one key if its version is still expect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if len(value) > infra.MaxValueBytes {
		return 0, Error.Wrap(infra.ErrTooLarge)
	}
	put := &putRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return c.txn(ctx, key, expect, requestOp{Put: put})
}

// CompareAndDelete deletes one key if its version is still expect.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	_, err := c.txn(ctx, key, expect, requestOp{Delete: &deleteRequest{Key: []byte(key)}})
	return err
}

// txn runs one operation on a key if its version is still expect.
func (c *Client) txn(ctx context.Context, key string, expect infra.Version, op requestOp) (infra.Version, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expect)}},
		Success: []requestOp{op},
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", mayEffect, req, &resp); err != nil {
		return 0, err
	}
	if resp.Header == nil {
		return 0, mayEffect.failure(Error.New("answer without a header"))
	}
	if !resp.Succeeded {
		return 0, Error.Wrap(infra.ErrConflict)
	}
	return infra.Version(resp.Header.Revision), nil
}

// GrantLease makes a lease. The service counts in whole seconds; ttl is
// rounded up.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp leaseResponse
	if err := c.call(ctx, "/v3/lease/grant", mayEffect, leaseGrantRequest{TTL: seconds}, &resp); err != nil {
		return infra.NoLease, err
	}
	if resp.ID == 0 {
		return infra.NoLease, mayEffect.failure(Error.New("answer without a lease"))
	}
	return infra.LeaseID(resp.ID), nil
}

// KeepAlive renews a lease.
func (c *Client) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	var resp keepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", mayEffect, leaseRequest{ID: int64(lease)}, &resp); err != nil {
		return 0, err
	}
	if resp.Result == nil {
		return 0, mayEffect.failure(Error.New("answer without a result"))
	}
	if resp.Result.TTL <= 0 {
		return 0, Error.Wrap(infra.ErrLeaseGone)
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	var resp leaseResponse
	return c.call(ctx, "/v3/lease/revoke", mayEffect, leaseRequest{ID: int64(lease)}, &resp)
}
