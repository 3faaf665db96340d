package gateway

import (
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
)

// maxBufferedEvents is how many events of a standby are held for the caller. Its connection is
// read no further until the caller has got them from the serving attempt: enough to show that
// the standby continues, and at most as many events of maxEventBytes in the account of memory.
const maxBufferedEvents = 4

// A standby is a running attempt of a resumable stream that another attempt was preferred to:
// a replacement whose silent upstream resumed, or a silent attempt whose replacement has begun.
// It takes over if the serving attempt breaks off or falls silent.

// bufferedEvent is an event of a standby that the caller does not have yet.
type bufferedEvent struct {
	answer *call.Answer
	event  event
}

// prefer makes an attempt with an event for the caller the serving one. The other attempts
// become standbys, or end if they can't continue the stream.
func (r *race) prefer(s *upstreamAttempt, now time.Time) {
	hasBegun := r.serving != s || s.silences > 0
	r.serving = s
	s.silences, s.failedProbes, s.passedOver = 0, 0, false
	for _, other := range r.others(s) {
		if r.mayStandBy(other) {
			other.passedOver = true
		} else {
			r.endOther(other)
		}
	}
	if hasBegun {
		r.servingSince = now
		r.freeUnusedInputs() // those that were kept for a further replacement
	}
}

// mayStandBy reports whether an attempt that another was preferred to may continue the stream
// later. One that was not sent to an upstream yet may not: it can be started again, and would
// use up the route's limit. Neither may one that counts as broken.
func (r *race) mayStandBy(s *upstreamAttempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return r.route.Resumable && !r.unnumbered && s.use != nil && s.chosen.HasVersion(r.version) && !s.countsAsBroken()
}

// countsAsBroken reports whether a silent attempt that loses to another counts against its
// upstream.
func (s *upstreamAttempt) countsAsBroken() bool { return s.silences > 1 || s.failedProbes > 0 }

// standsBy reports whether what an attempt sends has to wait, because the serving one continues.
func (r *race) standsBy(s *upstreamAttempt) bool {
	return r.serving != s && r.isServed()
}

// isServed reports whether an attempt that is not silent serves the caller.
func (r *race) isServed() bool { return r.serving != nil && r.serving.silences == 0 }

// others returns the running attempts other than one.
func (r *race) others(s *upstreamAttempt) []*upstreamAttempt {
	if len(r.running) == 1 && r.running[0] == s {
		return nil // the usual case, for each event
	}
	return slices.DeleteFunc(slices.Clone(r.running), func(o *upstreamAttempt) bool { return o == s })
}

// holdBack keeps an event of a standby until the caller has got it from the serving attempt or
// the standby takes over.
func (r *race) holdBack(s *upstreamAttempt, a *call.Answer, e event) {
	switch {
	case e.id != call.NoEvent:
		s.buffered = append(s.buffered, bufferedEvent{answer: a, event: e})
	case e.isComment():
		s.consume(e)
	default:
		r.answerRoom.Release(e.held)
		r.endOther(s) // an event without an ID has no place among those of another attempt
	}
}

// updateStandbys drops the events of standbys that the caller has got, and ends the standbys
// once the serving attempt has shown lasting progress: it has sent events for as long as the
// silence after which a replacement is started between events. A standby has read its prompt by
// then; what it generates after that is wasted unless it takes over.
func (r *race) updateStandbys(s *upstreamAttempt, now time.Time) {
	for _, other := range r.others(s) {
		if now.Sub(r.servingSince) >= s.monitor.idleTimeout {
			r.endOther(other)
			continue
		}
		for len(other.buffered) > 0 && other.buffered[0].event.id <= r.lastEventID {
			other.consume(other.buffered[0].event)
			other.buffered = other.buffered[1:]
		}
	}
}

// takeOver continues the stream from a standby if no attempt serves the caller or the
// serving one is silent. It returns true if the request is finished.
func (r *race) takeOver() (finished bool) {
	if r.isServed() {
		return false
	}
	for _, s := range slices.Clone(r.running) {
		for len(s.buffered) > 0 {
			next := s.buffered[0]
			s.buffered = s.buffered[1:]
			if r.isDuplicate(next.event) { // the upstream has sent it twice
				s.consume(next.event)
				continue
			}
			if r.forward(s, next.answer, next.event) {
				return true
			}
		}
		switch {
		case s.completed == nil:
		case r.endsEarly(s):
			r.endOther(s) // its stream is shorter than what the caller has
		default:
			r.finish(s, s.completed)
			return true
		}
	}
	return false
}

// makeRoom ends a standby that is silent like the serving attempt if the route allows another
// upstream in its place.
func (r *race) makeRoom(serving *upstreamAttempt) {
	if r.serving != serving || !r.attemptsLeft() {
		return
	}
	for _, other := range r.others(serving) {
		if other.passedOver && other.silences > 0 && !other.resumed {
			r.endOther(other)
		}
	}
}

// endOther ends an attempt in favour of another one.
func (r *race) endOther(s *upstreamAttempt) {
	switch {
	case s.countsAsBroken():
		s.end(instance.Broke, 0, "stalled", errStalled)
	case s.silences > 0:
		s.end(instance.Abandoned, 0, "stalled", errStalled)
	}
	r.remove(s)
	if s.begun {
		r.mayHaveRun = true
		r.possibleRuns++
	}
	r.freeUnusedInputs()
}

// freeUnusedInputs frees the stages' results unless the upstream of a running attempt may still
// have to read them: it has by its first event.
func (r *race) freeUnusedInputs() {
	if !slices.ContainsFunc(r.running, func(s *upstreamAttempt) bool { return s.events == 0 }) {
		r.freeInputs()
	}
}

// awaitConsumption waits until a further event may be read. It fails if the attempt ends first.
func (s *upstreamAttempt) awaitConsumption() error {
	select {
	case s.unconsumed <- struct{}{}:
		return nil
	default:
	}
	select {
	case s.unconsumed <- struct{}{}:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// consume gives back what an event takes, so that a further one may be read.
func (s *upstreamAttempt) consume(e event) {
	s.answerRoom.Release(e.held)
	<-s.unconsumed
}
