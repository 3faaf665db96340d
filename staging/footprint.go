package staging

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/routing"
)

// Bounds of what a request or a message of another host makes a host hold for the pieces of
// its stages.
const (
	// maxPieces is the most pieces of one stage of a request.
	maxPieces = 1 << 14
	// maxInputBytes bounds the handles that each piece of a group reads: they are sent with
	// every piece.
	maxInputBytes = 1 << 20
	// pieceBytes is about what one piece takes: its result, a handle of call.MaxHandleBytes
	// and the lists that they are in.
	pieceBytes = 256
	// sentPieceBytes is about what a piece without inputs takes in a call to a server.
	sentPieceBytes = 256
	// inputOverheadBytes is what a handle takes beside its text where it is an input.
	inputOverheadBytes = 16
	// minHandleBytes is the least that a handle has: an address, a port and a name.
	minHandleBytes = int64(len("1.2.3.4:5/6"))
	// maxCallBytes bounds the pieces of a call with their inputs, unless it has one piece.
	maxCallBytes = 1 << 20
	// unaccountedCallBytes is the most that a call takes without asking the account. Usual
	// calls take less, and must not wait for large bodies to end.
	unaccountedCallBytes = 128 << 10
	// maxRoomWait is how long a request waits, before anything is done for it, until others
	// have freed memory.
	maxRoomWait = 400 * time.Millisecond
)

// inputBytes returns what a group's inputs take once.
func (g *Group) inputBytes() int64 {
	n := int64(0)
	for _, handle := range g.Inputs {
		n += int64(len(handle)) + inputOverheadBytes
	}
	return n
}

// bytes returns what a group takes at the host that requests it, and at its gatherer.
func (g *Group) bytes() int64 { return int64(g.Pieces)*pieceBytes + g.inputBytes() }

// checkInputs returns an error if the pieces of a group are not given either a key or distinct
// inputs. A host of a build that did not check the plans of requests may have sent it.
func (g *Group) checkInputs() error {
	if (g.Key == "") == (len(g.Inputs) == 0) {
		return Error.New("group of stage %d of request %q must have either a key or inputs", g.Stage, g.RequestID)
	}
	known := make(map[string]bool, len(g.Inputs))
	for _, handle := range g.Inputs {
		if handle == "" || known[handle] {
			return Error.New("group of stage %d of request %q has the input %q, which is empty or listed twice", g.Stage, g.RequestID, handle)
		}
		known[handle] = true
	}
	return nil
}

// check returns an error if a group is not one that a host sends. Another host, or another
// version of the software, may have sent it.
func (g *Group) check() error {
	if g.Pieces < 1 || g.Pieces > maxPieces {
		return Error.New("group of stage %d of request %q has %d pieces, must have 1 to %d", g.Stage, g.RequestID, g.Pieces, maxPieces)
	}
	if n := g.inputBytes(); n > maxInputBytes {
		return Error.New("inputs of stage %d of request %q take %d bytes, over %d", g.Stage, g.RequestID, n, maxInputBytes)
	}
	return nil
}

// sentBytes returns what each piece of a group takes in a call to a server.
func (w *workItem) sentBytes() int64 { return sentPieceBytes + w.sentInputs }

// maxPiecesPerCall returns how many pieces of a group fit into a call in which bytes are taken.
func (w *workItem) maxPiecesPerCall(taken int64) int {
	n := int((maxCallBytes - taken) / w.sentBytes())
	if taken == 0 {
		return max(n, 1)
	}
	return max(n, 0)
}

// sentBytes returns what the pieces of a call take.
func sentBytes(parts []batchPart) (n int64) {
	for _, part := range parts {
		n += int64(len(part.pieces)) * part.item.sentBytes()
	}
	return n
}

// newHolder returns a holder of memory for pieces, which is never evicted.
func newHolder(a *memory.Account) *memory.Holder {
	h := &memory.Holder{}
	h.Init(a, memory.Pieces, func() {})
	return h
}

// feasibilityMargin is by how many times the servers of a service may be faster than the
// configuration says.
const feasibilityMargin = 4

// leastTime returns the least time in which the servers of a service run a number of pieces if
// they do nothing else; 0 if that is not known.
func leastTime(pieces, servers int, spec *routing.StageServer) time.Duration {
	atOnce := servers * max(spec.Concurrency, 1) * spec.BatchSize
	if atOnce <= 0 {
		return 0
	}
	rounds := (pieces + atOnce - 1) / atOnce
	return time.Duration(rounds) * spec.FullBatchTime() / feasibilityMargin
}

// takeMemory takes the memory for the pieces of a request before anything is done for them.
// Each stage has a holder, so that stages of the usual size count as small.
func (s *Results) takeMemory(ctx context.Context, a *memory.Account, g *graph) error {
	for i, pieces := range g.pieces {
		if pieces == 0 {
			continue
		}
		room := newHolder(a)
		s.rooms = append(s.rooms, room)
		if err := room.Grow(ctx, int64(pieces)*pieceBytes, maxRoomWait); err != nil {
			return Error.New("no memory for %d pieces of stage %d: %w", pieces, i, err)
		}
	}
	return nil
}
