package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"
)

const (
	// smallBodyBytes is the largest body that is read without a reservation. All that a
	// host's connections can hold of them is a part of its memory.
	smallBodyBytes = 16 << 10
	// maxUnknownShare divides the limit to get the largest body whose length the caller does
	// not state.
	maxUnknownShare = 8
	// maxRoomWait is how long a large body waits, unread, until others have ended. It is below
	// the second after which callers abandon a request that is not read.
	maxRoomWait = 400 * time.Millisecond
	// noRoomRetryAfter is about the time in which streams end and free their bodies. A
	// random time of the same length is added to it.
	noRoomRetryAfter = time.Second
)

// errNoRoom means that the bodies of other requests take all the memory for bodies.
var errNoRoom = errs.New("no memory for the request's body")

// bodyMemory bounds the memory of the bodies that requests in progress hold. It is safe for
// concurrent use.
type bodyMemory struct {
	limit  int64 // in bytes; 0 means no limit
	room   *semaphore.Weighted
	held   atomic.Int64 // in bytes, small bodies included
	heldBy prometheus.Gauge
}

func newBodyMemory(limit int64, gauge prometheus.Gauge) *bodyMemory {
	return &bodyMemory{limit: limit, room: semaphore.NewWeighted(limit), heldBy: gauge}
}

// bodyRoom is the memory that one request holds for its body.
type bodyRoom struct {
	memory   *bodyMemory
	reserved int64 // of the limit
	counted  int64 // of memory.held
}

// reserve reserves memory for a large body. It waits for other requests to end, in the order
// of the calls, and returns errNoRoom if that takes too long.
func (b *bodyRoom) reserve(ctx context.Context, bytes int64) error {
	if b.memory.limit > 0 {
		ctx, cancel := context.WithTimeout(ctx, maxRoomWait)
		defer cancel()
		if bytes > b.memory.limit || b.memory.room.Acquire(ctx, bytes) != nil {
			return errNoRoom
		}
		b.reserved += bytes
	}
	b.count(bytes)
	return nil
}

// shrinkTo returns what was reserved beyond a number of bytes.
func (b *bodyRoom) shrinkTo(bytes int64) {
	if excess := b.reserved - bytes; excess > 0 {
		b.memory.room.Release(excess)
		b.reserved -= excess
	}
	b.count(bytes - b.counted)
}

// count counts bytes that are held beyond those counted before.
func (b *bodyRoom) count(bytes int64) {
	b.counted += bytes
	b.memory.heldBy.Set(float64(b.memory.held.Add(bytes)))
}

// free returns all of the memory. Calling it again has no effect.
func (b *bodyRoom) free() { b.shrinkTo(0) }

// read reads a body of at most limit bytes whose length is given, or negative if the caller
// did not state it. It returns errNoRoom before it has read a large body.
func (b *bodyRoom) read(ctx context.Context, body io.Reader, length, limit int64) ([]byte, error) {
	if length > smallBodyBytes {
		if err := b.reserve(ctx, length); err != nil {
			return nil, err
		}
		whole := make([]byte, length)
		_, err := io.ReadFull(body, whole)
		return whole, err
	}
	first, err := io.ReadAll(io.LimitReader(body, smallBodyBytes+1))
	if err != nil || len(first) <= smallBodyBytes {
		b.count(int64(len(first)))
		return first, err
	}
	if b.memory.limit > 0 {
		limit = min(limit, b.memory.limit/maxUnknownShare)
	}
	if err := b.reserve(ctx, limit); err != nil {
		return nil, err
	}
	whole := make([]byte, limit)
	n, err := readToEnd(body, whole[copy(whole, first):])
	whole = append([]byte(nil), whole[:len(first)+n]...)
	b.shrinkTo(int64(len(whole)))
	return whole, err
}

// readToEnd reads a body to its end. It returns errNoRoom if the buffer is too small.
func readToEnd(body io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = body.Read(buffer[n:])
		n += more
	}
	if err == nil {
		var more int
		if more, err = body.Read(make([]byte, 1)); more > 0 {
			err = errNoRoom
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return n, err
}

// discardBody reads what is left of a body that was refused, so that the caller gets the
// answer, which it may read only after it has sent all.
func discardBody(body io.Reader) {
	_, _ = io.Copy(io.Discard, body) // if this fails, the caller has left or is too slow
}

// noRoom returns the refusal of a request whose body this host has no memory for.
func (x *exchange) noRoom() refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: "no_memory_for_body", detail: errNoRoom.Error(), retryAfter: x.spread(noRoomRetryAfter),
	}
}
