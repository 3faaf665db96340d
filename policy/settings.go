package policy

import "time"

// Choice is a way to choose among the upstreams of a pool.
type Choice string

// The ways to choose. All but ChoiceScore are baselines.
const (
	ChoiceScore         Choice = "score"
	ChoiceRandom        Choice = "random"
	ChoiceRoundRobin    Choice = "round_robin"
	ChoiceLeastInFlight Choice = "least_in_flight"
	ChoiceTwoChoices    Choice = "two_choices"
)

// Settings switches the parts of the policy and sets their constants.
type Settings struct {
	Choice Choice `yaml:"choice"`
	// Admission refuses before anything runs what can't finish in time.
	Admission bool `yaml:"admission"`
	// Budgets ends a stage when the later stages could no longer finish.
	Budgets bool `yaml:"budgets"`
	// Queueing keeps calls at the host, ordered by class, fairness and slack;
	// without it calls go to an upstream at once.
	Queueing bool `yaml:"queueing"`
	// Fairness shares queues between workspaces; without it a class is
	// ordered by slack alone.
	Fairness bool `yaml:"fairness"`
	// AdaptiveLimits learns how many calls a pool takes from this host.
	AdaptiveLimits bool `yaml:"adaptive_limits"`
	// LoadReports counts the load that other hosts put on an upstream.
	LoadReports bool `yaml:"load_reports"`
	// Nearness prefers upstreams of the own data centre, then region.
	Nearness bool `yaml:"nearness"`
	// Affinity prefers engines that have the prompt's prefix cached.
	Affinity bool `yaml:"affinity"`
	// Outliers sets aside upstreams that do worse than their peers.
	Outliers bool `yaml:"outliers"`
	// RetryBudgets bounds retries; without them only attempts are counted.
	RetryBudgets bool `yaml:"retry_budgets"`
	// Priorities tells engines each call's class priority, which they honour
	// in their own queues, and lets the higher classes exceed the host's limit
	// there.
	Priorities bool `yaml:"priorities"`
	// Hedges allows second copies of slow idempotent calls.
	Hedges bool `yaml:"hedges"`
	// Fallbacks takes a stage's declared fallback when time runs short.
	Fallbacks bool `yaml:"fallbacks"`

	// MaxAttempts bounds the attempts of one stage, the first included.
	MaxAttempts int `yaml:"max_attempts"`
	// PoolRetryShare is the share of a pool's calls that may be retries and
	// hedges, over all classes.
	PoolRetryShare float64 `yaml:"pool_retry_share"`
	// MaxQueue bounds the calls that wait for one pool.
	MaxQueue int `yaml:"max_queue"`
	// ProbeEvery is the shortest time between probes of an upstream that is
	// set aside, and between requests that test a refused pipeline.
	ProbeEvery time.Duration `yaml:"probe_every"`
}

// Defaults returns the whole policy, with every part on.
func Defaults() Settings {
	return Settings{
		Choice:         ChoiceScore,
		Admission:      true,
		Budgets:        true,
		Queueing:       true,
		Fairness:       true,
		AdaptiveLimits: true,
		LoadReports:    true,
		Nearness:       true,
		Affinity:       true,
		Outliers:       true,
		RetryBudgets:   true,
		Priorities:     true,
		Hedges:         true,
		Fallbacks:      true,
		MaxAttempts:    3,
		PoolRetryShare: 0.2,
		MaxQueue:       4096,
		ProbeEvery:     250 * time.Millisecond,
	}
}

// Baseline returns a plain balancer: one way to choose, and nothing else but
// a bound on attempts.
func Baseline(choice Choice) Settings {
	full := Defaults()
	return Settings{
		Choice:         choice,
		MaxAttempts:    full.MaxAttempts,
		PoolRetryShare: full.PoolRetryShare,
		MaxQueue:       full.MaxQueue,
		ProbeEvery:     full.ProbeEvery,
	}
}
