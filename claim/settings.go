package claim

import (
	"crypto/rand"
	"io"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/internal/defaults"
	"github.com/galenaseam/galenaseam/link"
)

// Settings tune the claims. Zero fields take the defaults. Shards and
// RingSlots are fixed by the first host that ever starts on a store; hosts with
// another number of shards refuse to start.
type Settings struct {
	// Shards is how many logs the key space is split into.
	Shards int
	// RingSlots is how many batches a shard's log holds beside its segments.
	RingSlots int
	// Retention is how long a key that carries its time is remembered.
	Retention time.Duration
	// BatchWindow is the shortest time between two writes of one shard.
	BatchWindow time.Duration
	// OutcomeDelay is how long outcomes may wait for claims to share a write.
	OutcomeDelay time.Duration
	// ClaimTimeout bounds how long Begin tries to claim a request.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call between hosts.
	CallTimeout time.Duration
	// ProbeTimeout bounds the call that asks a shard's owner whether it lives.
	ProbeTimeout time.Duration
	// StoreTimeout bounds one call on the store.
	StoreTimeout time.Duration
	// MinTenure is how long a host that lost a shard waits before it takes the
	// shard again. It doubles with every loss that follows, up to MaxTenure.
	MinTenure time.Duration
	// MaxTenure bounds MinTenure's growth.
	MaxTenure time.Duration
	// HandoffDelay is how long the list of hosts must be steady before an
	// owner hands a shard to the host that should own it.
	HandoffDelay time.Duration
	// MaxHeldBytes is the largest answer that is recorded with its outcome.
	MaxHeldBytes int
	// MaxBatchBytes bounds the entries of one write.
	MaxBatchBytes int
	// SegmentBytes is the size at which a segment is sealed.
	SegmentBytes int
	// MaxSegments bounds the segments of one shard, and so the reads of a
	// recovery. Beyond it the oldest keys expire before their retention.
	MaxSegments int
	// MaxOpaqueKeys bounds the keys of one shard that carry no time. They are
	// remembered for ever; beyond the bound new ones are refused.
	MaxOpaqueKeys int
}

// DefaultSettings returns the settings for a fleet of a few dozen hosts.
func DefaultSettings() Settings {
	return Settings{
		Shards:        16,
		RingSlots:     128,
		Retention:     24 * time.Hour,
		BatchWindow:   60 * time.Millisecond,
		OutcomeDelay:  500 * time.Millisecond,
		ClaimTimeout:  3 * time.Second,
		CallTimeout:   time.Second,
		ProbeTimeout:  400 * time.Millisecond,
		StoreTimeout:  500 * time.Millisecond,
		MinTenure:     2 * time.Second,
		MaxTenure:     time.Minute,
		HandoffDelay:  10 * time.Second,
		MaxHeldBytes:  16 << 10,
		MaxBatchBytes: 256 << 10,
		SegmentBytes:  256 << 10,
		MaxSegments:   256,
		MaxOpaqueKeys: 250_000,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	defaults.Set(&s.Shards, d.Shards)
	defaults.Set(&s.RingSlots, d.RingSlots)
	defaults.Set(&s.Retention, d.Retention)
	defaults.Set(&s.BatchWindow, d.BatchWindow)
	defaults.Set(&s.OutcomeDelay, d.OutcomeDelay)
	defaults.Set(&s.ClaimTimeout, d.ClaimTimeout)
	defaults.Set(&s.CallTimeout, d.CallTimeout)
	defaults.Set(&s.ProbeTimeout, d.ProbeTimeout)
	defaults.Set(&s.StoreTimeout, d.StoreTimeout)
	defaults.Set(&s.MinTenure, d.MinTenure)
	defaults.Set(&s.MaxTenure, d.MaxTenure)
	defaults.Set(&s.HandoffDelay, d.HandoffDelay)
	defaults.Set(&s.MaxHeldBytes, d.MaxHeldBytes)
	defaults.Set(&s.MaxBatchBytes, d.MaxBatchBytes)
	defaults.Set(&s.SegmentBytes, d.SegmentBytes)
	defaults.Set(&s.MaxSegments, d.MaxSegments)
	defaults.Set(&s.MaxOpaqueKeys, d.MaxOpaqueKeys)
	return s
}

// minRingSlots leaves room for a takeover record beside a checkpoint.
const minRingSlots = 4

func (s Settings) check() error {
	switch {
	case s.Shards < 1:
		return Error.New("shards must be at least 1")
	case s.RingSlots < minRingSlots:
		return Error.New("ring slots must be at least %d", minRingSlots)
	case s.MaxBatchBytes+s.MaxHeldBytes > infra.MaxValueBytes*3/4:
		return Error.New("batch and held bytes must leave room in a value of %d bytes", infra.MaxValueBytes)
	case s.SegmentBytes > infra.MaxValueBytes/2:
		return Error.New("segment bytes must be at most half a value of %d bytes", infra.MaxValueBytes)
	}
	return nil
}

// Config is what a Service is made of. Logger, Now, Rand and Registerer may be
// left out.
type Config struct {
	Store      infra.Store
	View       host.View
	Caller     link.Caller
	Registrar  link.Registrar
	Logger     *slog.Logger
	Now        func() time.Time
	Rand       io.Reader
	Registerer prometheus.Registerer
	Settings   Settings
}

func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Rand == nil {
		c.Rand = rand.Reader
	}
	if c.Registerer == nil {
		c.Registerer = prometheus.NewRegistry()
	}
	c.Settings = c.Settings.withDefaults()
	return c
}
