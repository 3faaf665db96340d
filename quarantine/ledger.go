package quarantine

import (
	"encoding/hex"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Digest names a request by its content.
type Digest [32]byte

// shownBytes of a digest are enough to find a request's lines in the log.
const shownBytes = 8

// String returns the first bytes of the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Verdict is what may be done with a request.
type Verdict uint8

// The verdicts.
const (
	// Allow: nothing is known against the request.
	Allow Verdict = iota
	// RunAlone: the request may have crashed an upstream. It may run once more,
	// on an upstream that runs nothing else meanwhile.
	RunAlone
	// Refuse: the request has crashed upstreams, or runs alone somewhere now.
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

// Settings tune a Ledger. Zero fields take the defaults.
type Settings struct {
	// Together is how close losses of different upstreams are one event.
	Together time.Duration
	// Apart is how far apart two losses are independent.
	Apart time.Duration
	// ManyUpstreams is how many upstreams lost together discount the losses.
	ManyUpstreams int
	// SuspectFor is how long a suspect is remembered.
	SuspectFor time.Duration
	// CondemnFor is how long a condemned request is refused.
	CondemnFor time.Duration
	// AloneFor bounds how long a host may hold the right to run a suspect.
	AloneFor time.Duration
	// MaxDigests bounds the digests that are remembered.
	MaxDigests int
}

// DefaultSettings returns the settings for a fleet of a few dozen hosts.
func DefaultSettings() Settings {
	return Settings{
		Together:      2 * time.Second,
		Apart:         500 * time.Millisecond,
		ManyUpstreams: 3,
		SuspectFor:    10 * time.Minute,
		CondemnFor:    time.Hour,
		AloneFor:      30 * time.Second,
		MaxDigests:    10_000,
	}
}

func (s Settings) withDefaults() Settings {
	d := DefaultSettings()
	if s.Together == 0 {
		s.Together = d.Together
	}
	if s.Apart == 0 {
		s.Apart = d.Apart
	}
	if s.ManyUpstreams == 0 {
		s.ManyUpstreams = d.ManyUpstreams
	}
	if s.SuspectFor == 0 {
		s.SuspectFor = d.SuspectFor
	}
	if s.CondemnFor == 0 {
		s.CondemnFor = d.CondemnFor
	}
	if s.AloneFor == 0 {
		s.AloneFor = d.AloneFor
	}
	if s.MaxDigests == 0 {
		s.MaxDigests = d.MaxDigests
	}
	return s
}

// Loss is one upstream that was lost while it ran a request.
type Loss struct {
	Digest   Digest
	Upstream upstream.ID
	At       time.Time
}

// suspect is what is known against one request.
type suspect struct {
	losses []Loss
	// aloneUntil is the end of the right to run alone that some host took.
	aloneUntil time.Time
	condemned  time.Time
}

// maxLosses bounds the losses kept for one digest: two decide.
const maxLosses = 4

// Ledger weighs the losses that this host saw or heard of. It is not safe for
// concurrent use.
type Ledger struct {
	settings Settings
	suspects map[Digest]*suspect
	// recent are the losses of all requests of the last Together.
	recent []Loss
}

// NewLedger makes an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings.withDefaults(), suspects: make(map[Digest]*suspect)}
}

// Check says what may be done with a request now. RunAlone takes the right to
// run it: until Cleared, or AloneFor has passed, others are refused.
func (l *Ledger) Check(now time.Time, d Digest) Verdict {
	s := l.suspects[d]
	if s == nil {
		return Allow
	}
	if now.Sub(s.condemned) < l.settings.CondemnFor {
		return Refuse
	}
	evidence := l.evidence(now, s)
	switch {
	case evidence == 0:
		return Allow
	case now.Before(s.aloneUntil):
		return Refuse
	}
	s.aloneUntil = now.Add(l.settings.AloneFor)
	return RunAlone
}

// Lose takes note of a loss. The same loss may be told again.
func (l *Ledger) Lose(now time.Time, loss Loss) {
	l.prune(now)
	s := l.suspects[loss.Digest]
	if s == nil {
		s = &suspect{}
		l.makeRoom()
		l.suspects[loss.Digest] = s
	}
	for _, known := range s.losses {
		if known.Upstream == loss.Upstream && known.At.Sub(loss.At).Abs() < l.settings.Together {
			return
		}
	}
	l.recent = append(l.recent, loss)
	if len(s.losses) < maxLosses {
		s.losses = append(s.losses, loss)
	}
	if l.evidence(now, s) >= lossesToCondemn {
		s.condemned = now
	}
}

// lossesToCondemn is how many independent losses condemn a request.
const lossesToCondemn = 2

// HeldAlone takes note that another host runs a suspect alone.
func (l *Ledger) HeldAlone(now time.Time, d Digest) {
	if s := l.suspects[d]; s != nil {
		s.aloneUntil = now.Add(l.settings.AloneFor)
	}
}

// Cleared takes note that a request ran to its end without a loss.
func (l *Ledger) Cleared(d Digest) {
	if s := l.suspects[d]; s != nil && s.condemned.IsZero() {
		delete(l.suspects, d)
	}
}

// evidence counts the losses of a suspect that were on different upstreams at
// different times and not among many others. One request on many upstreams is
// evidence even at the same time: a rack that dies takes many requests along.
func (l *Ledger) evidence(now time.Time, s *suspect) int {
	var counted []Loss
	upstreams := make(map[upstream.ID]bool)
	for _, loss := range s.losses {
		if now.Sub(loss.At) > l.settings.SuspectFor || l.amongMany(loss, s) {
			continue
		}
		upstreams[loss.Upstream] = true
		if independent(loss, counted, l.settings.Apart) {
			counted = append(counted, loss)
		}
	}
	if len(upstreams) >= l.settings.ManyUpstreams {
		return len(upstreams)
	}
	if l.lostTimeAndAgain(now, s) {
		return lossesToCondemn
	}
	if len(counted) == 0 && s.upstreams() > 1 {
		// Each loss was among many; together they still make a suspect.
		return 1
	}
	return len(counted)
}

// upstreams counts the upstreams that the suspect lost.
func (s *suspect) upstreams() int {
	seen := make(map[upstream.ID]bool)
	for _, loss := range s.losses {
		seen[loss.Upstream] = true
	}
	return len(seen)
}

// LoseAlone takes note of a loss under a suspect that ran alone, which condemns
// it.
func (l *Ledger) LoseAlone(now time.Time, loss Loss) {
	l.Lose(now, loss)
	l.suspects[loss.Digest].condemned = now
}

// lostTimeAndAgain says whether a request lost many upstreams, and not all at
// once. That is evidence even if each loss was among many: an innocent request
// meets one rack's death, not one after the other.
func (l *Ledger) lostTimeAndAgain(now time.Time, s *suspect) bool {
	upstreams := make(map[upstream.ID]bool)
	first, last := now, time.Time{}
	for _, loss := range s.losses {
		if now.Sub(loss.At) > l.settings.SuspectFor {
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
	return len(upstreams) >= l.settings.ManyUpstreams && last.Sub(first) >= l.settings.Apart
}

func independent(loss Loss, counted []Loss, apart time.Duration) bool {
	for _, other := range counted {
		if other.Upstream == loss.Upstream || other.At.Sub(loss.At).Abs() < apart {
			return false
		}
	}
	return true
}

// amongMany says whether many upstreams were lost together with this one by
// other requests. Upstreams that the suspect lost too are its own: the other
// requests were beside it.
func (l *Ledger) amongMany(loss Loss, s *suspect) bool {
	seen := make(map[upstream.ID]bool)
	for _, other := range l.recent {
		if other.At.Sub(loss.At).Abs() < l.settings.Together && other.Digest != loss.Digest {
			seen[other.Upstream] = true
		}
	}
	for _, own := range s.losses {
		delete(seen, own.Upstream)
	}
	return len(seen)+1 >= l.settings.ManyUpstreams
}

// prune forgets what is too old to matter.
func (l *Ledger) prune(now time.Time) {
	kept := l.recent[:0]
	for _, loss := range l.recent {
		if now.Sub(loss.At) < l.settings.SuspectFor && len(kept) < l.settings.MaxDigests {
			kept = append(kept, loss)
		}
	}
	l.recent = kept
	for d, s := range l.suspects {
		if l.expired(now, s) {
			delete(l.suspects, d)
		}
	}
}

func (l *Ledger) expired(now time.Time, s *suspect) bool {
	newest := s.losses[len(s.losses)-1].At
	return now.Sub(newest) > l.settings.SuspectFor && now.Sub(s.condemned) > l.settings.CondemnFor
}

// makeRoom drops some suspect that is not condemned, or else any.
func (l *Ledger) makeRoom() {
	if len(l.suspects) < l.settings.MaxDigests {
		return
	}
	var victim Digest
	for d, s := range l.suspects {
		victim = d
		if s.condemned.IsZero() {
			break
		}
	}
	delete(l.suspects, victim)
}
