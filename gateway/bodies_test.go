package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/memory"
)

const testBodyMemory = 1 << 20

func newTestBodies() *memory.Account {
	return memory.New(testBodyMemory, testBodyMemory/8, slog.New(slog.DiscardHandler), nil)
}

// newRoom returns the memory of a request's body; evict may be nil.
func newRoom(account *memory.Account, evict func()) *memory.Holder {
	room := &memory.Holder{}
	room.Init(account, memory.Body, evict)
	return room
}

// readInto reads a body of n bytes whose length is stated.
func readInto(room *memory.Holder, n int64) error {
	_, err := readBodyHeld(context.Background(), room, testBodyMemory, bytes.NewReader(make([]byte, n)), n, 2*testBodyMemory)
	return err
}

// Guards against a host that exceeds its memory by the bodies of many requests, each within
// the limit of one.
func TestBodiesTogetherStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := newTestBodies()
		var rooms [5]*memory.Holder
		for i := range rooms {
			rooms[i] = newRoom(account, nil)
		}
		for i := range 4 {
			require.NoError(t, readInto(rooms[i], testBodyMemory/4))
		}
		start := time.Now()
		require.ErrorIs(t, readInto(rooms[4], testBodyMemory/4), errNoRoom)
		require.Equal(t, maxRoomWait, time.Since(start))
		require.EqualValues(t, testBodyMemory, account.Held(memory.Body))
		small := newRoom(account, nil)
		require.NoError(t, readInto(small, memory.SmallBytes), "small requests are served all the same")
		small.Free()
		go func() {
			time.Sleep(maxRoomWait / 2)
			rooms[0].Free()
			rooms[0].Free()
		}()
		require.NoError(t, readInto(rooms[4], testBodyMemory/4), "another request ends in time")
		for i := range rooms {
			rooms[i].Free()
		}
		require.Zero(t, account.Held(memory.Body))
		whole := newRoom(account, nil)
		require.NoError(t, readInto(whole, testBodyMemory), "all of it was given back")
		require.ErrorIs(t, readInto(newRoom(account, nil), testBodyMemory+1), errNoRoom)
	})
}

// Guards against memory for the longest body where a short one has no stated length, and
// against a broken body that is taken for a whole one.
func TestBodyOfUnknownLengthTakesTheMemoryOfItsLength(t *testing.T) {
	account := newTestBodies()
	broken := errors.New("connection reset")
	for name, c := range map[string]struct {
		bytes int
		end   error
		want  error
	}{
		"empty":              {},
		"small":              {bytes: memory.SmallBytes},
		"large":              {bytes: memory.SmallBytes + 1},
		"largest":            {bytes: testBodyMemory / maxUnknownShare},
		"too large":          {bytes: testBodyMemory/maxUnknownShare + 1, want: errNoRoom},
		"small, broken":      {bytes: 10, end: broken, want: broken},
		"large, broken":      {bytes: memory.SmallBytes + 1, end: broken, want: broken},
		"large, cut in half": {bytes: memory.SmallBytes + 1, end: io.ErrUnexpectedEOF, want: io.ErrUnexpectedEOF},
	} {
		sent := bytes.Repeat([]byte("x"), c.bytes)
		var body io.Reader = bytes.NewReader(sent)
		if c.end != nil {
			body = io.MultiReader(body, iotest.ErrReader(c.end))
		}
		room := newRoom(account, nil)
		got, err := readBodyHeld(t.Context(), room, testBodyMemory, body, -1, testBodyMemory)
		require.ErrorIs(t, err, c.want, name)
		if c.want == nil {
			require.Equal(t, string(sent), string(got), name)
			require.EqualValues(t, c.bytes, account.Held(memory.Body), name)
		}
		room.Free()
		require.Zero(t, account.Held(memory.Body), name)
	}
	require.NoError(t, readInto(newRoom(account, nil), testBodyMemory), "all of it was given back")
}

// Guards against bodies that stop just short of their end and keep others out, and against
// their being taken for whole ones. Load: two bodies, each half of the memory.
func TestBodyThatStopsGivesWayToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := newTestBodies()
		var ended [2]chan error
		for i := range ended {
			r, w := io.Pipe()
			room := newRoom(account, func() { _ = w.CloseWithError(errors.New("read deadline")) })
			ended[i] = make(chan error, 1)
			go func() {
				_, err := readBodyHeld(context.Background(), room, testBodyMemory, r, testBodyMemory/2, testBodyMemory)
				ended[i] <- err
			}()
			_, err := w.Write(make([]byte, testBodyMemory/2-1))
			require.NoError(t, err)
			time.Sleep(time.Second) // the second has just stopped
		}
		require.NoError(t, readInto(newRoom(account, nil), testBodyMemory/2))
		require.ErrorIs(t, <-ended[0], errNoRoom)
		require.Empty(t, ended[1], "one was enough")
		require.ErrorIs(t, readInto(newRoom(account, nil), testBodyMemory), errNoRoom, "a whole body is not ended")
		require.ErrorIs(t, <-ended[1], errNoRoom)
	})
}
