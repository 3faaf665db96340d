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

// Settings configure the claims. Zero fields take the defaults. The first host
// that ever starts on a store fixes Shards for it; a host with another number of
// shards refuses to start. The first owner of a shard fixes its RingSlots.
type Settings struct {
	// Shards is the number of shards of the key space, each with its own log.
	Shards int
	// RingSlots is how many batches a shard's log holds in its ring, besides the
	// segments.
	RingSlots int
	// Retention is how long a key that carries a time is remembered.
	Retention time.Duration
	// BatchWindow is the minimum time between two writes of one shard.
	BatchWindow time.Duration
	// OutcomeDelay is how long outcomes may wait for a claim with which they can
	// share a write.
	OutcomeDelay time.Duration
	// ClaimTimeout bounds how long Begin tries to claim a request.
	ClaimTimeout time.Duration
	// CallTimeout bounds one call between hosts. A join may take joinWait longer.
	CallTimeout time.Duration
	// ProbeTimeout bounds the call that asks a shard's owner whether it still
	// serves the shard.
	ProbeTimeout time.Duration
	// StoreTimeout bounds one call to the store.
	StoreTimeout time.Duration
	// MinTakeoverBackoff is how long a host that lost a shard waits before it
	// takes the shard from another owner again. It doubles with every further
	// loss, up to MaxTakeoverBackoff.
	MinTakeoverBackoff time.Duration
	// MaxTakeoverBackoff bounds that wait. A host that owned the shard for
	// longer than this starts again at MinTakeoverBackoff.
	MaxTakeoverBackoff time.Duration
	// HandoffDelay is how long another host must be the preferred owner of a
	// shard before the owner hands the shard off.
	HandoffDelay time.Duration
	// MaxRecordedBodyBytes is the largest body that is recorded with an outcome.
	MaxRecordedBodyBytes int
	// MaxBatchBytes limits the entries of one write: no entry is added to a
	// batch that has reached it.
	MaxBatchBytes int
	// SegmentBytes is the target size of a segment. When the open entries
	// exceed it, some are sealed.
	SegmentBytes int
	// MaxSegments bounds the segments of one shard, and with them the reads of a
	// recovery. Beyond it the oldest keys expire before their retention ends.
	MaxSegments int
	// MaxOpaqueKeys bounds the opaque keys of one shard, which carry no time.
	// They are remembered forever; beyond the bound new ones are refused.
	MaxOpaqueKeys int
}

// DefaultSettings returns settings for a fleet of a few dozen hosts.
func DefaultSettings() Settings {
	return Settings{
		Shards:               16,
		RingSlots:            128,
		Retention:            24 * time.Hour,
		BatchWindow:          60 * time.Millisecond,
		OutcomeDelay:         500 * time.Millisecond,
		ClaimTimeout:         3 * time.Second,
		CallTimeout:          time.Second,
		ProbeTimeout:         400 * time.Millisecond,
		StoreTimeout:         500 * time.Millisecond,
		MinTakeoverBackoff:   2 * time.Second,
		MaxTakeoverBackoff:   time.Minute,
		HandoffDelay:         10 * time.Second,
		MaxRecordedBodyBytes: 16 << 10,
		MaxBatchBytes:        256 << 10,
		SegmentBytes:         256 << 10,
		MaxSegments:          256,
		MaxOpaqueKeys:        250_000,
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
	defaults.Set(&s.MinTakeoverBackoff, d.MinTakeoverBackoff)
	defaults.Set(&s.MaxTakeoverBackoff, d.MaxTakeoverBackoff)
	defaults.Set(&s.HandoffDelay, d.HandoffDelay)
	defaults.Set(&s.MaxRecordedBodyBytes, d.MaxRecordedBodyBytes)
	defaults.Set(&s.MaxBatchBytes, d.MaxBatchBytes)
	defaults.Set(&s.SegmentBytes, d.SegmentBytes)
	defaults.Set(&s.MaxSegments, d.MaxSegments)
	defaults.Set(&s.MaxOpaqueKeys, d.MaxOpaqueKeys)
	return s
}

// minRingSlots leaves room for a takeover record in addition to a checkpoint.
const minRingSlots = 4

func (s Settings) check() error {
	switch {
	case s.Shards < 1:
		return Error.New("shards must be at least 1")
	case s.RingSlots < minRingSlots:
		return Error.New("ring slots must be at least %d", minRingSlots)
	case s.MaxBatchBytes+s.MaxRecordedBodyBytes > infra.MaxValueBytes*3/4:
		return Error.New("batch bytes plus recorded body bytes must be at most 3/4 of the store's value limit of %d bytes", infra.MaxValueBytes)
	case s.SegmentBytes > infra.MaxValueBytes/2:
		return Error.New("segment bytes must be at most half of the store's value limit of %d bytes", infra.MaxValueBytes)
	}
	return nil
}

// Config holds the dependencies and settings of a Service. Logger, Now, Rand and
// Registerer are optional.
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
