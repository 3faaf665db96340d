// Package kv is the client of the platform's key-value service. It calls the JSON
// gateway of the etcd v3 API over net/http. It uses only reads of single keys,
// transactions that compare and write one key, leases and watches.
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

// Default timeouts and intervals of a Client.
const (
	DefaultTimeout      = 2 * time.Second
	DefaultDialTimeout  = 500 * time.Millisecond
	DefaultWatchRefresh = 30 * time.Second
)

// maxIdleConnsPerEndpoint is how many idle connections to one endpoint are kept.
const maxIdleConnsPerEndpoint = 16

// Config contains the settings of a Client.
type Config struct {
	// Endpoints are base URLs of the service, such as http://192.0.2.1:2379.
	// A call is retried on the next endpoint only if it certainly had no effect.
	Endpoints []string
	// HTTPClient makes the calls; if nil, the Client creates its own. It must not
	// have a Timeout, which would end watches.
	HTTPClient *http.Client
	// Timeout limits each call, including its attempts on further endpoints; zero
	// means DefaultTimeout.
	Timeout time.Duration
	// WatchRefresh is the interval at which a watch reads its key again, to notice
	// changes for which the service sent no event; zero means
	// DefaultWatchRefresh.
	WatchRefresh time.Duration
}

// Client is an infra.Store on the platform's key-value service.
type Client struct {
	cfg  Config
	http *http.Client

	mu      sync.Mutex
	current int // index of the endpoint to call first; guarded by mu
}

var _ infra.Store = (*Client)(nil)

// New returns a client. It makes no calls.
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

// newHTTPClient returns an HTTP client that follows no redirects and uses no
// proxy.
func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: DefaultDialTimeout}
	return &http.Client{
		Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdleConnsPerEndpoint},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// currentEndpoint returns the endpoint to call first.
func (c *Client) currentEndpoint() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Endpoints[c.current]
}

// skipEndpoint switches to the next endpoint, unless another call has already
// switched away from the one that failed.
func (c *Client) skipEndpoint(endpoint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Endpoints[c.current] == endpoint {
		c.current = (c.current + 1) % len(c.cfg.Endpoints)
	}
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (infra.Entry, error) {
	entry, _, err := c.getWithRevision(ctx, key)
	return entry, err
}

// getWithRevision reads one key and also returns the service's revision at the
// time of the read.
func (c *Client) getWithRevision(ctx context.Context, key string) (infra.Entry, int64, error) {
	var resp rangeResponse
	if err := c.call(ctx, "/v3/kv/range", readCall, rangeRequest{Key: []byte(key)}, &resp); err != nil {
		return infra.Entry{}, 0, err
	}
	if len(resp.Kvs) == 0 {
		return infra.Entry{Key: key}, resp.Header.Revision, nil
	}
	return toEntry(resp.Kvs[0]), resp.Header.Revision, nil
}

func toEntry(kv keyValue) infra.Entry {
	return infra.Entry{Key: string(kv.Key), Value: kv.Value, Version: infra.Version(kv.ModRevision)}
}

// CompareAndSwap writes one key if its version is expect.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect infra.Version, value []byte, lease infra.LeaseID) (infra.Version, error) {
	if len(value) > infra.MaxValueBytes {
		return 0, Error.Wrap(infra.ErrTooLarge)
	}
	put := &putRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return c.txn(ctx, key, expect, requestOp{Put: put})
}

// CompareAndDelete deletes one key if its version is expect.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expect infra.Version) error {
	_, err := c.txn(ctx, key, expect, requestOp{Delete: &deleteRequest{Key: []byte(key)}})
	return err
}

// txn runs one operation on a key if its version is expect, and returns the
// service's new revision.
func (c *Client) txn(ctx context.Context, key string, expect infra.Version, op requestOp) (infra.Version, error) {
	req := txnRequest{
		Compare: []compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: int64(expect)}},
		Success: []requestOp{op},
	}
	var resp txnResponse
	if err := c.call(ctx, "/v3/kv/txn", writeCall, req, &resp); err != nil {
		return 0, err
	}
	if resp.Header == nil {
		return 0, writeCall.lostResponse(Error.New("answer without a header"))
	}
	if !resp.Succeeded {
		return 0, Error.Wrap(infra.ErrConflict)
	}
	return infra.Version(resp.Header.Revision), nil
}

// GrantLease creates a lease. The service only takes whole seconds, so ttl is
// rounded up.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var resp leaseResponse
	if err := c.call(ctx, "/v3/lease/grant", writeCall, leaseGrantRequest{TTL: seconds}, &resp); err != nil {
		return infra.NoLease, err
	}
	if resp.ID == 0 {
		return infra.NoLease, writeCall.lostResponse(Error.New("answer without a lease"))
	}
	return infra.LeaseID(resp.ID), nil
}

// KeepAlive renews a lease and returns its remaining time.
func (c *Client) KeepAlive(ctx context.Context, lease infra.LeaseID) (time.Duration, error) {
	var resp keepAliveResponse
	if err := c.call(ctx, "/v3/lease/keepalive", writeCall, leaseRequest{ID: int64(lease)}, &resp); err != nil {
		return 0, err
	}
	if resp.Result == nil {
		return 0, writeCall.lostResponse(Error.New("answer without a result"))
	}
	if resp.Result.TTL <= 0 {
		return 0, Error.Wrap(infra.ErrLeaseGone)
	}
	return time.Duration(resp.Result.TTL) * time.Second, nil
}

// RevokeLease ends a lease and deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	var resp leaseResponse
	return c.call(ctx, "/v3/lease/revoke", writeCall, leaseRequest{ID: int64(lease)}, &resp)
}
