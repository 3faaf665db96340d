package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/galenaseam/galenaseam/call"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// event is one event of a stream, including the blank line that ends it.
type event struct {
	raw []byte
	id  int64 // call.NoEvent if the event has none
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{reader: bufio.NewReader(r)} }

// next returns the next complete event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	got := event{id: call.NoEvent}
	for {
		line, err := e.reader.ReadBytes('\n')
		got.raw = append(got.raw, line...)
		if err != nil {
			if errors.Is(err, io.EOF) && len(got.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return got, err
		}
		if len(got.raw) > maxEventBytes {
			return got, Error.New("event is over %d bytes", maxEventBytes)
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return got, nil
		}
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil {
				return got, Error.New("event ID %q is not a number", text)
			}
			got.id = id
		}
	}
}
