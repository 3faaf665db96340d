package quarantine

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
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
	lose(l, now.Add(5*time.Second), "u8", Strong, crashing) // it was sent before
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

// noFleet is the view of a host that knows no other.
type noFleet struct{}

func (noFleet) Self() host.Info                    { return host.Info{} }
func (noFleet) Members() []host.Member             { return nil }
func (noFleet) Lookup(host.ID) (host.Member, bool) { return host.Member{}, false }

// newPartsFleet returns hosts that exchange facts with a delay.
func newPartsFleet(hosts int, delay time.Duration) (*fakeGossip, []*Parts) {
	b := &fakeGossip{now: time.Unix(1_000_000, 0), delay: delay}
	var fleet []*Parts
	for i := range hosts {
		fleet = append(fleet, NewParts(PartsConfig{
			Gossip: fakeGossipPeer{b, i}, Fleet: noFleet{}, Now: func() time.Time { return b.now }, Logger: slog.New(slog.DiscardHandler),
		}, link.NewMux()))
	}
	return b, fleet
}

// crashingFleet is a fleet whose hosts are sent requests with a part that crashes engines,
// and sound ones that share another part with them.
type crashingFleet struct {
	gossip   *fakeGossip
	hosts    []*Parts
	random   *rand.Rand
	running  []sending
	crashes  []time.Time
	sentLate int // requests with the part, after the bound
	sound    int // sound requests after the bound
	served   int
}

// sending is a request that an engine is about to crash on.
type sending struct {
	host int
	id   upstream.ID
	at   time.Time
}

// crash records the crashes that are due, at the hosts of the requests and at one with a
// request that waited.
func (f *crashingFleet) crash(after time.Duration) {
	waiting := f.running[:0]
	for _, s := range f.running {
		if f.gossip.now.Sub(s.at) < after {
			waiting = append(waiting, s)
			continue
		}
		f.crashes = append(f.crashes, f.gossip.now)
		f.hosts[s.host].Lost([]string{common, crashing}, s.id, f.gossip.now, Strong)
		f.hosts[f.random.IntN(len(f.hosts))].Lost([]string{common}, s.id, f.gossip.now, Weak)
	}
	f.running = waiting
}

// send sends a sound request, and at times one with the part, to random hosts. decided
// means that no host may send the part any more.
func (f *crashingFleet) send(decided bool) {
	if h := f.random.IntN(len(f.hosts)); f.random.IntN(2) == 0 && f.hosts[h].Check([]string{common, crashing}).Decision == PartsAllowed {
		f.running = append(f.running, sending{h, upstream.ID(fmt.Sprint("u", len(f.crashes), "-", len(f.running))), f.gossip.now})
		if decided {
			f.sentLate++
		}
	}
	h := f.hosts[f.random.IntN(len(f.hosts))]
	served := h.Check([]string{common}).Decision == PartsAllowed
	if served {
		h.Answered([]string{common})
	}
	if decided {
		f.sound++
		if served {
			f.served++
		}
	}
}

// Requests with one part crashed engines at every host for as long as they came, each of
// them different. Some seconds after the fifth crash no host may send one, while the part
// that they share with sound requests is served.
func TestPartThatCrashesUpstreamsIsRefusedByAllHosts(t *testing.T) {
	const (
		deciding      = 5 // crashes
		step          = 50 * time.Millisecond
		length        = 20 * time.Second
		minSoundShare = 0.5
	)
	for _, c := range []struct {
		hosts         int
		delay, window time.Duration
	}{{12, 700 * time.Millisecond, 3 * time.Second}, {110, 1500 * time.Millisecond, 4 * time.Second}} {
		for seed := uint64(1); seed <= 50; seed++ {
			gossip, hosts := newPartsFleet(c.hosts, c.delay)
			f := &crashingFleet{gossip: gossip, hosts: hosts, random: rand.New(rand.NewPCG(seed, 0))}
			for start := gossip.now; gossip.now.Sub(start) < length; gossip.advance(step) {
				f.crash(2 * step)
				f.send(len(f.crashes) >= deciding && gossip.now.Sub(f.crashes[deciding-1]) > c.window)
			}
			require.Zero(t, f.sentLate, "%d hosts, seed %d: %d crashes", c.hosts, seed, len(f.crashes))
			require.GreaterOrEqual(t, float64(f.served), minSoundShare*float64(f.sound), "%d hosts, seed %d", c.hosts, seed)
		}
	}
}

// A host that starts after the others have refused a part learns of it from any of them,
// also if the host that found it has stopped.
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
