package experiment

import "github.com/galenaseam/galenaseam/policy"

// Variant is a configuration of the policy that a grid compares with others.
type Variant struct {
	Name     string
	Settings policy.Settings
	// Baseline marks a plain load balancer.
	Baseline bool
}

// FullPolicy is the policy with every part enabled.
func FullPolicy() Variant { return Variant{Name: "whole", Settings: policy.Defaults()} }

// Baselines returns the plain load balancers.
func Baselines() []Variant {
	var all []Variant
	for _, choice := range []policy.Choice{
		policy.ChoiceRandom, policy.ChoiceRoundRobin, policy.ChoiceLeastInFlight, policy.ChoiceTwoChoices,
	} {
		all = append(all, Variant{Name: string(choice), Settings: policy.Baseline(choice), Baseline: true})
	}
	return all
}

// Ablations returns variants of the full policy, each with one part disabled.
func Ablations() []Variant {
	without := func(name string, off func(*policy.Settings)) Variant {
		s := policy.Defaults()
		off(&s)
		return Variant{Name: "no " + name, Settings: s}
	}
	return []Variant{
		without("admission", func(s *policy.Settings) { s.Admission = false }),
		without("budgets", func(s *policy.Settings) { s.Budgets = false }),
		without("queueing", func(s *policy.Settings) { s.Queueing = false }),
		without("fairness", func(s *policy.Settings) { s.Fairness = false }),
		without("adaptive limits", func(s *policy.Settings) { s.AdaptiveLimits = false }),
		without("load reports", func(s *policy.Settings) { s.LoadReports = false }),
		without("nearness", func(s *policy.Settings) { s.Nearness = false }),
		without("affinity", func(s *policy.Settings) { s.Affinity = false }),
		without("outliers", func(s *policy.Settings) { s.Outliers = false }),
		without("retry budgets", func(s *policy.Settings) { s.RetryBudgets = false }),
		without("priorities", func(s *policy.Settings) { s.Priorities = false }),
		without("hedges", func(s *policy.Settings) { s.Hedges = false }),
		without("fallbacks", func(s *policy.Settings) { s.Fallbacks = false }),
	}
}
