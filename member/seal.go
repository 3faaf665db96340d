package member

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/host"
)

// tagBytes is the length of the truncated HMAC-SHA256 at the end of a datagram.
const tagBytes = 16

// rejection is the cause for which a datagram was dropped, used as a metric label.
type rejection string

// The causes for which datagrams are dropped.
const (
	rejectedForged      rejection = "forged"
	rejectedMalformed   rejection = "malformed"
	rejectedReplayed    rejection = "replayed"
	rejectedStale       rejection = "stale"
	rejectedMisdirected rejection = "misdirected"
	notRejected         rejection = ""
)

// sealer signs and checks datagrams with the fleet key. It is safe for
// concurrent use.
type sealer struct{ macs sync.Pool }

func newSealer(key []byte) *sealer {
	return &sealer{macs: sync.Pool{New: func() any { return hmac.New(sha256.New, key) }}}
}

func (s *sealer) tag(body []byte) []byte {
	mac := s.macs.Get().(hash.Hash)
	defer s.macs.Put(mac)
	mac.Reset()
	mac.Write(body)
	return mac.Sum(nil)[:tagBytes]
}

// seal encodes and signs a message.
func (s *sealer) seal(m *message) ([]byte, error) {
	body, err := encMode.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(body, s.tag(body)...), nil
}

// open verifies and decodes a datagram.
func (s *sealer) open(datagram []byte) (*message, rejection) {
	if len(datagram) <= tagBytes {
		return nil, rejectedMalformed
	}
	body, tag := datagram[:len(datagram)-tagBytes], datagram[len(datagram)-tagBytes:]
	if !hmac.Equal(tag, s.tag(body)) {
		return nil, rejectedForged
	}
	m, err := decodeMessage(body)
	if err != nil {
		return nil, rejectedMalformed
	}
	return m, notRejected
}

// windowWords is the size of a replay window in words of 64 sequence numbers.
const windowWords = 4

// replayWindow records which of a sender's latest sequence numbers were seen.
type replayWindow struct {
	highest uint64
	seen    [windowWords]uint64
	usedAt  time.Time
}

// accept reports whether a sequence number is new, and marks it as seen. Numbers
// older than the window count as replays.
func (w *replayWindow) accept(sequence uint64) bool {
	const span = windowWords * 64
	if sequence > w.highest {
		w.clearBetween(w.highest, sequence)
		w.highest = sequence
	} else if w.highest-sequence >= span {
		return false
	}
	word, bit := sequence/64%windowWords, uint64(1)<<(sequence%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// clearBetween clears the bits of the sequence numbers after from up to to, which
// still hold older numbers.
func (w *replayWindow) clearBetween(from, to uint64) {
	const span = windowWords * 64
	if to-from >= span {
		w.seen = [windowWords]uint64{}
		return
	}
	for n := from + 1; n <= to; n++ {
		w.seen[n/64%windowWords] &^= 1 << (n % 64)
	}
}

// replayGuard rejects datagrams that are old, replayed or meant for another host.
type replayGuard struct {
	self    host.ID
	maxAge  time.Duration
	windows map[host.ID]*replayWindow
}

func newReplayGuard(self host.ID, maxAge time.Duration) *replayGuard {
	return &replayGuard{self: self, maxAge: maxAge, windows: make(map[host.ID]*replayWindow)}
}

// check returns the cause for which a message with a valid signature is
// rejected, or notRejected.
func (g *replayGuard) check(now time.Time, m *message) rejection {
	if m.To != g.self && (m.To != "" || m.Kind != kindJoin) || m.Self.Info.ID == g.self {
		return rejectedMisdirected
	}
	if now.Sub(time.UnixMilli(m.SentMillis)).Abs() > g.maxAge {
		return rejectedStale
	}
	w, known := g.windows[m.Self.Info.ID]
	if !known {
		w = &replayWindow{}
		g.windows[m.Self.Info.ID] = w
	}
	w.usedAt = now
	if !w.accept(m.Sequence) {
		return rejectedReplayed
	}
	return notRejected
}

// forgetIdle drops the windows of senders that have been silent for twice maxAge:
// any datagram they sent before is now rejected by its age alone.
func (g *replayGuard) forgetIdle(now time.Time) {
	for id, w := range g.windows {
		if now.Sub(w.usedAt) > 2*g.maxAge {
			delete(g.windows, id)
		}
	}
}
