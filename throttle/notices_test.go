package throttle

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/member"
)

// noticeHost is a host without a network.
type noticeHost struct {
	*Notices
	gossip    gossip
	instances *instance.Table
	served    handlers
}

// upstreamNamed returns the entry of an upstream process.
func upstreamNamed(i int) instance.Entry {
	return instance.Entry{ID: instance.ID(fmt.Sprintf("upstream-%d", i)), Service: "s", Revision: 1, StartTime: time.UnixMilli(1_700_000_000_000)}
}

func newNoticeHost(now *time.Time, caller link.Caller) *noticeHost {
	h := &noticeHost{instances: instance.NewTable(nil), served: make(handlers)}
	for i := range 3 {
		h.instances.Put(upstreamNamed(i))
	}
	h.Notices = NewNotices(NoticesConfig{
		Gossip: &h.gossip, Instances: h.instances, Caller: caller, Logger: slog.New(slog.DiscardHandler), Now: func() time.Time { return *now },
	}, h.served)
	return h
}

// answer has an upstream answer a call that the host sent a second ago.
func (h *noticeHost) answer(p instance.Process, perSecond float64, named bool, now time.Time) {
	if h.instances.SetLimit(p, perSecond, named, now.Add(-time.Second), now) {
		h.Limit(p, perSecond, named, now)
	}
}

// Five of twelve hosts get answers of an upstream whose limit changes, and the facts of each
// arrive late, in any order between hosts, and twice. Guards against hosts that keep a limit
// that was withdrawn, or miss one that was named again, and against a fact for each answer.
func TestHostsAgreeOnTheLimitThatWasNamedLast(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 100 {
		now := time.Unix(1_700_000_100, 0)
		p := upstreamNamed(0).Process()
		var fleet []*noticeHost
		for range 12 {
			fleet = append(fleet, newNoticeHost(&now, nil))
		}
		perSecond, named := 0.0, false
		for range 4 {
			perSecond, named = float64(random.IntN(3)), random.IntN(3) > 0
			for range 20 {
				now = now.Add(100 * time.Millisecond)
				fleet[random.IntN(5)].answer(p, perSecond, named, now)
			}
			for _, i := range random.Perm(5) {
				for _, f := range fleet[i].gossip.published {
					for _, other := range fleet {
						if other != fleet[i] {
							other.receive(f, now)
						}
					}
				}
			}
			for i, h := range fleet {
				got, _, isNamed := h.instances.Limit(p)
				require.Equal(t, named, isNamed, "host %d", i)
				require.True(t, !named || got == perSecond, "host %d", i)
			}
		}
		for _, h := range fleet {
			require.LessOrEqual(t, len(h.gossip.published), 8, "one for each change at most")
		}
	}
}

// Thousands of upstreams refuse a host's requests. Guards against facts that fill the store of
// facts of 2,336 hosts, facts that are too long to be sent like short ones, and facts that
// hosts which start later would take for true.
func TestFactsOfAHostAreFewShortAndWithdrawn(t *testing.T) {
	now := time.Unix(1_700_000_100, 0)
	h := newNoticeHost(&now, nil)
	keys := make(map[string][]byte)
	for i := range 5000 {
		p := instance.Process{ID: instance.ID(fmt.Sprintf("upstream-with-a-long-id-%04d", i)), StartTime: time.Now()}
		h.Pause(p, now.Add(time.Hour), now)
		h.Limit(p, 0.123, i%2 == 0, now)
	}
	for _, f := range h.gossip.published {
		require.LessOrEqual(t, len(f.Payload), 64)
		keys[f.Key] = f.Payload
	}
	require.Len(t, keys, noticeSlots)
	require.Less(t, 2336*noticeSlots, 65536)
	h.Expire(now.Add(withdrawalLifetime))
	for _, f := range h.gossip.published {
		keys[f.Key] = f.Payload
	}
	for key, payload := range keys {
		require.Empty(t, payload, key)
	}
	published := len(h.gossip.published)
	h.Pause(instance.Process{ID: "an-upstream-whose-id-is-too-long-to-be-sent"}, now.Add(time.Hour), now)
	require.Len(t, h.gossip.published, published)
}

// A pause that another host reports ends when the upstream has named, also if the other host's
// clock is ahead, or the fact arrives late. Malformed facts are counted and change nothing.
func TestReportedPauseEndsAtTheNamedTime(t *testing.T) {
	now := time.Unix(1_700_000_100, 0)
	p := upstreamNamed(0).Process()
	sender := newNoticeHost(&now, nil)
	sender.Pause(p, now.Add(2*time.Second), now)
	fact := sender.gossip.published[0]
	usable := func(receivedAfter, seenAfter time.Duration) int {
		h := newNoticeHost(&now, nil)
		h.receive(fact, now.Add(receivedAfter))
		return len(h.instances.Service("s", now.Add(seenAfter)))
	}
	require.Equal(t, 2, usable(time.Second, 1900*time.Millisecond))
	require.Equal(t, 3, usable(time.Second, 2*time.Second))
	require.Equal(t, 3, usable(3*time.Second, 3*time.Second), "it arrives after the pause")
	require.Equal(t, 3, usable(-time.Minute, -time.Minute+2*time.Second), "the clock of the sender is ahead")
	h := newNoticeHost(&now, nil)
	for _, f := range []noticeFact{
		{ID: p.ID, Kind: 9}, {Kind: limitWithdrawn}, {ID: p.ID, Kind: limitNamed, PerSecond: -1}, {ID: p.ID, Kind: pauseAsked},
		{ID: p.ID, Kind: pauseAsked, LeftMillis: 1 << 60}, {ID: p.ID, Kind: limitWithdrawn, AgeMillis: -1},
	} {
		payload, err := cbor.Marshal(f)
		require.NoError(t, err)
		h.receive(member.Fact{From: "h1", Topic: NoticeTopic, Key: "0", Payload: payload}, now)
	}
	h.receive(member.Fact{From: "h1", Topic: NoticeTopic, Key: "0", Payload: []byte{0xff}}, now)
	h.receive(member.Fact{From: "h1", Topic: NoticeTopic, Key: "0"}, now)
	require.Equal(t, 7.0, testutil.ToFloat64(h.facts.WithLabelValues("malformed")))
	require.Len(t, h.instances.Service("s", now), 3)
}

// handlers are the methods that a host serves.
type handlers map[link.Method]link.Handler

func (h handlers) Handle(method link.Method, handler link.Handler) { h[method] = handler }

// hosts are called without a network, by address.
type hosts map[netip.AddrPort]handlers

func (all hosts) Call(ctx context.Context, peer netip.AddrPort, method link.Method, in, out any) error {
	handle, served := all[peer][method]
	if !served {
		return link.ErrUnknownMethod
	}
	request, err := cbor.Marshal(in)
	if err != nil {
		return err
	}
	reply, err := handle(ctx, func(into any) error { return cbor.Unmarshal(request, into) })
	if err != nil {
		return err
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, out)
}

// The host that got the answers has died, and its facts have ended with it. Guards against a
// host that starts and sends an upstream more than its limit, or requests in a pause, because it
// has no answers of its own. A host of the build before serves no notices.
func TestHostThatStartsLearnsFromAnother(t *testing.T) {
	now := time.Unix(1_700_000_100, 0)
	limited, paused := upstreamNamed(0).Process(), upstreamNamed(1).Process()
	observer, survivor := newNoticeHost(&now, nil), newNoticeHost(&now, nil)
	observer.Limit(limited, 0.5, true, now)
	observer.Pause(paused, now.Add(3*time.Second), now)
	for _, f := range observer.gossip.published {
		survivor.receive(f, now)
	}
	now = now.Add(time.Second)
	addr, old := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	h := newNoticeHost(&now, hosts{addr: survivor.served, old: nil})
	h.instances.Remove(limited.ID, infra.Position{Revision: 1}) // its entry is read later
	require.False(t, h.Learn(t.Context(), host.Info{ID: "old", LinkAddr: old}))
	require.False(t, h.Learn(t.Context(), host.Info{ID: "h1", LinkAddr: addr}), "the other host may have just started too")
	survivor.SetInformed()
	require.True(t, h.Learn(t.Context(), host.Info{ID: "h1", LinkAddr: addr}))
	h.instances.Put(upstreamNamed(0))
	perSecond, namedAt, named := h.instances.Limit(limited)
	require.True(t, named)
	require.Equal(t, 0.5, perSecond)
	require.Equal(t, now.Add(-time.Second), namedAt)
	require.Len(t, h.instances.Service("s", now), 2)
	require.Len(t, h.instances.Service("s", now.Add(2*time.Second)), 3)
}

// An upstream names another limit in each of 300 answers a second. Guards against a fact for each
// of them, which uses up the budget for gossip of all hosts, and against hosts that miss the last
// one.
func TestLimitThatChangesWithEachAnswerCausesFewFacts(t *testing.T) {
	now, p := time.Unix(1_700_000_100, 0), upstreamNamed(0).Process()
	h, other := newNoticeHost(&now, nil), newNoticeHost(&now, nil)
	for i := range 3000 {
		now = now.Add(10 * time.Second / 3000)
		h.answer(p, float64(i%7), true, now)
	}
	require.LessOrEqual(t, len(h.gossip.published), 40)
	for range 5 {
		now = now.Add(NoticeInterval)
		h.Flush(now)
	}
	for _, f := range h.gossip.published {
		other.receive(f, now)
	}
	perSecond, _, _ := other.instances.Limit(p)
	require.Equal(t, float64(2999%7), perSecond)
}
