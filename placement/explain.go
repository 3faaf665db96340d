package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/explain"
)

// The reasons for which an engine that may get work is not chosen.
const (
	excludedTried   = "tried or withheld"
	excludedEjected = "ejected"
	excludedCold    = "cold without room"
)

// Explain returns what the owner of a service chooses an engine by, as far as this host has
// tracked it. Nothing is counted.
func (p *Placer) Explain(need Need, now time.Time) (c explain.Choice) {
	service, known := p.config.Service(need.Service)
	if !known || service.Engine == nil {
		return explain.NewChoice()
	}
	all := p.config.Engines.ServiceOfFleet(need.Service, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.trackers[need.Service]
	if t == nil {
		t = p.newTracker()
	}
	return t.explain(now, all, limitsOf(service), need)
}

// ExplainAlone returns what this host chooses an engine by if it can't ask the owner.
func (p *Placer) ExplainAlone(need Need, now time.Time) explain.Choice {
	return balance.ExplainEngine(p.config.Engines.Service(need.Service, now), p.aloneNeed(need))
}

// explain returns the scores of the engines, the lowest first. It leaves the tracker as it is.
func (t *tracker) explain(now time.Time, all []instance.Status, limits Limits, need Need) (c explain.Choice) {
	type scored struct {
		instance.Status
		engineScore
	}
	var scores []scored
	c = explain.NewChoice()
	wait := t.clone().scoreAll(now, all, limits, need, func(s instance.Status, score engineScore) {
		scores = append(scores, scored{s, score})
	}, func(s instance.Status, reason string) {
		switch reason {
		case excludedEjected:
			c.Excluded = append(c.Excluded, explain.ExcludeEjected(s))
		case excludedTried: // the host that withholds it knows the reason
		default:
			c.Excluded = append(c.Excluded, explain.Exclude(s, reason))
		}
	})
	if wait > 0 {
		c.Figures = []explain.Figure{explain.Ms("next_cold_room_ms", wait)}
	}
	slices.SortStableFunc(scores, func(a, b scored) int { return cmp.Compare(a.total(), b.total()) })
	for _, s := range scores {
		c.Candidates = append(c.Candidates, explain.NewCandidate(s.Status, s.figures(s.Status)...))
	}
	return c
}

// figures returns the score and its parts.
func (s engineScore) figures(status instance.Status) []explain.Figure {
	return []explain.Figure{
		{Name: "score", Value: s.total()}, {Name: "wait_ms", Value: s.wait * 1000}, {Name: "running", Value: float64(s.running)},
		{Name: "queued_tokens", Value: float64(s.queued)}, {Name: "unread_tokens", Value: float64(s.unread)},
		{Name: "cached_tokens", Value: float64(s.cached)}, {Name: "pace", Value: s.pace}, {Name: "error_rate", Value: status.ErrorRate},
		explain.Flag("cold", status.Cold), {Name: "score_reading", Value: s.reading}, {Name: "score_reread", Value: s.reread},
		{Name: "score_errors", Value: s.errors}, {Name: "score_not_home", Value: s.nonHome}, {Name: "score_full", Value: s.full},
		{Name: "score_warmup", Value: s.warmup}, {Name: "score_share", Value: s.share},
	}
}

// clone returns a copy whose changes do not change t. The caches are shared and must not be
// changed: the caches of a tracker change only when a request is placed.
func (t *tracker) clone() *tracker {
	c := *t
	copies := make(map[*engine]*engine, len(t.engines))
	copyOf := func(e *engine) *engine {
		if copies[e] == nil {
			copied := *e
			copies[e] = &copied
		}
		return copies[e]
	}
	c.engines = maps.Clone(t.engines)
	for id, e := range c.engines {
		c.engines[id] = copyOf(e)
	}
	c.running = maps.Clone(t.running)
	for id, r := range c.running {
		copied := *r
		copied.engine = copyOf(r.engine)
		c.running[id] = &copied
	}
	return &c
}
