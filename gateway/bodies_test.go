package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

const testBodyMemory = 1 << 20

func newTestBodies() *bodyMemory {
	return newBodyMemory(testBodyMemory, prometheus.NewGauge(prometheus.GaugeOpts{Name: "x"}))
}

// readInto reads a body of n bytes whose length is stated.
func readInto(room *bodyRoom, n int64) error {
	_, err := room.read(context.Background(), bytes.NewReader(make([]byte, n)), n, testBodyMemory)
	return err
}

// Guards against a host that exceeds its memory by the bodies of many requests, each within
// the limit of one.
func TestBodiesTogetherStayWithinTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newTestBodies()
		var rooms [5]bodyRoom
		for i := range rooms {
			rooms[i].memory = memory
		}
		for i := range 4 {
			require.NoError(t, readInto(&rooms[i], testBodyMemory/4))
		}
		start := time.Now()
		require.ErrorIs(t, readInto(&rooms[4], testBodyMemory/4), errNoRoom)
		require.Equal(t, maxRoomWait, time.Since(start))
		require.EqualValues(t, testBodyMemory, memory.held.Load())
		small := bodyRoom{memory: memory}
		require.NoError(t, readInto(&small, smallBodyBytes), "small requests are served all the same")
		small.free()
		go func() {
			time.Sleep(maxRoomWait / 2)
			rooms[0].free()
			rooms[0].free()
		}()
		require.NoError(t, readInto(&rooms[4], testBodyMemory/4), "another request ends in time")
		for i := range rooms {
			rooms[i].free()
		}
		require.Zero(t, memory.held.Load())
		whole := bodyRoom{memory: memory}
		require.NoError(t, readInto(&whole, testBodyMemory), "all of it was given back")
		require.ErrorIs(t, readInto(&bodyRoom{memory: memory}, testBodyMemory+1), errNoRoom)
	})
}

// Guards against memory for the longest body where a short one has no stated length, and
// against a broken body that is taken for a whole one.
func TestBodyOfUnknownLengthTakesTheMemoryOfItsLength(t *testing.T) {
	memory := newTestBodies()
	broken := errors.New("connection reset")
	for name, c := range map[string]struct {
		bytes int
		end   error
		want  error
	}{
		"empty":              {},
		"small":              {bytes: smallBodyBytes},
		"large":              {bytes: smallBodyBytes + 1},
		"largest":            {bytes: testBodyMemory / maxUnknownShare},
		"too large":          {bytes: testBodyMemory/maxUnknownShare + 1, want: errNoRoom},
		"small, broken":      {bytes: 10, end: broken, want: broken},
		"large, broken":      {bytes: smallBodyBytes + 1, end: broken, want: broken},
		"large, cut in half": {bytes: smallBodyBytes + 1, end: io.ErrUnexpectedEOF, want: io.ErrUnexpectedEOF},
	} {
		sent := bytes.Repeat([]byte("x"), c.bytes)
		var body io.Reader = bytes.NewReader(sent)
		if c.end != nil {
			body = io.MultiReader(body, iotest.ErrReader(c.end))
		}
		room := bodyRoom{memory: memory}
		got, err := room.read(t.Context(), body, -1, testBodyMemory)
		require.ErrorIs(t, err, c.want, name)
		if c.want == nil {
			require.Equal(t, string(sent), string(got), name)
			require.EqualValues(t, c.bytes, memory.held.Load(), name)
		}
		room.free()
		require.Zero(t, memory.held.Load(), name)
	}
	require.True(t, memory.room.TryAcquire(testBodyMemory), "all of it was given back")
}
