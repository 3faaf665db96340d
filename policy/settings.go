package policy

import "time"

// Choice is an algorithm for choosing among the upstreams of a pool.
type Choice string

// ChoiceScore is the policy's own algorithm. The others are baselines for
// comparison.
const (
	ChoiceScore         Choice = "score"
	ChoiceRandom        Choice = "random"
	ChoiceRoundRobin    Choice = "round_robin"
	ChoiceLeastInFlight Choice = "least_in_flight"
	ChoiceTwoChoices    Choice = "two_choices"
)

// Settings switches the parts of the policy on and off and sets their
// parameters.
type Settings struct {
	Choice Choice `yaml:"choice"`
	// Admission refuses requests that can't finish by their deadlines before
	// any stage runs.
	Admission bool `yaml:"admission"`
	// Budgets bounds each stage so that the later stages can still finish by
	// the deadline.
	Budgets bool `yaml:"budgets"`
	// Queueing holds calls at the host, ordered by class, fairness and expiry.
	// Without it every call goes to an upstream at once.
	Queueing bool `yaml:"queueing"`
	// Fairness divides queues between workspaces. Without it a class is ordered
	// by expiry alone.
	Fairness bool `yaml:"fairness"`
	// AdaptiveLimits adjusts how many calls this host runs on a pool at once.
	AdaptiveLimits bool `yaml:"adaptive_limits"`
	// LoadReports takes into account the load that other hosts put on an
	// upstream.
	LoadReports bool `yaml:"load_reports"`
	// Nearness prefers upstreams in the host's data centre, then in its region.
	Nearness bool `yaml:"nearness"`
	// Affinity prefers engines that probably have the prompt's prefix cached.
	Affinity bool `yaml:"affinity"`
	// Outliers sets aside upstreams that are slower or fail more than the rest
	// of the pool.
	Outliers bool `yaml:"outliers"`
	// RetryBudgets bounds retries by budgets. Without them only MaxAttempts
	// bounds retries.
	RetryBudgets bool `yaml:"retry_budgets"`
	// Priorities sends engines the class priority of each call, by which they
	// order their own queues. Classes above the lowest may then exceed the
	// host's limit.
	Priorities bool `yaml:"priorities"`
	// Hedges allows a second copy of slow idempotent calls.
	Hedges bool `yaml:"hedges"`
	// Fallbacks uses a stage's declared fallback when time runs short.
	Fallbacks bool `yaml:"fallbacks"`

	// MaxAttempts bounds the attempts of one stage that may have reached an upstream, including
	// the first.
	MaxAttempts int `yaml:"max_attempts"`
	// PoolRetryShare is the ratio of retries and hedges to first attempts that
	// a pool's budget allows over all classes.
	PoolRetryShare float64 `yaml:"pool_retry_share"`
	// MaxQueue bounds the calls that wait for one pool.
	MaxQueue int `yaml:"max_queue"`
	// ProbeEvery is the minimum time between probes of an upstream that is set
	// aside, and between requests admitted to probe a pipeline that admission
	// refuses.
	ProbeEvery time.Duration `yaml:"probe_every"`
}

// Defaults returns settings with every part of the policy on.
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

// Baseline returns the settings of a plain load balancer: one way to choose and
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
