package member

import (
	"time"

	"github.com/galenaseam/galenaseam/internal/defaults"
)

// Timing holds the intervals and limits of the protocol. Zero fields are set to
// the defaults.
type Timing struct {
	// Tick is the interval at which the protocol's timers are checked.
	Tick time.Duration
	// ProbeInterval is how often a host probes another.
	ProbeInterval time.Duration
	// DirectTimeout is how long after a ping without an ack other hosts are asked to
	// ping the target.
	DirectTimeout time.Duration
	// ProbeTimeout is how long after its first ping a probe without an ack fails.
	ProbeTimeout time.Duration
	// GossipInterval is the interval between gossip rounds.
	GossipInterval time.Duration
	// SuspicionMin and SuspicionMax bound the time from the first suspicion of a
	// host to its declaration as dead.
	SuspicionMin time.Duration
	SuspicionMax time.Duration
	// RecentlyHeard is how long after a datagram from another host the claims of
	// third hosts that it is suspect or dead are not believed.
	RecentlyHeard time.Duration
	// PauseThreshold is the gap between two ticks above which the process counts as
	// paused.
	PauseThreshold time.Duration
	// MaxAge is the largest accepted difference between the time at which a datagram
	// was sent, by the sender's clock, and the local clock.
	MaxAge time.Duration
	// CentreTimeout is how long after its last heartbeat a data centre counts as
	// unreachable.
	CentreTimeout time.Duration
	// DeadRetention is how long dead hosts are remembered. It is also how long a
	// suspected host stays suspect if too few hosts confirm the suspicion, and how
	// long the hosts of an unreachable data centre are kept.
	DeadRetention time.Duration
	// FactTTL is how long after its publication a fact expires.
	FactTTL time.Duration
	// GossipBytesPerSecond bounds the gossip that a host sends. Probes and state
	// transfers are not counted, and urgent facts have a budget of their own.
	GossipBytesPerSecond float64
	// MaxFullScopeHosts is the largest fleet in which every host monitors every
	// other. In larger ones, hosts monitor their own data centre.
	MaxFullScopeHosts int
}

// DefaultTiming returns the values used unless set otherwise.
func DefaultTiming() Timing {
	return Timing{
		Tick:                 100 * time.Millisecond,
		ProbeInterval:        time.Second,
		DirectTimeout:        300 * time.Millisecond,
		ProbeTimeout:         900 * time.Millisecond,
		GossipInterval:       200 * time.Millisecond,
		SuspicionMin:         2 * time.Second,
		SuspicionMax:         10 * time.Second,
		RecentlyHeard:        1500 * time.Millisecond,
		PauseThreshold:       time.Second,
		MaxAge:               time.Minute,
		CentreTimeout:        30 * time.Second,
		DeadRetention:        10 * time.Minute,
		FactTTL:              30 * time.Minute,
		GossipBytesPerSecond: 3000,
		MaxFullScopeHosts:    64,
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
	defaults.Set(&t.PauseThreshold, standard.PauseThreshold)
	defaults.Set(&t.MaxAge, standard.MaxAge)
	defaults.Set(&t.CentreTimeout, standard.CentreTimeout)
	defaults.Set(&t.DeadRetention, standard.DeadRetention)
	defaults.Set(&t.FactTTL, standard.FactTTL)
	defaults.Set(&t.GossipBytesPerSecond, standard.GossipBytesPerSecond)
	defaults.Set(&t.MaxFullScopeHosts, standard.MaxFullScopeHosts)
}
