package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// PartSettings configure a PartLedger. Zero fields take their defaults.
type PartSettings struct {
	// LossesToCondemn is how many independent losses condemn a part.
	LossesToCondemn int
	// LossesToCondemnTied is how many condemn parts with the same number of losses,
	// between which the evidence does not decide yet.
	LossesToCondemnTied int
	// MinSeparation is the least time between two losses that count as
	// independent: upstreams that fail together were not all lost to one part.
	MinSeparation time.Duration
	// SettleTime is how long evidence waits for other hosts' objections.
	SettleTime time.Duration
	// AnswerGrace is how long after an answer to a request with a part the part
	// is not condemned.
	AnswerGrace time.Duration
	// LossTTL is how long a loss counts as evidence.
	LossTTL time.Duration
	// CondemnedTTL is how long requests with a condemned part are refused. One
	// loss condemns the part again afterwards.
	CondemnedTTL time.Duration
	// MaxParts bounds the parts that are tracked.
	MaxParts int
}

// DefaultPartSettings returns the settings for a fleet of up to a few hundred hosts.
func DefaultPartSettings() PartSettings {
	return PartSettings{
		LossesToCondemn:     3,
		LossesToCondemnTied: 5,
		MinSeparation:       100 * time.Millisecond,
		SettleTime:          500 * time.Millisecond,
		AnswerGrace:         2 * time.Second,
		LossTTL:             10 * time.Minute,
		CondemnedTTL:        10 * time.Minute,
		MaxParts:            10_000,
	}
}

// Strength is how strongly a loss speaks against the parts of a request.
type Strength uint8

// The strengths of a loss.
const (
	// Weak: the upstream had not begun to answer the request, or had just begun to
	// send events.
	Weak Strength = iota + 1
	// Strong: the upstream had begun to answer and sent no event.
	Strong
)

// PartLoss is an upstream that was lost while it had a request with a part of a
// prompt.
type PartLoss struct {
	Part     string
	Upstream upstream.ID
	At       time.Time
	Strength Strength
}

// recordedLoss is a loss and when this host learned of it.
type recordedLoss struct {
	PartLoss
	recordedAt time.Time
}

// suspectPart is the evidence against one part of prompts.
type suspectPart struct {
	id             string
	losses         []recordedLoss // since the last answer, one for each upstream
	condemnedUntil time.Time
	// condemnedBefore means that the part was condemned and not answered since.
	condemnedBefore bool
}

// maxLossesPerPart bounds the losses kept for one part.
const maxLossesPerPart = 16

// PartDecision is what may be done with a request because of its parts.
type PartDecision uint8

// The decisions.
const (
	// PartsAllowed: the request may run.
	PartsAllowed PartDecision = iota
	// PartsHeld: the evidence against a part has not settled. The request has to
	// wait until a time, and is then checked again.
	PartsHeld
	// PartsRefused: a part is condemned until a time.
	PartsRefused
)

// PartVerdict is a decision and the part that caused it.
type PartVerdict struct {
	Decision PartDecision
	Part     string
	Until    time.Time
	// Losses are those that have just condemned the part; empty if it was
	// condemned before.
	Losses []PartLoss
}

// PartLedger evaluates the losses and answers that this host saw or was told of. It
// finds the parts of prompts that crash upstreams, whatever else the requests with
// them hold. A part in several independent losses is condemned, unless
//   - a request with it was answered since,
//   - the upstream had begun to answer a request without it when it was lost, or
//   - another part, which is condemned, explains the loss.
//
// It is not safe for concurrent use.
type PartLedger struct {
	settings PartSettings
	suspects map[string]*suspectPart
	// answers are the times of the newest answers to requests with a part.
	answers map[string]time.Time
	// strongest is the strongest loss of each upstream, whatever the part.
	strongest map[upstream.ID]PartLoss
	prunedAt  time.Time
}

// NewPartLedger creates an empty ledger.
func NewPartLedger(settings PartSettings) *PartLedger {
	d := DefaultPartSettings()
	settings.LossesToCondemn = cmp.Or(settings.LossesToCondemn, d.LossesToCondemn)
	settings.LossesToCondemnTied = cmp.Or(settings.LossesToCondemnTied, d.LossesToCondemnTied)
	settings.MinSeparation = cmp.Or(settings.MinSeparation, d.MinSeparation)
	settings.SettleTime = cmp.Or(settings.SettleTime, d.SettleTime)
	settings.AnswerGrace = cmp.Or(settings.AnswerGrace, d.AnswerGrace)
	settings.LossTTL = cmp.Or(settings.LossTTL, d.LossTTL)
	settings.CondemnedTTL = cmp.Or(settings.CondemnedTTL, d.CondemnedTTL)
	settings.MaxParts = cmp.Or(settings.MaxParts, d.MaxParts)
	return &PartLedger{settings: settings, suspects: make(map[string]*suspectPart), answers: make(map[string]time.Time), strongest: make(map[upstream.ID]PartLoss)}
}

// Check returns what may be done with a request that has these parts.
func (l *PartLedger) Check(now time.Time, ids []string) PartVerdict {
	held := PartVerdict{}
	for _, id := range ids {
		p := l.suspects[id]
		if p == nil {
			continue
		}
		if now.Before(p.condemnedUntil) {
			return PartVerdict{Decision: PartsRefused, Part: id, Until: p.condemnedUntil}
		}
		if len(p.losses) == 0 || l.answeredLately(now, id) {
			continue
		}
		if losses, condemned := l.condemns(now, p); condemned {
			p.condemn(now.Add(l.settings.CondemnedTTL))
			return PartVerdict{Decision: PartsRefused, Part: id, Until: p.condemnedUntil, Losses: losses}
		}
		if until := l.heldUntil(now, p); until.After(now) && until.After(held.Until) {
			held = PartVerdict{Decision: PartsHeld, Part: id, Until: until}
		}
	}
	return held
}

// answeredLately reports whether a request with a part was answered a moment ago.
func (l *PartLedger) answeredLately(now time.Time, id string) bool {
	return now.Sub(l.answers[id]) < l.settings.AnswerGrace
}

// condemns reports whether the settled evidence condemns a part, and returns it.
func (l *PartLedger) condemns(now time.Time, p *suspectPart) ([]PartLoss, bool) {
	settled := now.Add(-l.settings.SettleTime)
	losses := l.independentLosses(now, p, settled)
	switch n := len(losses); {
	case p.condemnedBefore && n > 0:
		return losses, true
	case n < l.settings.LossesToCondemn:
		return nil, false
	}
	switch l.rival(now, p) {
	case likelierCause:
		return nil, false
	case equalCause:
		// By then an answer to a request with one of the parts is known here.
		losses = l.independentLosses(now, p, now.Add(-l.settings.AnswerGrace))
		return losses, len(losses) >= l.settings.LossesToCondemnTied
	}
	return losses, true
}

// rivalry is how another part compares with one as the cause of the same losses.
type rivalry uint8

const (
	noRival rivalry = iota
	equalCause
	likelierCause
)

// rival returns how the strongest rival of a part compares with it: a part in as many
// losses, some of them the same. Of two such parts, the one that was answered longer ago,
// or never, is the likelier cause. Losses that are not independent count too: they tell
// the parts apart as well as others.
func (l *PartLedger) rival(now time.Time, p *suspectPart) rivalry {
	count := len(l.eligibleLosses(now, p, now))
	strongest := noRival
	for _, other := range l.suspects {
		if other == p || !shareLosses(p, other) || l.answers[other.id].After(l.answers[p.id]) {
			continue
		}
		if len(l.eligibleLosses(now, other, now)) < count {
			continue
		}
		if l.answers[other.id].Before(l.answers[p.id]) {
			return likelierCause
		}
		strongest = equalCause
	}
	return strongest
}

// shareLosses reports whether an upstream was lost with both parts.
func shareLosses(a, b *suspectPart) bool {
	return slices.ContainsFunc(a.losses, func(loss recordedLoss) bool { return b.lostOn(loss.Upstream) })
}

func (p *suspectPart) lostOn(id upstream.ID) bool {
	return slices.ContainsFunc(p.losses, func(loss recordedLoss) bool { return loss.Upstream == id })
}

func (p *suspectPart) condemn(until time.Time) { p.condemnedUntil, p.condemnedBefore = until, true }

// heldUntil returns until when a request with a part has to wait: there is nearly
// enough evidence against it, and the newest may still be objected to.
func (l *PartLedger) heldUntil(now time.Time, p *suspectPart) time.Time {
	if len(l.independentLosses(now, p, now)) < l.settings.LossesToCondemn-1 {
		return time.Time{}
	}
	newest := slices.MaxFunc(p.losses, func(a, b recordedLoss) int { return a.recordedAt.Compare(b.recordedAt) })
	return newest.recordedAt.Add(l.settings.SettleTime)
}

// independentLosses returns the losses that count against a part, of those that were
// recorded by a time, without those at the same time as others.
func (l *PartLedger) independentLosses(now time.Time, p *suspectPart, recordedBy time.Time) []PartLoss {
	var counted []PartLoss
	for _, loss := range l.eligibleLosses(now, p, recordedBy) {
		if !slices.ContainsFunc(counted, func(c PartLoss) bool { return c.At.Sub(loss.At).Abs() < l.settings.MinSeparation }) {
			counted = append(counted, loss)
		}
	}
	return counted
}

// eligibleLosses returns the losses of different upstreams that speak against a part and
// are not explained otherwise, of those that were recorded by a time. Where there are
// strong ones, weak ones don't count: this host may not know the request that its
// upstream had begun to answer.
func (l *PartLedger) eligibleLosses(now time.Time, p *suspectPart, recordedBy time.Time) []PartLoss {
	var all []PartLoss
	for _, loss := range p.losses {
		switch {
		case loss.recordedAt.After(recordedBy), now.Sub(loss.At) > l.settings.LossTTL:
		case loss.At.Before(p.condemnedUntil): // it has condemned the part already
		case loss.Strength < l.strongest[loss.Upstream].Strength, l.isExplained(now, loss.Upstream, p):
		default:
			all = append(all, loss.PartLoss)
		}
	}
	isStrong := func(loss PartLoss) bool { return loss.Strength == Strong }
	if slices.ContainsFunc(all, isStrong) {
		all = slices.DeleteFunc(all, func(loss PartLoss) bool { return !isStrong(loss) })
	}
	return all
}

// isExplained reports whether an upstream was lost with a condemned part other than
// the given one, which may be nil.
func (l *PartLedger) isExplained(now time.Time, id upstream.ID, except *suspectPart) bool {
	for _, other := range l.suspects {
		if other != except && now.Before(other.condemnedUntil) && other.lostOn(id) {
			return true
		}
	}
	return false
}

// RecordLoss records a loss. It returns false if the loss is known or says nothing
// against the part, because a request with it was answered later.
func (l *PartLedger) RecordLoss(now time.Time, loss PartLoss) bool {
	l.prune(now)
	if !loss.At.After(l.answers[loss.Part]) || now.Sub(loss.At) > l.settings.LossTTL {
		return false
	}
	if loss.Strength > l.strongest[loss.Upstream].Strength {
		l.strongest[loss.Upstream] = loss
	}
	p := l.suspect(now, loss.Part)
	for i := range p.losses {
		if known := &p.losses[i]; known.Upstream == loss.Upstream {
			if loss.Strength <= known.Strength {
				return false
			}
			known.Strength, known.recordedAt = loss.Strength, now
			return true
		}
	}
	if len(p.losses) >= maxLossesPerPart {
		p.losses = p.losses[1:]
	}
	p.losses = append(p.losses, recordedLoss{PartLoss: loss, recordedAt: now})
	return true
}

// RecordAnswer records that a request with a part was answered: the part does not
// crash upstreams. It returns true if that ends earlier evidence or a condemnation.
func (l *PartLedger) RecordAnswer(now time.Time, id string, at time.Time) bool {
	l.prune(now)
	if !at.After(l.answers[id]) {
		return false
	}
	if _, known := l.answers[id]; !known && len(l.answers) >= l.settings.MaxParts {
		dropAny(l.answers)
	}
	l.answers[id] = at
	p := l.suspects[id]
	if p == nil {
		return false
	}
	before := len(p.losses)
	p.losses = slices.DeleteFunc(p.losses, func(loss recordedLoss) bool { return !loss.At.After(at) })
	released := now.Before(p.condemnedUntil)
	p.condemnedUntil, p.condemnedBefore = time.Time{}, false
	return released || len(p.losses) < before
}

// Answered returns when a request with a part was last answered; the zero time if
// that was long ago or never.
func (l *PartLedger) Answered(id string) time.Time { return l.answers[id] }

// Condemn refuses requests with a part until a time, because another host does. It
// returns false if they are refused already. objection is true if this host knows of
// an answer to a request with the part since the other host's decision.
func (l *PartLedger) Condemn(now time.Time, id string, until time.Time) (condemned, objection bool) {
	decidedAt := until.Add(-l.settings.CondemnedTTL)
	if l.answeredLately(now, id) || l.answers[id].After(decidedAt) {
		return false, true
	}
	p := l.suspect(now, id)
	if !now.Before(until) || now.Before(p.condemnedUntil) {
		return false, false
	}
	p.condemn(earlier(until, now.Add(l.settings.CondemnedTTL)))
	return true, false
}

// Explains reports whether an upstream was lost with a condemned part.
func (l *PartLedger) Explains(now time.Time, id upstream.ID) bool { return l.isExplained(now, id, nil) }

// Condemned returns the condemned parts and until when.
func (l *PartLedger) Condemned(now time.Time) map[string]time.Time {
	all := make(map[string]time.Time)
	for id, p := range l.suspects {
		if now.Before(p.condemnedUntil) {
			all[id] = p.condemnedUntil
		}
	}
	return all
}

// Losses returns the losses that may count against parts, in no particular order.
func (l *PartLedger) Losses() []PartLoss {
	var all []PartLoss
	for _, p := range l.suspects {
		for _, loss := range p.losses {
			all = append(all, loss.PartLoss)
		}
	}
	return all
}

// suspect returns the record of a part, which it creates if there is none.
func (l *PartLedger) suspect(now time.Time, id string) *suspectPart {
	p := l.suspects[id]
	if p == nil {
		if len(l.suspects) >= l.settings.MaxParts {
			l.evict(now)
		}
		p = &suspectPart{id: id}
		l.suspects[id] = p
	}
	return p
}

// evict makes room for a suspect. It drops one that is not condemned if there is any.
func (l *PartLedger) evict(now time.Time) {
	for id, p := range l.suspects {
		if !now.Before(p.condemnedUntil) {
			delete(l.suspects, id)
			return
		}
	}
	dropAny(l.suspects)
}

// dropAny removes one entry of a map.
func dropAny[V any](all map[string]V) {
	for id := range all {
		delete(all, id)
		return
	}
}

const (
	// partPruneInterval is the least time between two removals of expired records.
	partPruneInterval = time.Second
	// answerMemory is how long an answer is remembered. It is longer than a report of
	// an earlier loss takes to arrive.
	answerMemory = 30 * time.Second
)

// prune removes what has expired.
func (l *PartLedger) prune(now time.Time) {
	if now.Sub(l.prunedAt) < partPruneInterval {
		return
	}
	l.prunedAt = now
	maps.DeleteFunc(l.answers, func(_ string, at time.Time) bool { return now.Sub(at) > answerMemory })
	maps.DeleteFunc(l.strongest, func(_ upstream.ID, loss PartLoss) bool { return now.Sub(loss.At) > l.settings.LossTTL })
	maps.DeleteFunc(l.suspects, func(_ string, p *suspectPart) bool {
		p.losses = slices.DeleteFunc(p.losses, func(loss recordedLoss) bool { return now.Sub(loss.At) > l.settings.LossTTL })
		return len(p.losses) == 0 && now.Sub(p.condemnedUntil) > l.settings.CondemnedTTL
	})
}
