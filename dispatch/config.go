package dispatch

import (
	"log/slog"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/policy"
	"github.com/galenaseam/galenaseam/upstream"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors other than refusals.
var Error = errs.Class("dispatch")

// Limiter enforces the workspaces' limits across all hosts.
type Limiter interface {
	// Take charges requests and tokens to a workspace's limit. When the limit
	// is used up it returns false and the time to wait before a retry.
	Take(now time.Time, workspace string, class document.Class, requests, tokens int) (ok bool, retryAfter time.Duration)
	// Refund returns requests and tokens that were charged and not used.
	Refund(workspace string, class document.Class, requests, tokens int)
}

// Config holds the dependencies of a Runtime.
type Config struct {
	Upstreams upstream.View
	// Settings defaults to policy.Defaults().
	Settings policy.Settings
	// Place is the host's location.
	Place host.Place
	// HostCount returns how many hosts share the upstreams, including this
	// one; nil means one.
	HostCount func() int
	// Now defaults to time.Now.
	Now func() time.Time
	// Seed seeds the policy's random choices.
	Seed   uint64
	Logger *slog.Logger
	// Registerer registers the metrics; nil disables them.
	Registerer prometheus.Registerer
	// Gossip exchanges suspicions of badly performing upstreams with other
	// hosts; nil means that this host uses only its own observations.
	Gossip member.Gossip
	// Limiter enforces the workspaces' limits; nil means no limits.
	Limiter Limiter
}

func (c *Config) setDefaults() error {
	if c.Upstreams == nil {
		return Error.New("no view of the upstreams")
	}
	if c.Settings == (policy.Settings{}) {
		c.Settings = policy.Defaults()
	}
	if c.HostCount == nil {
		c.HostCount = func() int { return 1 }
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return nil
}
