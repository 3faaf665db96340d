package server

import (
	"bytes"
	"context"
	"maps"
	"net/http"

	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// maxKeptBytes bounds an answer that is kept for crossing.
const maxKeptBytes = 64 << 10

// defaultAfterEvents is how much of a stream goes out before it is spoiled.
const defaultAfterEvents = 3

// answer is a whole answer that was given to a call.
type answer struct {
	question []byte
	status   int
	header   http.Header
	body     bytes.Buffer
}

// answers says whether the answer was given to a try of the same call. Callers
// may choose the same request ID, or ask the same, but not both by chance.
func (a *answer) answers(call *Call) bool {
	sameID := a.header.Get(HeaderRequestID) == call.Request.Header.Get(HeaderRequestID)
	return sameID && bytes.Equal(a.question, call.Body)
}

// send gives the answer, headers included, to another call.
func (a *answer) send(w http.ResponseWriter) {
	clear(w.Header())
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // a caller that has gone needs no answer
}

// discard is a response writer that drops everything.
type discard struct{ header http.Header }

func newDiscard() *discard                     { return &discard{header: http.Header{}} }
func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(p []byte) (int, error) { return len(p), nil }
func (d *discard) WriteHeader(int)             {}
func (d *discard) Flush()                      {}

// spoiler passes an answer on and breaks it in the middle if told to.
type spoiler struct {
	http.ResponseWriter
	ctx    context.Context
	kind   fault.Kind // empty: none
	after  int        // writes that go out before
	writes int
	gone   bool // drop the rest
	kept   *answer
	keep   func(*answer)
}

// spoiled returns the writer for one call under the failures in force.
func (u *Upstream) spoiled(w http.ResponseWriter, call *Call) *spoiler {
	s := &spoiler{ResponseWriter: w, ctx: call.Request.Context(), kept: &answer{question: call.Body, status: http.StatusOK}, keep: u.keep}
	for _, kind := range []fault.Kind{fault.Truncate, fault.Cut, fault.Stall} {
		f, ok := u.faults.Trigger(kind)
		if !ok {
			continue
		}
		s.kind = kind
		s.after = f.AfterEvents
		if s.after == 0 {
			s.after = defaultAfterEvents
		}
		break
	}
	return s
}

// WriteHeader sends the status.
func (s *spoiler) WriteHeader(status int) {
	s.kept.status = status
	s.ResponseWriter.WriteHeader(status)
}

// Flush sends what is buffered.
func (s *spoiler) Flush() { _ = http.NewResponseController(s.ResponseWriter).Flush() }

// Write sends one event of a stream or the whole of another answer.
func (s *spoiler) Write(p []byte) (int, error) {
	if s.gone {
		return len(p), nil
	}
	s.writes++
	stream := isStream(s.Header())
	if s.kind != "" && (!stream || s.writes > s.after) {
		if !stream {
			_, _ = s.ResponseWriter.Write(p[:len(p)/2]) // broken off on purpose
		}
		s.spoil()
		return len(p), nil
	}
	s.remember(p, stream)
	return s.ResponseWriter.Write(p)
}

// remember keeps answers in one piece for crossing.
func (s *spoiler) remember(p []byte, stream bool) {
	if stream || len(p) > maxKeptBytes {
		return
	}
	s.kept.header = s.Header().Clone()
	s.kept.body.Write(p)
	s.keep(s.kept)
}

// spoil breaks the answer off in the way that was told.
func (s *spoiler) spoil() {
	s.gone = true
	switch s.kind {
	case fault.Cut:
		s.Flush()
		panic(http.ErrAbortHandler)
	case fault.Stall:
		s.Flush()
		<-s.ctx.Done()
		panic(http.ErrAbortHandler)
	}
}
