package quarantine

import (
	"cmp"
	"context"
	"encoding/hex"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/upstream"
)

// requestsMethod asks a host for what it knows of suspect requests.
const requestsMethod link.Method = "quarantine.Requests"

const (
	// maxReported bounds the suspects in one report. Condemned ones go first, then those
	// whose losses are newest: when a rack fails, thousands of requests are suspects.
	maxReported = 128
	// keepTime is how long the store keeps a condemned request, at most as long as its leases
	// last.
	keepTime = 10 * time.Minute
)

// requestsReport is what a host knows of suspect requests. Times are ages and remaining
// times, since clocks may differ.
type requestsReport struct {
	Suspects []suspectReport `cbor:"1,keyasint,omitempty"`
}

type suspectReport struct {
	Digest []byte              `cbor:"1,keyasint"` // keyDigestBytes
	Losses []requestLossReport `cbor:"2,keyasint,omitempty"`
	// Refused is for how much longer the request is refused, 0 if it is not condemned.
	Refused time.Duration `cbor:"3,keyasint,omitempty"`
	// Alone is for how much longer a host has the right to run it alone, 0 if none has.
	Alone time.Duration `cbor:"4,keyasint,omitempty"`
}

type requestLossReport struct {
	Upstream upstream.ID   `cbor:"1,keyasint"`
	Age      time.Duration `cbor:"2,keyasint"`
}

// keptRequest is a condemned request as it is kept in the store.
type keptRequest struct {
	// UntilMilli is the end of the condemnation in Unix milliseconds.
	UntilMilli int64      `cbor:"1,keyasint"`
	Losses     []keptLoss `cbor:"2,keyasint,omitempty"`
}

type keptLoss struct {
	Upstream upstream.ID `cbor:"1,keyasint"`
	AtMilli  int64       `cbor:"2,keyasint"` // Unix milliseconds
}

// Run asks other hosts for what they know, until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	c := q.config
	return puller[requestsReport]{fleet: c.Fleet, caller: c.Caller, logger: c.Logger, method: requestsMethod, merge: q.merge}.run(ctx)
}

// report returns what this host knows of suspect requests.
func (q *Quarantine) report() requestsReport {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	var r requestsReport
	for _, d := range q.ledger.reportable(now, maxReported) {
		s := q.ledger.suspects[d]
		suspect := suspectReport{Digest: slices.Clone(d[:keyDigestBytes]), Refused: q.ledger.refusedFor(now, s), Alone: max(s.aloneUntil.Sub(now), 0)}
		for _, loss := range s.losses {
			suspect.Losses = append(suspect.Losses, requestLossReport{Upstream: loss.Upstream, Age: now.Sub(loss.At)})
		}
		r.Suspects = append(r.Suspects, suspect)
	}
	return r
}

// reportable returns the digests of at most n suspects, the most important first.
func (l *Ledger) reportable(now time.Time, n int) []Digest {
	all := make([]Digest, 0, len(l.suspects))
	for d, s := range l.suspects {
		if !l.expired(now, s) {
			all = append(all, d)
		}
	}
	newest := func(s *suspect) time.Time {
		if len(s.losses) == 0 {
			return s.condemnedAt
		}
		return s.losses[len(s.losses)-1].At
	}
	slices.SortFunc(all, func(a, b Digest) int {
		x, y := l.suspects[a], l.suspects[b]
		return cmp.Or(y.condemnedAt.Compare(x.condemnedAt), newest(y).Compare(newest(x)))
	})
	return all[:min(n, len(all))]
}

// refusedFor returns for how much longer a suspect is condemned, 0 if it is not.
func (l *Ledger) refusedFor(now time.Time, s *suspect) time.Duration {
	if s.condemnedAt.IsZero() {
		return 0
	}
	return max(s.condemnedAt.Add(l.settings.CondemnedTTL).Sub(now), 0)
}

// merge takes over what another host knows.
func (q *Quarantine) merge(r requestsReport, from string) {
	now := q.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range r.Suspects {
		if len(s.Digest) != keyDigestBytes {
			q.config.Logger.Warn("suspect request of another host ignored", "from", from, "digest_bytes", len(s.Digest))
			continue
		}
		var d Digest
		copy(d[:], s.Digest)
		q.ledger.Condemn(now, d, now.Add(s.Refused))
		for _, loss := range s.Losses {
			q.ledger.learnLoss(now, Loss{Digest: d, Upstream: loss.Upstream, At: now.Add(-max(loss.Age, 0))})
		}
		if known := q.ledger.suspects[d]; known != nil {
			known.aloneUntil = later(known.aloneUntil, now.Add(min(s.Alone, q.ledger.settings.AloneLease)))
		}
	}
}

// learnLoss records a loss that another host or the store knows of, unless the suspect has run
// to its end since then, or the loss is too old. It doesn't prolong a condemnation.
func (l *Ledger) learnLoss(now time.Time, loss Loss) {
	if !loss.At.After(l.cleared[loss.Digest]) || now.Sub(loss.At) >= l.settings.SuspectTTL {
		return
	}
	var condemnedAt time.Time
	if s := l.suspects[loss.Digest]; s != nil && l.refusedFor(now, s) > 0 {
		condemnedAt = s.condemnedAt
	}
	l.RecordLoss(now, loss)
	if s := l.suspects[loss.Digest]; !condemnedAt.IsZero() {
		s.condemnedAt = condemnedAt
	}
}

// keepCondemned has a condemned request kept in the store if the store would soon forget it.
func (q *Quarantine) keepCondemned(now time.Time, d Digest) {
	q.mu.Lock()
	s := q.ledger.suspects[d]
	if s == nil || q.ledger.isExplained(s) {
		q.mu.Unlock()
		return
	}
	left := q.ledger.refusedFor(now, s)
	if left <= 0 || s.keptUntil.Sub(now) > min(left, keepTime/2) {
		q.mu.Unlock()
		return
	}
	s.keptUntil = now.Add(min(left, keepTime))
	kept := keptRequest{UntilMilli: now.Add(left).UnixMilli()}
	for _, loss := range s.losses {
		kept.Losses = append(kept.Losses, keptLoss{Upstream: loss.Upstream, AtMilli: loss.At.UnixMilli()})
	}
	q.mu.Unlock()
	value, err := cbor.Marshal(kept)
	if err != nil {
		q.config.Logger.Warn("condemned request not encoded", "digest", d.String(), "error", err.Error())
		return
	}
	q.config.Keep(hex.EncodeToString(d[:keyDigestBytes]), value, min(left, keepTime))
}

// Kept takes over a condemned request from the store. name and value are those that
// Config.Keep was called with, by this host or another.
func (q *Quarantine) Kept(name string, value []byte) error {
	d, _, ok := parseFactKey(name)
	if !ok {
		return Error.New("kept request %.60q has no digest of %d bytes as its name", name, keyDigestBytes)
	}
	var kept keptRequest
	if err := cbor.Unmarshal(value, &kept); err != nil {
		return Error.New("kept request %s is malformed: %v", name, err)
	}
	now := q.now()
	until := time.UnixMilli(kept.UntilMilli)
	if !until.After(now) {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Condemn(now, d, until)
	q.ledger.suspects[d].keptUntil = earlier(now.Add(keepTime), until)
	for _, loss := range kept.Losses[:min(len(kept.Losses), maxLossesPerDigest)] {
		q.ledger.learnLoss(now, Loss{Digest: d, Upstream: loss.Upstream, At: earlier(time.UnixMilli(loss.AtMilli), now)})
	}
	return nil
}
