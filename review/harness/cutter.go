package harness

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"
)

// WatchCutter stands in front of a store. It passes all calls on, and closes the
// connection of each watch that has waited for some time.
type WatchCutter struct {
	server *httptest.Server
	after  atomic.Int64 // in nanoseconds; 0 cuts no watch
	cut    atomic.Int64
}

// NewWatchCutter starts a cutter that cuts nothing yet.
func NewWatchCutter(store netip.AddrPort) *WatchCutter {
	c := &WatchCutter{}
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.String()})
	forward.ErrorHandler = func(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }
	c.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after := time.Duration(c.after.Load())
		if after == 0 || !r.URL.Query().Has("wait_ms") {
			forward.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), after)
		defer cancel()
		defer func() {
			if ctx.Err() == context.DeadlineExceeded {
				c.cut.Add(1)
			}
		}()
		forward.ServeHTTP(w, r.WithContext(ctx))
	}))
	return c
}

// CutAfter makes the cutter cut each further watch that has waited for a time; 0 cuts none.
func (c *WatchCutter) CutAfter(wait time.Duration) { c.after.Store(int64(wait)) }

// Cuts returns how many watches were cut.
func (c *WatchCutter) Cuts() int64 { return c.cut.Load() }

// Addr returns the address at which hosts reach the store.
func (c *WatchCutter) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(c.server.Listener.Addr().String())
}

// Close stops the cutter.
func (c *WatchCutter) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
}
