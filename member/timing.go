package member

import (
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
)

// Timing holds the times and sizes of the protocol. Zero fields take the
// defaults.
type Timing struct {
	// Tick is how often the protocol looks at the clock.
	Tick time.Duration
	// ProbeInterval is how often a host probes another.
	ProbeInterval time.Duration
	// DirectTimeout is when an unanswered probe is tried through others.
	DirectTimeout time.Duration
	// ProbeTimeout is when a probe has failed.
	ProbeTimeout time.Duration
	// GossipInterval is how often news is passed on.
	GossipInterval time.Duration
	// SuspicionMin and SuspicionMax bound the time from suspicion to death.
	SuspicionMin time.Duration
	SuspicionMax time.Duration
	// RecentlyHeard is how long a host trusts a datagram from another over
	// what third hosts say of it.
	RecentlyHeard time.Duration
	// PauseAfter is the gap between two ticks that is taken for a pause of the
	// process.
	PauseAfter time.Duration
	// MaxAge bounds the difference between a sender's clock and the own one.
	MaxAge time.Duration
	// CentreSilence is when a data centre without sign of life counts as out
	// of reach.
	CentreSilence time.Duration
	// KeepDead is how long the dead are remembered, and how long a host that
	// no one can confirm as dead stays suspect.
	KeepDead time.Duration
	// FactTTL is how long a fact lives after its publication.
	FactTTL time.Duration
	// BytesPerSecond bounds the news that a host sends, probes apart.
	BytesPerSecond float64
	// DetailLimit is the largest fleet in which every host watches every
	// other; in larger ones hosts watch their own data centre.
	DetailLimit int
}

// DefaultTiming returns the values used unless set otherwise.
func DefaultTiming() Timing {
	return Timing{
		Tick:           100 * time.Millisecond,
		ProbeInterval:  time.Second,
		DirectTimeout:  300 * time.Millisecond,
		ProbeTimeout:   900 * time.Millisecond,
		GossipInterval: 200 * time.Millisecond,
		SuspicionMin:   2 * time.Second,
		SuspicionMax:   10 * time.Second,
		RecentlyHeard:  1500 * time.Millisecond,
		PauseAfter:     time.Second,
		MaxAge:         time.Minute,
		CentreSilence:  30 * time.Second,
		KeepDead:       10 * time.Minute,
		FactTTL:        30 * time.Minute,
		BytesPerSecond: 3000,
		DetailLimit:    64,
	}
}

func (t *Timing) fillDefaults() {
	standard := DefaultTiming()
	defaults.Set(&t.Tick, standard.Tick)
	defaults.Set(&t.ProbeInterval, standard.ProbeInterval)
	defaults.Set(&t.DirectTimeout, standard.DirectTimeout)
	defaults.Set(&t.ProbeTimeout, standard.ProbeTimeout)
	defaults.Set(&t.GossipInterval, standard.GossipInterval)
	defaults.Set(&t.SuspicionMin, standard.SuspicionMin)
	defaults.Set(&t.SuspicionMax, standard.SuspicionMax)
	defaults.Set(&t.RecentlyHeard, standard.RecentlyHeard)
	defaults.Set(&t.PauseAfter, standard.PauseAfter)
	defaults.Set(&t.MaxAge, standard.MaxAge)
	defaults.Set(&t.CentreSilence, standard.CentreSilence)
	defaults.Set(&t.KeepDead, standard.KeepDead)
	defaults.Set(&t.FactTTL, standard.FactTTL)
	defaults.Set(&t.BytesPerSecond, standard.BytesPerSecond)
	defaults.Set(&t.DetailLimit, standard.DetailLimit)
}
