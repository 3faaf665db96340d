package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/galenaseam/galenaseam/call"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// event is one event of a stream with its blank line.
type event struct {
	raw []byte
	id  int64 // call.NoEvent when it has none
}

// events splits a stream into events.
type events struct {
	reader *bufio.Reader
}

func newEvents(r io.Reader) *events { return &events{reader: bufio.NewReader(r)} }

// next returns the next whole event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF when that comes inside an event.
func (e *events) next() (event, error) {
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
				return got, Error.New("event has the ID %q", text)
			}
			got.id = id
		}
	}
}
