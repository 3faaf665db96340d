package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/memory"
)

const (
	// maxUnknownShare divides the memory for bodies to get the largest body whose length the
	// caller does not state.
	maxUnknownShare = 4
	// firstBufferBytes is what a body or an answer without a stated length takes at first. The
	// buffer is doubled each time it is full.
	firstBufferBytes = 1 << 10
	// maxRoomWait is how long a large body waits, unread, until others have ended. It is below
	// the second after which callers abandon a request that is not read.
	maxRoomWait = 400 * time.Millisecond
	// maxGrowthWait is how long an answer that has been read in part waits for more memory.
	maxGrowthWait = 2 * time.Second
	// maxDiscardTime bounds the reading of a body that was refused. The largest body takes 3.4 s
	// at 10 Mbit/s.
	maxDiscardTime = 4 * time.Second
	// noRoomRetryAfter is about the time in which streams end and free their bodies. A
	// random time of the same length is added to it.
	noRoomRetryAfter = time.Second
)

// errNoRoom means that other requests take all the memory for the request's body, or that its
// body stopped while others waited.
var errNoRoom = errs.New("no memory for the request's body")

// meteredReader records the progress of what it reads.
type meteredReader struct {
	io.Reader
	room *memory.Holder
}

func (m meteredReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	m.room.Progress(n, time.Now())
	return n, err
}

// readHeld reads to the end of r, at most limit bytes, into memory of room that grow takes.
// length is negative if it is not known.
func readHeld(room *memory.Holder, grow func(bytes int64) error, r io.Reader, length, limit int64) ([]byte, error) {
	r = meteredReader{r, room}
	if length < 0 {
		return readGrowing(room, grow, r, limit)
	}
	if length == 0 {
		return nil, nil
	}
	if err := grow(length); err != nil {
		return nil, err
	}
	whole := make([]byte, length)
	if _, err := io.ReadFull(r, whole); err != nil {
		room.Release(length)
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return whole, nil
}

// readGrowing does the work of readHeld if the length is not known.
func readGrowing(room *memory.Holder, grow func(bytes int64) error, r io.Reader, limit int64) (whole []byte, err error) {
	size := min(firstBufferBytes, limit)
	if err := grow(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, size)
	defer func() {
		if err != nil {
			room.Release(int64(len(buffer)))
		}
	}()
	for n := 0; ; {
		more, err := r.Read(buffer[n:])
		n += more
		switch {
		case errors.Is(err, io.EOF):
			return trim(room, buffer, n), nil
		case err != nil:
			return nil, err
		case n < len(buffer):
			continue
		case int64(n) == limit:
			return endsHere(r, room, buffer, n)
		}
		larger := min(2*int64(n), limit)
		if err := grow(larger); err != nil {
			return nil, err
		}
		grown := make([]byte, larger)
		copy(grown, buffer)
		buffer = grown
		room.Release(int64(n))
	}
}

// endsHere returns a body that fills its buffer, or errNoRoom if it is longer.
func endsHere(r io.Reader, room *memory.Holder, buffer []byte, n int) ([]byte, error) {
	var next [1]byte
	for {
		more, err := r.Read(next[:])
		switch {
		case more > 0:
			return nil, errNoRoom
		case errors.Is(err, io.EOF):
			return trim(room, buffer, n), nil
		case err != nil:
			return nil, err
		}
	}
}

// trim returns the first n bytes of a buffer, and gives back the rest.
func trim(room *memory.Holder, buffer []byte, n int) []byte {
	if n == len(buffer) {
		return buffer
	}
	whole := append(make([]byte, 0, n), buffer[:n]...)
	room.Release(int64(len(buffer) - n))
	return whole
}

// readBodyHeld reads a request's body of at most limit bytes whose length is given, or
// negative if the caller did not state it. It returns errNoRoom before it has read a large
// body of stated length.
func readBodyHeld(ctx context.Context, room *memory.Holder, memoryBytes int64, body io.Reader, length, limit int64) ([]byte, error) {
	if length < 0 && memoryBytes > 0 {
		limit = min(limit, memoryBytes/maxUnknownShare)
	}
	room.MayEvict(true, time.Now())
	grow := func(bytes int64) error { return room.Grow(ctx, bytes, maxRoomWait) }
	whole, err := readHeld(room, grow, body, length, limit)
	room.MayEvict(false, time.Now())
	// A request that was evicted as its last bytes arrived can't be served: its connection
	// may no longer be read.
	if errors.Is(err, memory.ErrFull) || room.Evicted() {
		return nil, errNoRoom
	}
	return whole, err
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
