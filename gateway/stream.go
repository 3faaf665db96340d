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

// relay is the progress of one caller's stream over all its upstreams.
type relay struct {
	*exchange
	last int64 // the ID of the last event that the caller was sent
}

// stream serves a request whose answer is events.
func (x *exchange) stream() {
	r := &relay{exchange: x, last: call.NoEvent}
	x.sendUntilEnded(r.once)
}

// once runs the stream, or the rest of it, on one upstream.
func (r *relay) once(chosen instance.Status, ticket placement.Ticket) result {
	ctx, cancel := context.WithCancelCause(r.ctx)
	defer cancel(nil)
	first, between := r.streamSilences()
	watch := r.watchSilence(ctx, cancel, chosen, r.route.Resumable, first, between)
	defer watch.stop()
	s, outcome := r.send(ctx, chosen, ticket, r.last)
	if outcome != ended {
		return outcome
	}
	if s.answer.Status != http.StatusOK {
		return r.passFailure(s)
	}
	return r.forward(s, watch)
}

// passFailure returns an answer that is no stream.
func (r *relay) passFailure(s *sending) result {
	body, err := s.body()
	if err != nil {
		s.overWith(instance.Broke, "broke_in_body", err)
		return unknown
	}
	s.over(instance.Failed, s.answer.Status, "failed")
	if r.started {
		return unknown
	}
	r.pass(s.answer, body)
	return ended
}

// forward passes events on as they come.
func (r *relay) forward(s *sending, watch *silence) result {
	events := newEvents(s.answer.Body)
	for {
		event, err := events.next()
		if errors.Is(err, io.EOF) {
			return r.complete(s)
		}
		if err != nil {
			return s.lost("broke_in_stream", err)
		}
		if event.id != call.NoEvent && r.last != call.NoEvent && event.id <= r.last {
			continue
		}
		watch.sign()
		r.begin(s)
		if s.first == 0 {
			s.first = time.Since(s.begun)
			s.ticket.First()
			r.config.Paces.Observe(r.service, s.first)
		}
		if err := r.write(event.raw); err != nil {
			s.overWith(instance.Abandoned, "caller_left", err)
			r.finish(refusal{reason: "caller_left", hangUp: true})
			return ended
		}
		if event.id != call.NoEvent {
			r.last = event.id
		}
		r.events++
	}
}

// begin sends the head of the answer, once. Stages' results have been read by
// then.
func (r *relay) begin(s *sending) {
	if r.started {
		return
	}
	r.started = true
	r.copyHeader(s.answer)
	r.w.Header().Del("Content-Length")
	r.w.WriteHeader(s.answer.Status)
	r.freeInputs()
}

func (r *relay) write(raw []byte) error {
	if _, err := r.w.Write(raw); err != nil {
		return err
	}
	return http.NewResponseController(r.w).Flush()
}

// complete ends a stream that came whole.
func (r *relay) complete(s *sending) result {
	r.begin(s)
	r.cleared = true
	s.over(instance.Answered, s.answer.Status, "answered")
	r.log("answered", s.answer.Status, "")
	return ended
}
