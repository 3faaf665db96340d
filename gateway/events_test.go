package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
)

func TestReaderReturnsOnlyWholeEvents(t *testing.T) {
	e := newEventReader(strings.NewReader("id: 7\ndata: a\n\nweight-versions: 3\r\nid:8\r\ndata: b\r\n\r\ndata: none\n\nid: 9\nda"))
	for _, want := range []int64{7, 8, call.NoEvent} {
		got, err := e.next()
		require.NoError(t, err)
		require.Equal(t, want, got.id)
	}
	_, err := e.next()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestReaderReturnsEOFBetweenEvents(t *testing.T) {
	e := newEventReader(strings.NewReader("id: 7\n\n"))
	_, err := e.next()
	require.NoError(t, err)
	_, err = e.next()
	require.ErrorIs(t, err, io.EOF)
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: x\n\n")
	f.Add("id: x\n\n")
	f.Add("\r\n\n\r")
	f.Fuzz(func(t *testing.T, text string) {
		e := newEventReader(strings.NewReader(text))
		var passed strings.Builder
		for {
			got, err := e.next()
			if err != nil {
				if errors.Is(err, io.EOF) {
					require.Equal(t, text, passed.String(), "a complete stream must be forwarded unchanged")
				}
				return
			}
			passed.Write(got.raw)
		}
	})
}
