package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/placement"
)

// relay is the state of one caller's stream, which several upstreams may serve in
// turn.
type relay struct {
	*exchange
	lastEventID int64 // ID of the last event sent to the caller
}

// serveStream serves a request whose answer is an event stream.
func (x *exchange) serveStream() {
	r := &relay{exchange: x, lastEventID: call.NoEvent}
	x.runAttempts(r.attemptStream)
}

// attemptStream runs the stream, or the rest of it, on one upstream.
func (r *relay) attemptStream(chosen instance.Status, ticket placement.Ticket) attemptResult {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	first, between := r.streamSilenceLimits()
	monitor := r.monitorSilence(ctx, cancel, chosen, r.route.Resumable, first, between)
	defer monitor.stop()
	s, outcome := r.send(ctx, chosen, ticket, r.lastEventID)
	if outcome != callerAnswered {
		return outcome
	}
	if s.answer.Status != http.StatusOK {
		return r.forwardFailure(s)
	}
	return r.forwardEvents(s, monitor)
}

// forwardFailure forwards an error answer to the caller, unless part of the
// stream was already sent.
func (r *relay) forwardFailure(s *upstreamAttempt) attemptResult {
	body, err := s.readAnswerBody()
	if err != nil {
		s.endWithError(instance.Broke, "broke_in_body", err)
		return outcomeUnknown
	}
	s.end(instance.Failed, s.answer.Status, "failed")
	if r.started {
		return outcomeUnknown
	}
	r.writeAnswer(s.answer, body)
	return callerAnswered
}

// forwardEvents forwards events to the caller as they arrive. It skips those that
// the caller already has from an earlier upstream.
func (r *relay) forwardEvents(s *upstreamAttempt, monitor *silenceMonitor) attemptResult {
	events := newEventReader(s.answer.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.complete(s)
		}
		if err != nil {
			return s.handleLostAnswer("broke_in_stream", err)
		}
		if event.id != call.NoEvent && r.lastEventID != call.NoEvent && event.id <= r.lastEventID {
			continue
		}
		if !r.bindVersion(s) {
			s.end(instance.Abandoned, s.answer.Status, "wrong_version")
			return outcomeUnknown
		}
		monitor.recordActivity()
		s.lastHeardAt = time.Now()
		r.writeHead(s)
		if s.firstEventTime == 0 {
			s.firstEventTime = time.Since(s.sentAt)
			s.ticket.ReportFirstEvent()
			r.config.ResponseTimes.Observe(r.service, s.firstEventTime)
		}
		if err := r.writeEvent(event.raw); err != nil {
			s.endWithError(instance.Abandoned, "caller_left", err)
			r.refuse(refusal{reason: "caller_left", abort: true})
			return callerAnswered
		}
		if event.id != call.NoEvent {
			r.lastEventID = event.id
		}
		r.events++
	}
}

// writeHead sends the status and headers of the answer, once. It also frees the
// stages' results, since the upstream has read them by then.
func (r *relay) writeHead(s *upstreamAttempt) {
	if r.started {
		return
	}
	r.started = true
	r.copyHeader(s.answer)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(s.answer.Status)
	r.freeInputs()
}

func (r *relay) writeEvent(raw []byte) error {
	if _, err := r.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// complete ends a stream that was forwarded completely.
func (r *relay) complete(s *upstreamAttempt) attemptResult {
	r.writeHead(s)
	r.completed = true
	s.end(instance.Answered, s.answer.Status, "answered")
	r.log("answered", s.answer.Status, "")
	return callerAnswered
}
