package quarantine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/upstream"
)

// The parts in these tests: one that crashes upstreams, and one that all requests share.
const (
	crashing = "bad"
	common   = "common"
)

var partsTestStart = time.Unix(1000, 0)

// lose records the loss of an upstream with these parts, and waits until the evidence has
// settled.
func lose(l *PartLedger, at time.Time, id upstream.ID, strength Strength, parts ...string) {
	for _, part := range parts {
		l.RecordLoss(at, PartLoss{Part: part, Upstream: id, At: at, Strength: strength})
	}
}

// decide returns the decision on a part at a time at which all evidence has settled.
func decide(l *PartLedger, at time.Time, part string) PartDecision {
	return l.Check(at, []string{part}).Decision
}

// Three engines crashed one after the other as they began to answer requests with one
// part; sound requests shared the other parts. Only the part must be refused.
func TestOnlyThePartThatCrashesUpstreamsIsRefused(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 3 {
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, common, crashing, fmt.Sprint("own", i))
		now = now.Add(200 * time.Millisecond)
		l.RecordAnswer(now, common, now)
	}
	now = now.Add(time.Second)
	require.Equal(t, PartsRefused, decide(l, now, crashing))
	require.Equal(t, PartsAllowed, decide(l, now, common))
	require.Equal(t, PartsAllowed, decide(l, now, "own1"))
}

// Requests wait while the evidence against one of their parts settles, so that engines
// don't crash one after the other until then.
func TestRequestIsHeldUntilTheEvidenceHasSettled(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	lose(l, partsTestStart, "u0", Strong, crashing)
	now := partsTestStart.Add(time.Second)
	require.Equal(t, PartsAllowed, decide(l, now, crashing))
	lose(l, now, "u1", Strong, crashing)
	v := l.Check(now, []string{crashing})
	require.Equal(t, PartsHeld, v.Decision)
	require.Equal(t, now.Add(DefaultPartSettings().SettleTime), v.Until)
	require.Equal(t, PartsAllowed, decide(l, v.Until, crashing))
}

// Twenty engines fail at the same moment. A part that many of their requests had must not
// be refused for it.
func TestSimultaneousFailureOfManyUpstreamsCondemnsNoPart(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	for i := range 20 {
		lose(l, partsTestStart, upstream.ID(fmt.Sprint("u", i)), Weak, common)
		lose(l, partsTestStart.Add(60*time.Millisecond), upstream.ID(fmt.Sprint("u", i)), Strong, "rare")
	}
	require.Equal(t, PartsAllowed, decide(l, partsTestStart.Add(5*time.Second), common))
	require.Equal(t, PartsAllowed, decide(l, partsTestStart.Add(5*time.Second), "rare"))
}

// A request waits on three engines in turn while they crash under others that they have
// begun to answer. Its parts must not be refused.
func TestWaitingRequestIsNotBlamedForACrash(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 4 {
		id := upstream.ID(fmt.Sprint("u", i))
		lose(l, now, id, Weak, "waiting")
		lose(l, now.Add(10*time.Millisecond), id, Strong, fmt.Sprint("other", i))
		now = now.Add(300 * time.Millisecond)
	}
	require.Equal(t, PartsAllowed, decide(l, now.Add(time.Second), "waiting"))
}

// A condemned part explains the losses that it shares with another part, which must not be
// refused for them.
func TestCondemnedPartExplainsItsLosses(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 4 {
		parts := []string{crashing}
		if i > 0 {
			parts = append(parts, "beside")
		}
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, parts...)
		now = now.Add(300 * time.Millisecond)
	}
	now = now.Add(time.Second)
	require.Equal(t, PartsRefused, decide(l, now, crashing))
	require.Equal(t, PartsAllowed, decide(l, now, "beside"))
}

// Two parts are in the same three losses: neither is refused until the evidence decides
// between them.
func TestTiedPartsAreNotRefusedBeforeTheEvidenceDecides(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 3 {
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, crashing, "beside")
		now = now.Add(300 * time.Millisecond)
	}
	settled := now.Add(time.Second)
	require.Equal(t, PartsAllowed, decide(l, settled, crashing))
	require.Equal(t, PartsAllowed, decide(l, settled, "beside"))
	lose(l, settled, "u3", Strong, crashing)
	settled = settled.Add(time.Second)
	require.Equal(t, PartsRefused, decide(l, settled, crashing))
	require.Equal(t, PartsAllowed, decide(l, settled, "beside"))
}

// A host that did not hear of the others' losses refused a sound part: it had waited at one
// engine, and was in requests with the part that crashes engines at three others, two of
// which crashed at nearly the same time.
func TestSoundPartIsNotRefusedOnPartOfTheEvidence(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	lose(l, now, "u3", Weak, "sound")
	lose(l, now.Add(40*time.Millisecond), "u2", Strong, crashing, "sound")
	lose(l, now.Add(110*time.Millisecond), "u1", Strong, crashing, "sound")
	lose(l, now.Add(1100*time.Millisecond), "u6", Strong, crashing, "sound")
	now = now.Add(2 * time.Second)
	require.Equal(t, PartsAllowed, decide(l, now, "sound"))
	lose(l, now, "u7", Strong, crashing)
	now = now.Add(time.Second)
	require.Equal(t, PartsAllowed, decide(l, now, "sound"))
	require.Equal(t, PartsRefused, decide(l, now, crashing))
}

// A part that was refused wrongly is free again once a request with it is answered.
func TestAnswerReleasesAPart(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 3 {
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, "sound")
		now = now.Add(300 * time.Millisecond)
	}
	now = now.Add(time.Second)
	require.Equal(t, PartsRefused, decide(l, now, "sound"))
	require.True(t, l.RecordAnswer(now, "sound", now))
	require.Equal(t, PartsAllowed, decide(l, now, "sound"))
	_, objection := l.Condemn(now.Add(5*time.Second), "sound", now.Add(DefaultPartSettings().CondemnedTTL-time.Second))
	require.True(t, objection, "another host's decision from before the answer came into force again")
}

// A part is refused for a time; after that, one more loss is enough.
func TestPartIsRefusedAgainAfterOneMoreLoss(t *testing.T) {
	l := NewPartLedger(PartSettings{})
	now := partsTestStart
	for i := range 3 {
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, crashing)
		now = now.Add(300 * time.Millisecond)
	}
	now = now.Add(time.Second)
	v := l.Check(now, []string{crashing})
	require.Equal(t, PartsRefused, v.Decision)
	now = v.Until.Add(time.Second)
	require.Equal(t, PartsAllowed, decide(l, now, crashing))
	lose(l, now, "u9", Strong, crashing)
	require.Equal(t, PartsRefused, decide(l, now.Add(time.Second), crashing))
}

// Callers send parts without end: the ledger must stay bounded and still find one that
// crashes upstreams.
func TestLedgerOfPartsIsBounded(t *testing.T) {
	l := NewPartLedger(PartSettings{MaxParts: 100})
	now := partsTestStart
	for i := range 5000 {
		l.RecordAnswer(now, fmt.Sprint("answered", i), now)
		lose(l, now, upstream.ID(fmt.Sprint("v", i)), Weak, fmt.Sprint("lost", i))
	}
	for i := range 3 {
		lose(l, now, upstream.ID(fmt.Sprint("u", i)), Strong, crashing)
		now = now.Add(300 * time.Millisecond)
	}
	require.LessOrEqual(t, len(l.suspects), 100)
	require.LessOrEqual(t, len(l.answers), 100)
	require.Equal(t, PartsRefused, decide(l, now.Add(time.Second), crashing))
}

// newPartsFleet returns hosts that exchange facts with a delay.
func newPartsFleet(hosts int, delay time.Duration) (*fakeGossip, []*Parts) {
	b := &fakeGossip{now: time.Unix(1_000_000, 0), delay: delay}
	var fleet []*Parts
	for i := range hosts {
		fleet = append(fleet, NewParts(PartsConfig{
			Gossip: fakeGossipPeer{b, i}, Now: func() time.Time { return b.now }, Logger: slog.New(slog.DiscardHandler),
		}, link.NewMux()))
	}
	return b, fleet
}

// Requests with one part crashed engines at every host for as long as they came, each of
// them different. After the fifth crash and three seconds no host may send one, while the
// part that they share with sound requests is served.
func TestPartThatCrashesUpstreamsIsRefusedByAllHosts(t *testing.T) {
	const (
		hosts, bound  = 12, 5
		window        = 3 * time.Second
		step          = 50 * time.Millisecond
		crashAfter    = 2 * step // from sending to the crash
		length        = 20 * time.Second
		gossipDelay   = 700 * time.Millisecond
		soundShareMin = 0.5
	)
	for seed := uint64(1); seed <= 50; seed++ {
		r := rand.New(rand.NewPCG(seed, 0))
		b, fleet := newPartsFleet(hosts, gossipDelay)
		var crashes []time.Time
		type sending struct {
			host int
			id   upstream.ID
			at   time.Time
		}
		var running []sending
		sentLate, sound, soundServed := 0, 0, 0
		start := b.now
		for b.now.Sub(start) < length {
			b.advance(step)
			waiting := running[:0]
			for _, s := range running {
				if b.now.Sub(s.at) < crashAfter {
					waiting = append(waiting, s)
					continue
				}
				crashes = append(crashes, b.now)
				fleet[s.host].Lost([]string{common, crashing}, s.id, b.now, Strong)
				fleet[r.IntN(hosts)].Lost([]string{common}, s.id, b.now, Weak)
			}
			running = waiting
			decided := len(crashes) >= bound && b.now.Sub(crashes[bound-1]) > window
			if h := r.IntN(hosts); r.IntN(2) == 0 && fleet[h].Check([]string{common, crashing}).Decision == PartsAllowed {
				running = append(running, sending{h, upstream.ID(fmt.Sprint("u", len(crashes), "-", len(running))), b.now})
				if decided {
					sentLate++
				}
			}
			h := r.IntN(hosts)
			served := fleet[h].Check([]string{common}).Decision == PartsAllowed
			if served {
				fleet[h].Answered([]string{common})
			}
			if decided {
				sound++
				if served {
					soundServed++
				}
			}
		}
		require.LessOrEqual(t, sentLate, 0, "seed %d: %d crashes", seed, len(crashes))
		require.GreaterOrEqual(t, float64(soundServed), soundShareMin*float64(sound), "seed %d", seed)
	}
}

// A host that starts after the others have refused a part learns of it from any of them,
// also if the host that found it is gone.
func TestStartingHostLearnsOfRefusedParts(t *testing.T) {
	b, fleet := newPartsFleet(2, time.Second)
	for i := range 3 {
		fleet[0].Lost([]string{crashing}, upstream.ID(fmt.Sprint("u", i)), b.now, Strong)
		b.advance(300 * time.Millisecond)
	}
	b.advance(time.Second)
	require.Equal(t, PartsRefused, fleet[0].Check([]string{crashing}).Decision)
	b.advance(time.Second)
	_, started := newPartsFleet(1, time.Second)
	started[0].config.Now = func() time.Time { return b.now }
	require.Equal(t, PartsAllowed, started[0].Check([]string{crashing}).Decision)
	started[0].merge(fleet[1].report(), "host-1")
	require.Equal(t, PartsRefused, started[0].Check([]string{crashing}).Decision)
}
