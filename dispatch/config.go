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

// Error is the class of the errors that are not refusals.
var Error = errs.Class("dispatch")

// Limiter bounds what workspaces use over all hosts.
type Limiter interface {
	// Take uses up one request and its tokens, or says when to come back.
	Take(now time.Time, workspace string, class document.Class, requests, tokens int) (ok bool, retryAfter time.Duration)
	// Refund gives back what a request took and did not use.
	Refund(workspace string, class document.Class, requests, tokens int)
}

// Config is what a Runtime needs.
type Config struct {
	Upstreams upstream.View
	// Settings are policy.Defaults() when zero.
	Settings policy.Settings
	// Place is where the host stands.
	Place host.Place
	// HostCount returns how many hosts share the tracked upstreams, this one
	// included; nil means that it is alone.
	HostCount func() int
	// Now is time.Now when nil.
	Now func() time.Time
	// Seed makes the policy's draws repeatable.
	Seed   uint64
	Logger *slog.Logger
	// Registerer takes the metrics; nil means none.
	Registerer prometheus.Registerer
	// Gossip tells other hosts of upstreams that do badly, and hears of them;
	// nil means that the host judges by itself.
	Gossip member.Gossip
	// Limiter bounds workspaces; nil means no limit.
	Limiter Limiter
}

func (c *Config) fill() error {
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
