package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/memory"
)

// maxEventBytes is the maximum size of one event.
const maxEventBytes = 1 << 20

// event is one event of a stream, including the blank line that ends it.
type event struct {
	raw []byte
	id  int64 // call.NoEvent if the event has none
	// held is the memory that was taken for the event; 0 for a short one.
	held int64
}

// isComment reports whether an event has nothing but comments.
func (e event) isComment() bool {
	for line := range bytes.Lines(e.raw) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// eventReader splits a stream into events.
type eventReader struct {
	reader *bufio.Reader
	// room takes memory for a long event; nil takes none.
	room func(bytes int64) error
}

func newEventReader(r io.Reader) *eventReader { return &eventReader{reader: bufio.NewReader(r)} }

// next returns the next complete event. It returns io.EOF at the end of the
// stream, and io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() (event, error) {
	got := event{id: call.NoEvent}
	for {
		start := len(got.raw)
		err := e.readLine(&got)
		if err != nil {
			if errors.Is(err, io.EOF) && len(got.raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return got, err
		}
		line := bytes.TrimRight(got.raw[start:], "\r\n")
		if len(line) == 0 {
			return got, nil
		}
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			if err != nil {
				return got, Error.New("event ID %q is not a number", text[:min(len(text), maxQuotedBytes)])
			}
			got.id = id
		}
	}
}

// maxQuotedBytes bounds how much of an event goes into an error.
const maxQuotedBytes = 40

// readLine adds a line to an event. It stops as soon as the event is too long.
func (e *eventReader) readLine(to *event) error {
	for {
		part, err := e.reader.ReadSlice('\n')
		if roomErr := e.takeRoom(to, len(to.raw)+len(part)); roomErr != nil {
			return roomErr
		}
		to.raw = append(to.raw, part...)
		if len(to.raw) > maxEventBytes {
			return Error.New("event is over %d bytes", maxEventBytes)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// takeRoom takes memory before an event grows to a size. Short events take none: an attempt has
// at most maxBufferedEvents at a time.
func (e *eventReader) takeRoom(to *event, size int) error {
	if e.room == nil || size <= memory.SmallBytes || int64(size) <= to.held {
		return nil
	}
	more := min(2*int64(size), maxEventBytes) - to.held // append doubles its buffer
	if more <= 0 {
		return nil
	}
	if err := e.room(more); err != nil {
		return err
	}
	to.held += more
	return nil
}
