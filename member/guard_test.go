package member

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenaseam/galenaseam/host"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against hostile datagrams: replayed, forged, damaged, misdirected and
// old ones must not change the view, and each is counted under its cause.
func TestHostileDatagramsAreIgnoredAndCounted(t *testing.T) {
	n := newTwelveHostNetwork(t, 12)
	var captured [][]byte
	n.tap = func(datagram []byte) { captured = append(captured, bytes.Clone(datagram)) }
	n.run(10 * time.Second)
	n.tap = nil
	victim := n.nodes[6]
	before := victim.members(n.now)
	clear(n.rejected)

	random := rand.New(rand.NewPCG(5, 5))
	for _, datagram := range captured {
		n.deliver(victim, n.now, datagram)
		damaged := bytes.Clone(datagram)
		damaged[random.IntN(len(damaged))] ^= byte(1 + random.IntN(255))
		n.deliver(victim, n.now, damaged)
	}
	require.Equal(t, len(captured), n.rejected[rejectedForged])
	require.Equal(t, len(captured), n.rejected[rejectedReplayed]+n.rejected[rejectedMisdirected])
	require.Positive(t, n.rejected[rejectedReplayed])

	other := newSealer([]byte("another key"))
	forgery := &message{Kind: kindGossip, To: victim.self.Info.ID, Self: n.nodes[1].self, Sequence: 1 << 62, SentMillis: n.now.UnixMilli()}
	dead := n.nodes[2].self
	dead.State, dead.Incarnation = host.Dead, 99
	forgery.Records = append(forgery.Records, encodeRecord(dead))
	forged, err := other.seal(forgery)
	require.NoError(t, err)
	n.deliver(victim, n.now, forged)
	require.Equal(t, len(captured)+1, n.rejected[rejectedForged])

	for _, junk := range [][]byte{{}, {1}, bytes.Repeat([]byte{0xff}, 100), []byte("not a message")} {
		n.deliver(victim, n.now, append(junk, n.sealer.tag(junk)...))
	}
	require.Equal(t, 4, n.rejected[rejectedMalformed])

	fresh := newCore(host.Info{ID: victim.self.Info.ID, LinkAddr: victim.self.Info.LinkAddr}, n.timing, random, n.now)
	for _, datagram := range captured {
		m, cause := n.sealer.open(datagram)
		require.Equal(t, notRejected, cause)
		require.NotEqual(t, notRejected, fresh.receive(n.now.Add(2*n.timing.MaxAge), m), "an old datagram must be rejected by a host without a replay window")
	}
	require.Equal(t, before, victim.members(n.now))
}

// The replay window must accept each sequence number once, in any order, unless
// it is older than the window.
func TestWindowAcceptsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &replayWindow{}
		base := rapid.Uint64Range(1, 1<<60).Draw(t, "base")
		accepted := make(map[uint64]bool)
		highest := uint64(0)
		for range rapid.IntRange(1, 300).Draw(t, "count") {
			number := base + rapid.Uint64Range(0, 600).Draw(t, "offset")
			fresh := !accepted[number] && (number > highest || highest-number < windowWords*64)
			if got := w.accept(number); got != fresh {
				t.Fatalf("accept(%d) = %v after %d", number, got, highest)
			}
			accepted[number] = true
			highest = max(highest, number)
		}
	})
}

// No correctly signed datagram of a faulty host may crash the receiver.
func FuzzOpen(f *testing.F) {
	s := newSealer(fleetKey)
	n := newNetwork(f, 1)
	h := n.add("a")
	seed, err := encMode.Marshal(&message{Kind: kindPing, Self: h.self, Records: nil})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newCore(host.Info{ID: "x"}, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), n.now)
		if m, cause := s.open(append(bytes.Clone(body), s.tag(body)...)); cause == notRejected {
			m.To, m.SentMillis = "x", n.now.UnixMilli()
			c.receive(n.now, m)
			c.tick(n.now.Add(time.Second / 2))
		}
	})
}
