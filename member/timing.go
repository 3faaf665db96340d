package member

import "time"

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
	setDefault(&t.Tick, standard.Tick)
	setDefault(&t.ProbeInterval, standard.ProbeInterval)
	setDefault(&t.DirectTimeout, standard.DirectTimeout)
	setDefault(&t.ProbeTimeout, standard.ProbeTimeout)
	setDefault(&t.GossipInterval, standard.GossipInterval)
	setDefault(&t.SuspicionMin, standard.SuspicionMin)
	setDefault(&t.SuspicionMax, standard.SuspicionMax)
	setDefault(&t.RecentlyHeard, standard.RecentlyHeard)
	setDefault(&t.PauseAfter, standard.PauseAfter)
	setDefault(&t.MaxAge, standard.MaxAge)
	setDefault(&t.CentreSilence, standard.CentreSilence)
	setDefault(&t.KeepDead, standard.KeepDead)
	setDefault(&t.FactTTL, standard.FactTTL)
	setDefault(&t.BytesPerSecond, standard.BytesPerSecond)
	setDefault(&t.DetailLimit, standard.DetailLimit)
}

func setDefault[T comparable](value *T, standard T) {
	var zero T
	if *value == zero {
		*value = standard
	}
}
