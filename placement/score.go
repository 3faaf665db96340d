package placement

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// engineScore is the score of an engine for a request in its parts, in prompt tokens to read,
// and what they follow from. The engine with the lowest total is chosen.
type engineScore struct {
	wait   float64 // seconds until the first event
	unread int     // tokens of the prompt that the engine would read
	cached int     // tokens of the prompt that it has cached
	queued int     // tokens of other prompts that it has yet to read
	// running and pace are how many requests the engine runs, and how long work takes there.
	running int
	pace    float64

	reading float64 // wait in tokens, and the penalty for a late first event
	reread  float64
	// rereadTokens is how many tokens of shared parts the engine would read although another one
	// has them.
	rereadTokens int
	share        float64 // penalty for more requests than the engine's share
	errors       float64
	nonHome      float64
	full         float64
	warmup       float64
	remote       float64 // inputs from other data centres
}

func (s engineScore) total() float64 {
	return s.reading + s.reread + s.errors + s.nonHome + s.full + s.warmup + s.remote + s.share
}

// scoreAll calls visit with the score of each engine that may be chosen, and exclude, which may
// be nil, with each other engine that was listed and the reason. wait is as in withRoom.
func (t *tracker) scoreAll(now time.Time, all []instance.Status, limits Limits, need Need, visit func(instance.Status, engineScore), exclude func(s instance.Status, reason string)) (wait time.Duration) {
	if exclude == nil {
		exclude = func(instance.Status, string) {}
	}
	t.expire(now)
	t.dropMissing(all)
	all = instance.OfVersion(all, need.Version)
	chain := prefixChain(need.Parts)
	withRoom, wait := t.withRoom(now, all, limits, exclude)
	engines, mostShared := t.candidates(withRoom, limits, chain, need.Parts)
	shared := sharedTokens(need.Parts)
	joinEngines(now, engines, withRoom)
	t.current = t.shares(now, engines, withRoom)
	held := t.holdingOf(sharedHash(chain), engines, withRoom, shared)
	homes := homeEngines(all, chain, held.wanted)
	healthy := hasHealthyUntried(withRoom, need.Tried)
	for i, s := range withRoom {
		switch {
		case contains(need.Tried, s.ID):
			exclude(s, excludedTried)
			continue
		case s.Ejected && healthy:
			exclude(s, excludedEjected)
			continue
		}
		e := engines[i]
		score := t.score(now, s, e, limits, need)
		score.rereadTokens = max(mostShared-min(e.cached, shared), 0)
		if !held.more {
			score.reread = t.rereadWeight * float64(score.rereadTokens)
		}
		if t.byDemand {
			score.share = t.current.penalty(e)
		}
		if !e.holds && !contains(homes, s.ID) {
			score.nonHome = nonHomePenalty
		}
		visit(s, score)
	}
	return wait
}

// score returns the part of an engine's score that does not depend on the other engines.
func (t *tracker) score(now time.Time, s instance.Status, e candidate, limits Limits, need Need) engineScore {
	score := engineScore{
		unread: need.Tokens - e.cached, cached: e.cached, queued: e.unreadTokens, running: e.running,
		pace: t.pace(e.process, now), errors: errorRatePenalty * s.ErrorRate * s.ErrorRate,
		warmup: e.intake.penalty(s.Cold, limits.WarmupPerSecond),
	}
	score.wait = float64(e.unreadTokens+score.unread+runningRequestPenalty*e.running) / (e.readRate / score.pace)
	score.reading = defaultReadRate * (score.wait + need.latePenalty(score.wait))
	if e.running >= limits.Concurrency || float64(e.memoryTokens+need.Tokens+need.ExpectedOutputTokens) > runningMemoryFraction*float64(limits.CacheTokens) {
		score.full = fullEnginePenalty
	}
	for centre, bytes := range need.Inputs {
		if centre != s.DataCentre {
			score.remote += float64(bytes) / remoteBytesPerToken
		}
	}
	return score
}
