package server

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// maxRecordedBytes bounds the answers that are recorded for the faults that
// send the answer of another call.
const maxRecordedBytes = 64 << 10

// defaultAfterEvents is how many events of a stream are sent before a fault
// whose AfterEvents is 0 takes effect.
const defaultAfterEvents = 3

// recordedAnswer is a complete answer to a call.
type recordedAnswer struct {
	requestBody []byte
	status      int
	header      http.Header
	body        bytes.Buffer
}

// isFor reports whether the answer was given to an attempt of the same call.
// Different calls may share a request ID or a body, but hardly both by chance.
func (a *recordedAnswer) isFor(call *Call) bool {
	sameID := a.header.Get(HeaderRequestID) == call.Request.Header.Get(HeaderRequestID)
	return sameID && bytes.Equal(a.requestBody, call.Body)
}

// send writes the answer with its headers to w, the response of another call.
func (a *recordedAnswer) send(w http.ResponseWriter) {
	clear(w.Header())
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body.Bytes()) // fails only if the caller has disconnected
}

// discardWriter is an http.ResponseWriter that discards everything.
type discardWriter struct{ header http.Header }

func newDiscardWriter() *discardWriter               { return &discardWriter{header: http.Header{}} }
func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// faultWriter forwards an answer, records it, and interrupts it if a fault
// affects the call.
type faultWriter struct {
	http.ResponseWriter
	ctx           context.Context
	kind          fault.Kind    // empty if no fault affects the call
	allowedWrites int           // writes to a stream before the fault takes effect
	stallTime     time.Duration // how long a stall lasts; 0 means until the connection is closed
	writes        int
	interrupted   bool // discard further writes
	answer        *recordedAnswer
	onAnswer      func(*recordedAnswer)
}

// newFaultWriter returns the writer for one call under the active faults.
func (u *Upstream) newFaultWriter(w http.ResponseWriter, call *Call) *faultWriter {
	fw := &faultWriter{ResponseWriter: w, ctx: call.Request.Context(), answer: &recordedAnswer{requestBody: call.Body, status: http.StatusOK}, onAnswer: u.recordAnswer}
	for _, kind := range []fault.Kind{fault.Truncate, fault.Cut, fault.Stall} {
		f, ok := u.faults.Trigger(kind)
		if !ok {
			continue
		}
		fw.kind = kind
		fw.allowedWrites = f.AfterEvents
		fw.stallTime = f.Delay()
		if fw.allowedWrites == 0 {
			fw.allowedWrites = defaultAfterEvents
		}
		break
	}
	return fw
}

// WriteHeader sends the status.
func (fw *faultWriter) WriteHeader(status int) {
	fw.answer.status = status
	fw.ResponseWriter.WriteHeader(status)
}

// Flush sends buffered data.
func (fw *faultWriter) Flush() { _ = http.NewResponseController(fw.ResponseWriter).Flush() }

// Write sends p, which is one event of a stream or a whole answer of another
// type.
func (fw *faultWriter) Write(p []byte) (int, error) {
	if fw.interrupted {
		return len(p), nil
	}
	fw.writes++
	stream := isStream(fw.Header())
	if fw.kind == fault.Stall && fw.stallTime > 0 && fw.writes == fw.allowedWrites+1 {
		fw.pause()
	} else if fw.kind != "" && fw.stallTime == 0 && (!stream || fw.writes > fw.allowedWrites) {
		if !stream {
			_, _ = fw.ResponseWriter.Write(p[:len(p)/2]) // the fault sends half of the answer
		}
		fw.interrupt()
		return len(p), nil
	}
	fw.record(p, stream)
	return fw.ResponseWriter.Write(p)
}

// record passes an answer that is not a stream to onAnswer, unless it is too
// large.
func (fw *faultWriter) record(p []byte, stream bool) {
	if stream || len(p) > maxRecordedBytes {
		return
	}
	fw.answer.header = fw.Header().Clone()
	fw.answer.body.Write(p)
	fw.onAnswer(fw.answer)
}

// pause sends nothing for the time of a stall.
func (fw *faultWriter) pause() {
	fw.Flush()
	if sleep.For(fw.ctx, fw.stallTime) != nil {
		panic(http.ErrAbortHandler)
	}
}

// interrupt ends the answer as the fault requires. Truncate only discards
// further writes, so that the answer seems to end normally.
func (fw *faultWriter) interrupt() {
	fw.interrupted = true
	switch fw.kind {
	case fault.Cut:
		fw.Flush()
		panic(http.ErrAbortHandler)
	case fault.Stall:
		fw.Flush()
		<-fw.ctx.Done()
		panic(http.ErrAbortHandler)
	}
}
