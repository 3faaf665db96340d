package gateway

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endlessReader repeats a text and counts what was read.
type endlessReader struct {
	text string
	read int
}

func (e *endlessReader) Read(p []byte) (int, error) {
	n := copy(p, strings.Repeat(e.text, len(p)/len(e.text)+1))
	e.read += n
	return n, nil
}

// A line or an event that never ends must be given up at the bound, not read into
// memory as long as it comes.
func TestEndlessEventIsGivenUpAtTheBound(t *testing.T) {
	for name, text := range map[string]string{"line": "x", "event of many lines": "data: x\n", "ID": "id:1"} {
		endless := &endlessReader{text: text}
		_, err := newEventReader(io.MultiReader(strings.NewReader("id: 1\ndata: ok\n\n"), endless)).next()
		require.NoError(t, err, name)
		reader := newEventReader(endless)
		_, err = reader.next()
		require.ErrorContains(t, err, "event is over", name)
		require.LessOrEqual(t, endless.read, maxEventBytes+64<<10, name)
	}
}

// What an upstream sends in place of an ID goes into the log, and must be short
// there.
func TestErrorOfMalformedEventIDIsShort(t *testing.T) {
	_, err := newEventReader(strings.NewReader("id: " + strings.Repeat("x", 100_000) + "\n\n")).next()
	require.ErrorContains(t, err, "is not a number")
	require.Less(t, len(err.Error()), 200)
}

// Events just within the bound must still arrive whole.
func TestLongEventWithinTheBoundIsRead(t *testing.T) {
	raw := "id: 7\ndata: " + strings.Repeat("x", maxEventBytes-100) + "\n\n"
	got, err := newEventReader(strings.NewReader(raw)).next()
	require.NoError(t, err)
	require.EqualValues(t, 7, got.id)
	require.Equal(t, raw, string(got.raw))
}
