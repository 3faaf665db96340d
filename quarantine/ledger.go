package quarantine

import (
	"encoding/hex"
	"maps"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Digest identifies a request by its content.
type Digest [32]byte

// displayedDigestBytes is how much of a digest is logged. It is enough to find
// the log lines of a request.
const displayedDigestBytes = 8

// String returns the first bytes of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:displayedDigestBytes]) }

// Verdict is the decision about a request.
type Verdict uint8

// The verdicts.
const (
	// Allow: there is no evidence against the request.
	Allow Verdict = iota
	// RunAlone: the request may have crashed an upstream. It may run once more,
	// on an upstream that runs nothing else at the same time.
	RunAlone
	// Refuse: the request has crashed upstreams, or is running alone on some
	// upstream now.
	Refuse
)

// String returns the lower-case name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Allow:
		return "allow"
	case RunAlone:
		return "run_alone"
	}
	return "refuse"
}

// Settings configure a Ledger. Zero fields take their defaults.
type Settings struct {
	// CorrelationWindow is the time within which losses of different upstreams
	// count as one event.
	CorrelationWindow time.Duration
	// MinSeparation is the least time between two losses that count as
	// independent.
	MinSeparation time.Duration
	// CorrelatedUpstreams is how many upstreams must be lost within one
	// CorrelationWindow for the losses to count as a failure of machines.
	CorrelatedUpstreams int
	// SuspectTTL is how long a loss counts as evidence.
	SuspectTTL time.Duration
	// CondemnedTTL is how long a condemned request is refused.
	CondemnedTTL time.Duration
	// AloneLease bounds how long a host may hold the right to run a suspect.
	AloneLease time.Duration
	// MaxDigests bounds the digests that are tracked.
	MaxDigests int
	// Explained reports whether the loss of an upstream has another cause than the
	// requests that ran there; nil means that none has.
	Explained func(upstream.ID) bool
}

// DefaultSettings returns the settings for a fleet of a few dozen hosts.
func DefaultSettings() Settings {
	return Settings{
		CorrelationWindow:   2 * time.Second,
		MinSeparation:       500 * time.Millisecond,
		CorrelatedUpstreams: 3,
		SuspectTTL:          10 * time.Minute,
		CondemnedTTL:        time.Hour,
		AloneLease:          30 * time.Second,
		MaxDigests:          10_000,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.CorrelationWindow == 0 {
		s.CorrelationWindow = d.CorrelationWindow
	}
	if s.MinSeparation == 0 {
		s.MinSeparation = d.MinSeparation
	}
	if s.CorrelatedUpstreams == 0 {
		s.CorrelatedUpstreams = d.CorrelatedUpstreams
	}
	if s.SuspectTTL == 0 {
		s.SuspectTTL = d.SuspectTTL
	}
	if s.CondemnedTTL == 0 {
		s.CondemnedTTL = d.CondemnedTTL
	}
	if s.AloneLease == 0 {
		s.AloneLease = d.AloneLease
	}
	if s.MaxDigests == 0 {
		s.MaxDigests = d.MaxDigests
	}
	if s.Explained == nil {
		s.Explained = func(upstream.ID) bool { return false }
	}
	return s
}

// Loss is an upstream that was lost while it ran a request.
type Loss struct {
	Digest   Digest
	Upstream upstream.ID
	At       time.Time
}

// suspect is the evidence against one request.
type suspect struct {
	losses []Loss // none if only the condemnation is known
	// aloneUntil is when the right to run the request alone, held by some host,
	// expires.
	aloneUntil time.Time
	// condemnedAt is when the request was condemned; zero if it was not.
	condemnedAt time.Time
	// keptUntil is until when the store keeps the condemnation.
	keptUntil time.Time
}

// maxLossesPerDigest bounds the losses kept for one digest. Two are enough to
// condemn it.
const maxLossesPerDigest = 4

// Ledger evaluates the losses that this host saw or was told of. It is not safe
// for concurrent use.
type Ledger struct {
	settings Settings
	suspects map[Digest]*suspect
	// recent are the losses under all requests within the last SuspectTTL.
	recent []Loss
	// cleared is when a suspect last ran to its end without a loss.
	cleared map[Digest]time.Time
}

// NewLedger creates an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings.withDefaults(), suspects: make(map[Digest]*suspect), cleared: make(map[Digest]time.Time)}
}

// Check returns what may be done with a request now. RunAlone also takes the
// right to run it: others are refused until Clear is called or AloneLease has
// passed.
func (l *Ledger) Check(now time.Time, d Digest) Verdict {
	s := l.suspects[d]
	if s == nil || l.isExplained(s) {
		return Allow
	}
	if now.Sub(s.condemnedAt) < l.settings.CondemnedTTL {
		return Refuse
	}
	evidence := l.evidence(now, s)
	switch {
	case evidence == 0:
		return Allow
	case now.Before(s.aloneUntil):
		return Refuse
	}
	s.aloneUntil = now.Add(l.settings.AloneLease)
	return RunAlone
}

// isExplained reports whether all losses under a suspect have another cause.
func (l *Ledger) isExplained(s *suspect) bool {
	return len(s.losses) > 0 && !slices.ContainsFunc(s.losses, func(loss Loss) bool { return !l.settings.Explained(loss.Upstream) })
}

// RecordLoss records a loss. Recording the same loss again has no effect.
func (l *Ledger) RecordLoss(now time.Time, loss Loss) {
	if s := l.suspects[loss.Digest]; s != nil && slices.ContainsFunc(s.losses, func(known Loss) bool {
		return known.Upstream == loss.Upstream && known.At.Sub(loss.At).Abs() < l.settings.CorrelationWindow
	}) {
		return
	}
	l.prune(now)
	s := l.suspect(loss.Digest)
	l.recent = append(l.recent, loss)
	if len(s.losses) < maxLossesPerDigest {
		s.losses = append(s.losses, loss)
	}
	if l.evidence(now, s) >= lossesToCondemn {
		s.condemnedAt = now
	}
}

// suspect returns what is known of a digest, and makes room for it if it is new.
func (l *Ledger) suspect(d Digest) *suspect {
	s := l.suspects[d]
	if s == nil {
		s = &suspect{}
		l.evict()
		l.suspects[d] = s
	}
	return s
}

// Condemn records that another host, or the store, says that a request is refused until a
// time.
func (l *Ledger) Condemn(now time.Time, d Digest, until time.Time) {
	if at := until.Add(-l.settings.CondemnedTTL); until.After(now) {
		s := l.suspect(d)
		s.condemnedAt = later(s.condemnedAt, earlier(at, now))
	}
}

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// lossesToCondemn is how many independent losses condemn a request.
const lossesToCondemn = 2

// MarkRunningAlone records that some host is running a suspect alone.
func (l *Ledger) MarkRunningAlone(now time.Time, d Digest) {
	if s := l.suspects[d]; s != nil {
		s.aloneUntil = now.Add(l.settings.AloneLease)
	}
}

// Clear records that a suspect ran to its end without a loss, and drops the
// evidence against it unless it is condemned.
func (l *Ledger) Clear(now time.Time, d Digest) {
	if s := l.suspects[d]; s != nil && s.condemnedAt.IsZero() {
		delete(l.suspects, d)
		if len(l.cleared) < l.settings.MaxDigests {
			l.cleared[d] = now
		}
	}
}

// evidence returns how many independent losses count against a suspect: losses
// of different upstreams at different times that are not correlated with losses
// under other requests. A request that lost many upstreams has evidence against
// it even if they were lost at the same time: when a rack fails, the losses are
// spread over many requests.
func (l *Ledger) evidence(now time.Time, s *suspect) int {
	var counted []Loss
	upstreams := make(map[upstream.ID]bool)
	for _, loss := range s.losses {
		if now.Sub(loss.At) > l.settings.SuspectTTL || l.settings.Explained(loss.Upstream) || l.isCorrelated(loss, s) {
			continue
		}
		upstreams[loss.Upstream] = true
		if independent(loss, counted, l.settings.MinSeparation) {
			counted = append(counted, loss)
		}
	}
	if len(upstreams) >= l.settings.CorrelatedUpstreams {
		return len(upstreams)
	}
	if l.hasRepeatedLosses(now, s) {
		return lossesToCondemn
	}
	if len(counted) == 0 && s.upstreamCount() > 1 {
		// Every loss was correlated with others, but losses of several
		// upstreams still make the request a suspect.
		return 1
	}
	return len(counted)
}

// upstreamCount returns the number of upstreams in the suspect's losses.
func (s *suspect) upstreamCount() int {
	seen := make(map[upstream.ID]bool)
	for _, loss := range s.losses {
		seen[loss.Upstream] = true
	}
	return len(seen)
}

// RecordLossAlone records a loss under a suspect that ran alone, and condemns
// it.
func (l *Ledger) RecordLossAlone(now time.Time, loss Loss) {
	l.RecordLoss(now, loss)
	l.suspects[loss.Digest].condemnedAt = now
}

// hasRepeatedLosses reports whether a request lost many upstreams, and not all
// at once. That is evidence even if each loss is correlated with others: an
// innocent request may be hit by the failure of one rack, but not by several in
// succession.
func (l *Ledger) hasRepeatedLosses(now time.Time, s *suspect) bool {
	upstreams := make(map[upstream.ID]bool)
	first, last := now, time.Time{}
	for _, loss := range s.losses {
		if now.Sub(loss.At) > l.settings.SuspectTTL || l.settings.Explained(loss.Upstream) {
			continue
		}
		upstreams[loss.Upstream] = true
		if loss.At.Before(first) {
			first = loss.At
		}
		if loss.At.After(last) {
			last = loss.At
		}
	}
	return len(upstreams) >= l.settings.CorrelatedUpstreams && last.Sub(first) >= l.settings.MinSeparation
}

// independent reports whether a loss is of another upstream, and at another
// time, than all those counted so far.
func independent(loss Loss, counted []Loss, minSeparation time.Duration) bool {
	for _, other := range counted {
		if other.Upstream == loss.Upstream || other.At.Sub(loss.At).Abs() < minSeparation {
			return false
		}
	}
	return true
}

// isCorrelated reports whether many upstreams were lost together with this one
// under other requests. Upstreams that were lost under the suspect as well do
// not count: the other requests only ran there at the same time.
func (l *Ledger) isCorrelated(loss Loss, s *suspect) bool {
	seen := make(map[upstream.ID]bool)
	for _, other := range l.recent {
		if other.At.Sub(loss.At).Abs() < l.settings.CorrelationWindow && other.Digest != loss.Digest {
			seen[other.Upstream] = true
		}
	}
	for _, own := range s.losses {
		delete(seen, own.Upstream)
	}
	return len(seen)+1 >= l.settings.CorrelatedUpstreams
}

// prune drops losses and suspects that have expired.
func (l *Ledger) prune(now time.Time) {
	kept := l.recent[:0]
	for _, loss := range l.recent {
		if now.Sub(loss.At) < l.settings.SuspectTTL && len(kept) < l.settings.MaxDigests {
			kept = append(kept, loss)
		}
	}
	l.recent = kept
	for d, s := range l.suspects {
		if l.expired(now, s) {
			delete(l.suspects, d)
		}
	}
	maps.DeleteFunc(l.cleared, func(_ Digest, at time.Time) bool { return now.Sub(at) > l.settings.SuspectTTL })
}

// expired reports whether a suspect's losses and condemnation have expired.
func (l *Ledger) expired(now time.Time, s *suspect) bool {
	isOld := len(s.losses) == 0 || now.Sub(s.losses[len(s.losses)-1].At) > l.settings.SuspectTTL
	return isOld && now.Sub(s.condemnedAt) > l.settings.CondemnedTTL
}

// evict makes room for a new suspect if the ledger is full. It drops one that
// is not condemned if there is any.
func (l *Ledger) evict() {
	if len(l.suspects) < l.settings.MaxDigests {
		return
	}
	var victim Digest
	for d, s := range l.suspects {
		victim = d
		if s.condemnedAt.IsZero() {
			break
		}
	}
	delete(l.suspects, victim)
}
