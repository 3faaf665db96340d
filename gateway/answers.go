package gateway

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/memory"
)

// readAnswer reads the complete body of an answer. It waits until other requests have freed
// the memory for it; the upstream has run the request, so that it is not refused.
func (s *upstreamAttempt) readAnswer(a *call.Answer, length int64) ([]byte, error) {
	switch {
	case s.request.Method == http.MethodHead:
		length = -1 // what it states is the length of another answer
	case length > maxAnswerBytes:
		return nil, Error.New("answer body is over %d bytes", maxAnswerBytes)
	}
	wait := maxGrowthWait
	if length >= 0 {
		wait = max(time.Until(s.deadline), 0) // nothing of it is held yet
	}
	grow := func(bytes int64) error { return s.takeRoom(bytes, wait) }
	body, err := readHeld(&s.answerRoom, grow, a.Body, length, maxAnswerBytes)
	if err == errNoRoom { //nolint:errorlint // readHeld returns the value itself
		err = Error.New("answer body is over %d bytes", maxAnswerBytes)
	}
	return body, err
}

// takeRoom takes memory for the answer. The time in which it waits for other requests does not
// count as a silence of the upstream.
func (s *upstreamAttempt) takeRoom(bytes int64, wait time.Duration) error {
	if s.answerRoom.TryGrow(bytes, time.Now()) {
		return nil
	}
	s.monitor.pause()
	defer s.monitor.resume()
	return s.answerRoom.Grow(s.ctx, bytes, wait)
}

// endWrite ends a write to the caller that makes no progress.
func (x *exchange) endWrite() { _ = http.NewResponseController(x.w).SetWriteDeadline(longAgo) }

// writeHeld writes what takes memory to the caller. While it waits for the caller to read, the
// request may be ended in favour of others.
func (x *exchange) writeHeld(bytes []byte) error {
	if len(bytes) <= memory.SmallBytes {
		_, err := x.w.Write(bytes)
		return err
	}
	if m := memory.WriteMeterOf(x.r.Context()); m != nil {
		x.answerRoom.UseMeter(m)
		x.answerRoom.MayEvict(true, time.Now())
	}
	_, err := x.w.Write(bytes)
	x.answerRoom.MayEvict(false, time.Now())
	if err == nil && x.answerRoom.Evicted() {
		// The caller read the last bytes as the request was evicted. The connection can't be
		// written to any more.
		err = memory.ErrFull
	}
	return err
}
