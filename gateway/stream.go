package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/transport"
)

// Why a replacement can't go on with a stream.
var (
	errEarlyEnd     = errors.New("stream ended without an event or before the last event that the caller has")
	errWrongVersion = errors.New("another software version began the stream")
	errForeign      = errors.New("answer is not a part of the stream that has begun")
)

// readEvents reports the events of an answer as they arrive, and its end. An unframed
// stream without an event has not ended: its upstream may have crashed after the head.
func (s *upstreamAttempt) readEvents(a *call.Answer, received *transport.Answer) {
	events := newEventReader(a.Body)
	events.room = func(bytes int64) error { return s.takeRoom(bytes, maxGrowthWait) }
	empty := true
	for {
		if err := s.awaitConsumption(); err != nil {
			s.report(s.lostAnswer("broke_in_stream", err))
			return
		}
		event, err := events.next()
		if err != nil {
			s.answerRoom.Release(event.held) // of an incomplete event
		}
		if errors.Is(err, io.EOF) && empty && received.Unframed() {
			err = io.ErrUnexpectedEOF
		}
		switch {
		case errors.Is(err, io.EOF):
			received.Close()
			s.report(report{kind: streamEnded, answer: a})
			return
		case errors.Is(err, memory.ErrFull):
			s.report(report{kind: attemptEnded, result: outcomeUnknown, outcome: instance.Abandoned, status: a.Status, label: "no_memory_for_answer", err: err})
			return
		case err != nil:
			s.report(s.lostAnswer("broke_in_stream", err))
			return
		}
		empty = false
		s.monitor.recordActivity()
		s.mu.Lock()
		s.lastHeardAt = time.Now()
		s.mu.Unlock()
		s.report(report{kind: eventArrived, answer: a, event: event})
	}
}

// onEvent forwards an event to the caller, unless the caller already has it from
// another upstream, or gets it from another one that is preferred.
func (r *race) onEvent(s *upstreamAttempt, a *call.Answer, e event) (finished bool) {
	if !r.continues(a, e) {
		r.answerRoom.Release(e.held)
		return r.onAttemptEnded(s, report{result: outcomeUnknown, outcome: instance.Broke, status: a.Status, label: "foreign", err: errForeign})
	}
	s.events++
	if !r.bindVersion(s) {
		r.answerRoom.Release(e.held)
		return r.onAttemptEnded(s, report{result: outcomeUnknown, outcome: instance.Abandoned, status: a.Status, label: "wrong_version", err: errWrongVersion})
	}
	s.recordFirstEvent()
	if s.events == 1 {
		r.freeUnusedInputs()
	}
	if e.id != call.NoEvent {
		s.lastID = max(s.lastID, e.id)
	}
	switch {
	case r.isDuplicate(e):
		s.resumed = true
		s.consume(e)
	case r.standsBy(s):
		s.resumed = true
		r.holdBack(s, a, e)
	default:
		return r.forward(s, a, e)
	}
	return false
}

// isDuplicate reports whether the caller already has an event.
func (r *race) isDuplicate(e event) bool { return e.id != call.NoEvent && e.id <= r.lastEventID }

// forward sends the caller an event that continues what it has.
func (r *race) forward(s *upstreamAttempt, a *call.Answer, e event) (finished bool) {
	defer s.consume(e)
	isComment := e.id == call.NoEvent && e.isComment()
	if e.id == call.NoEvent && !isComment {
		r.unnumbered = true
	}
	// A comment does not show which of two attempts continues the stream first.
	if isComment && len(r.running) > 1 && r.route.Resumable {
		s.resumed = true
	} else {
		r.prefer(s, time.Now())
	}
	r.writeHead(a)
	if err := r.writeEvent(e.raw); err != nil {
		reason := "caller_left"
		if r.answerRoom.Evicted() {
			reason = "answer_not_read"
		}
		s.end(instance.Abandoned, 0, reason, err)
		r.refuse(refusal{reason: reason, abort: true})
		return true
	}
	r.lastEventAt = time.Now()
	s.monitor.recordActivity()
	if e.id != call.NoEvent {
		r.lastEventID = e.id
	}
	r.events++
	s.recordSoundEvents(r.lastEventAt)
	if !isComment {
		r.updateStandbys(s, r.lastEventAt)
	}
	return false
}

// continues reports whether an event of an answer may follow those that the caller has. An
// upstream in trouble may write an error where the rest of the stream is due.
func (r *race) continues(a *call.Answer, e event) bool {
	return r.isOfStream(a) && (r.lastEventID == call.NoEvent || e.id != call.NoEvent || e.isComment())
}

// isOfStream reports whether an answer has the media type of the stream that has begun, if
// one has.
func (r *race) isOfStream(a *call.Answer) bool {
	return !r.started || a.Header.Get("Content-Type") == r.w.Header().Get("Content-Type")
}

// recordSoundEvents records a sound answer once the upstream has sent events for long
// enough.
func (s *upstreamAttempt) recordSoundEvents(now time.Time) {
	s.mu.Lock()
	sound := s.answeringTime(now) >= soundAnswerTime
	s.mu.Unlock()
	if sound {
		s.recordSoundAnswer()
	}
}

// recordFirstEvent records the time to the first event, once.
func (s *upstreamAttempt) recordFirstEvent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstEventTime != 0 {
		return
	}
	s.firstEventTime = time.Since(s.sentAt)
	s.ticket.ReportFirstEvent()
	s.config.ResponseTimes.Observe(s.service, s.firstEventTime)
}

// writeHead sends the status and headers of the answer, once.
func (r *race) writeHead(a *call.Answer) {
	if r.started {
		return
	}
	r.started = true
	r.copyHeader(a)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(a.Status)
}

func (r *race) writeEvent(raw []byte) error {
	if err := r.writeHeld(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// onStreamEnd ends a stream that was forwarded completely. An attempt that ends beside the
// serving one does not prove that that one has no more: its end is kept until the other breaks
// off, falls silent or ends. Without an event beside another attempt, or at an earlier one than
// the caller has, it is not the end of the caller's stream.
func (r *race) onStreamEnd(s *upstreamAttempt, a *call.Answer) (finished bool) {
	isAlone := len(r.running) == 1
	if r.endsEarly(s) || !isAlone && s.lastID == call.NoEvent {
		return r.onAttemptEnded(s, report{result: outcomeUnknown, outcome: instance.Broke, label: "broke_in_stream", err: errEarlyEnd})
	}
	if !isAlone && s != r.serving {
		s.completed = a
		s.end(instance.Answered, a.Status, "answered", nil)
		return r.takeOver()
	}
	if !r.isOfStream(a) {
		return r.onAttemptEnded(s, report{result: outcomeUnknown, outcome: instance.Broke, status: a.Status, label: "foreign", err: errForeign})
	}
	r.finish(s, a)
	return true
}

// endsEarly reports whether an attempt whose stream ends now ends it before the last event that
// the caller has. An attempt without an event ends it where it was asked to begin.
func (r *race) endsEarly(s *upstreamAttempt) bool {
	return max(s.lastID, s.plan.lastEvent) < r.lastEventID
}

// finish ends the caller's stream, of which an attempt has sent the end.
func (r *race) finish(s *upstreamAttempt, a *call.Answer) {
	r.win(s)
	r.writeHead(a)
	r.completed = true
	if s.events > 0 {
		r.recordSoundAnswer()
	}
	s.end(instance.Answered, a.Status, "answered", nil)
	r.log("answered", a.Status, "")
}
