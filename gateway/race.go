package gateway

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// maxExtraAttempts is how many attempts beyond the route's limit are
	// allowed after upstreams that certainly did not run the request.
	maxExtraAttempts = 2
	// maxParallelAttempts is how many attempts may run at the same time: a silent one
	// and its possible replacement.
	maxParallelAttempts = 2
)

// attemptResult is what an attempt that failed means for the request.
type attemptResult uint8

const (
	// notRun: the upstream certainly did not run the request.
	notRun attemptResult = iota
	// outcomeUnknown: the upstream may have run the request.
	outcomeUnknown
	// inputGone: the upstream certainly did not run the request, because a
	// stage's result no longer exists.
	inputGone
)

// reportKind is what an attempt reports.
type reportKind uint8

const (
	// notStarted: no upstream was chosen. The report says why in problem.
	notStarted reportKind = iota
	// attemptEnded: the attempt failed.
	attemptEnded
	// answerArrived: the whole answer is there; it is not a stream.
	answerArrived
	// eventArrived: the next event of a stream is there.
	eventArrived
	// streamEnded: the stream is complete.
	streamEnded
	// upstreamSilent: the upstream has sent nothing for a while.
	upstreamSilent
	// probeFailed: a silent upstream did not accept a connection.
	probeFailed
)

// report is what an attempt's goroutine tells the race.
type report struct {
	from *upstreamAttempt
	kind reportKind
	// problem is why no upstream was chosen.
	problem string
	// result, outcome, status, label and err describe a failed attempt.
	result  attemptResult
	outcome instance.Outcome
	status  int
	label   string
	err     error
	// withheld means that the upstream was sent nothing, because it may get no new
	// work by the time of sending.
	withheld bool
	// mayHaveCrashed means that the upstream's process may be gone.
	mayHaveCrashed bool
	answer         *call.Answer
	body           []byte
	event          event
	// activity is the monitor's count of activity when the silence began.
	activity uint64
}

// race runs a request's attempts until the caller is answered or no further attempt
// is allowed. Usually there is one attempt at a time. When its upstream falls silent, a
// second attempt may begin, and the silent one goes on until the second has something
// for the caller: silence is no proof that the first one's answer is lost. Of a resumable
// stream, both continue until the one that serves the caller has shown lasting progress.
//
// The goroutine that calls run decides everything and writes to the caller.
type race struct {
	*exchange
	reports chan report
	done    chan struct{} // closed when run returns
	running []*upstreamAttempt
	// serving is the attempt whose events the caller gets; nil if there is none now.
	serving *upstreamAttempt
	// servingSince is when serving began to send events, or did so again after a silence.
	servingSince time.Time
	// unnumbered means that the caller got an event without an ID. Another attempt can't go
	// on at the right event then.
	unnumbered   bool
	tried        []instance.ID // upstreams of attempts that ended
	withheld     int           // upstreams in tried that were sent nothing
	possibleRuns int           // ended attempts whose upstream may have run the request
	lastEventID  int64         // ID of the last event sent to the caller, or call.NoEvent
	lastEventAt  time.Time     // when it was sent
	stagesRerun  bool          // the stages ran again before the answer began
	// crashCheck is closed when it is known whether an upstream that was lost as it
	// began its answer has crashed; nil if none was.
	crashCheck <-chan struct{}
}

// runAttempts serves the request from one or more upstreams.
func (x *exchange) runAttempts() {
	r := &race{exchange: x, reports: make(chan report), done: make(chan struct{}), lastEventID: call.NoEvent}
	defer r.stop()
	if r.ctx.Err() != nil {
		r.giveUp("deadline_before_upstream")
		return
	}
	r.start()
	for !r.handle(<-r.reports) {
	}
}

// stop ends the attempts that still run. The caller has its answer, or none.
func (r *race) stop() {
	close(r.done)
	for _, s := range r.running {
		if s.passedOver && s.silences > 0 {
			s.end(instance.Abandoned, 0, "stalled", errStalled)
		}
		s.end(instance.Abandoned, 0, "superseded", nil)
	}
}

// report tells the race what happened, unless the race is over.
func (s *upstreamAttempt) report(what report) {
	what.from = s
	select {
	case s.reports <- what:
	case <-s.done:
	}
}

// handle processes one report. It returns true if the request is finished.
func (r *race) handle(what report) (finished bool) {
	s := what.from
	if !slices.Contains(r.running, s) {
		r.answerRoom.Release(what.event.held)
		return false
	}
	switch what.kind {
	case notStarted:
		return r.onNotStarted(s, what.problem)
	case attemptEnded:
		return r.onAttemptEnded(s, what)
	case answerArrived:
		return r.onAnswer(s, what)
	case eventArrived:
		return r.onEvent(s, what.answer, what.event)
	case streamEnded:
		return r.onStreamEnd(s, what.answer)
	case upstreamSilent, probeFailed:
		return r.onSuspicion(s, what)
	}
	return false
}

// start begins an attempt on another upstream.
func (r *race) start() {
	s := r.newAttempt(attemptPlan{
		tried: r.unavailable(), version: r.version, retry: len(r.tried)-r.withheld+len(r.running) > 0 || r.stagesRerun, lastEvent: r.lastEventID,
		after: r.crashCheck, firstEventBy: r.callerPatienceEnd(), random: rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64())),
	})
	r.running = append(r.running, s)
	go s.run()
}

// unavailable returns the upstreams that must not be chosen: those tried, and those
// of attempts that still run.
func (r *race) unavailable() []instance.ID {
	all := slices.Clone(r.tried)
	for _, s := range r.running {
		s.mu.Lock()
		if s.begun {
			all = append(all, s.chosen.ID)
		}
		s.mu.Unlock()
	}
	return all
}

// callerPatienceEnd returns when the caller gives up an answer that goes on no further.
func (r *race) callerPatienceEnd() time.Time {
	if !r.started {
		return r.startBy
	}
	return earlier(r.deadline, r.lastEventAt.Add(callerPatience(r.route)-firstEventMargin))
}

// attemptsLeft reports whether the route allows another attempt.
func (r *race) attemptsLeft() bool {
	running := len(r.running)
	return r.possibleRuns+running < r.route.MaxUpstreams && len(r.tried)-r.withheld+running < r.route.MaxUpstreams+maxExtraAttempts
}

// onNotStarted processes an attempt for which no upstream was chosen.
func (r *race) onNotStarted(s *upstreamAttempt, problem string) (finished bool) {
	r.remove(s)
	if len(r.running) > 0 {
		return false
	}
	r.partsRefusedUntil = s.partsRefusedUntil
	r.giveUp(problem)
	return true
}

// next starts the next attempt after one that has ended, unless another one still runs
// or the request has to be given up.
func (r *race) next() (finished bool) {
	switch {
	case len(r.running) > 0:
		return false
	case r.possibleRuns > 0 && !r.route.Repeatable(), r.possibleRuns >= r.route.MaxUpstreams:
		r.giveUp("upstream_failed")
	case r.ctx.Err() != nil:
		r.giveUp("deadline_before_upstream")
	case !r.attemptsLeft():
		r.giveUp("tries_used_up")
	default:
		r.start()
		return false
	}
	return true
}

// remove takes an attempt that has ended out of those that run. Its fields no longer
// change.
func (r *race) remove(s *upstreamAttempt) {
	s.end(instance.Abandoned, 0, "superseded", nil)
	r.running = slices.DeleteFunc(r.running, func(o *upstreamAttempt) bool { return o == s })
	if r.serving == s {
		r.serving = nil
	}
	for _, b := range s.buffered {
		r.answerRoom.Release(b.event.held)
	}
	s.buffered, s.completed = nil, nil
	if s.begun {
		r.tried = append(r.tried, s.chosen.ID)
	}
}

// onAttemptEnded processes the failure of an attempt.
func (r *race) onAttemptEnded(s *upstreamAttempt, what report) (finished bool) {
	s.end(what.outcome, what.status, what.label, what.err)
	if what.withheld {
		r.withheld++
	}
	if what.mayHaveCrashed {
		r.checkCrash(s.lost(time.Now()))
	}
	switch what.result {
	case outcomeUnknown:
		r.mayHaveRun = true
		r.possibleRuns++
	case inputGone, notRun:
	}
	r.remove(s)
	if r.isServed() {
		r.freeUnusedInputs()
	}
	if what.result == inputGone && len(r.running) == 0 {
		return r.rerunStages()
	}
	return r.takeOver() || r.next()
}

// checkCrash finds out in the background whether the upstream of a lost attempt has
// crashed. If the request may be the cause, its next attempt waits for the result.
func (r *race) checkCrash(l lostAttempt) {
	checked := make(chan struct{})
	go func() {
		defer close(checked)
		r.confirmCrash(l)
	}()
	if len(r.sharedParts) > 0 && l.strength() == quarantine.Strong {
		r.crashCheck = checked
	}
}

// rerunStages starts an attempt that runs the stages again, after an upstream found that
// a result is gone. That happens once and if there is time for it: at least half the time
// from the arrival of the request to the end of the first run.
func (r *race) rerunStages() (finished bool) {
	if r.stagesRerun || time.Until(r.callerPatienceEnd()) < r.stagesTook/2 {
		r.giveUp("inputs_gone")
		return true
	}
	r.stagesRerun = true
	r.freeInputs()
	r.tried, r.withheld = nil, 0
	r.start()
	return false
}

// onSuspicion processes a silence or a failed probe, unless the upstream has sent
// something meanwhile or the caller does not depend on it now.
func (r *race) onSuspicion(s *upstreamAttempt, what report) (finished bool) {
	switch {
	case what.activity != s.monitor.activityCount(), r.standsBy(s):
	case what.kind == upstreamSilent:
		return r.onSilence(s)
	default:
		r.onProbeFailed(s)
	}
	return false
}

// onSilence decides what to do about a silent upstream. Another upstream may be asked
// at once before the answer has begun. Afterwards it costs a second run of the stages and
// of the prompt, so that it is asked when the caller's patience leaves no time to wait
// for the next report of a silence. A standby that has events takes over at once.
func (r *race) onSilence(s *upstreamAttempt) (finished bool) {
	if s.resumed {
		s.silences = 0
	}
	s.silences, s.resumed = s.silences+1, false
	if r.takeOver() {
		return true
	}
	if r.standsBy(s) {
		return false
	}
	if !r.started || s.silences > 1 || r.replacementIsDue(s) {
		r.makeRoom(s)
		if r.mayReplace() {
			r.start()
			return false
		}
	}
	go s.monitor.probe()
	return false
}

// replacementMargin multiplies the expected time to a replacement's first event.
const replacementMargin = 1.5

// replacementIsDue reports whether a replacement that begins at the next silence would
// be too late for the caller.
func (r *race) replacementIsDue(s *upstreamAttempt) bool {
	needed := time.Duration(replacementMargin * float64(r.stagesTook+r.config.ResponseTimes.Mean(r.service)))
	return time.Until(r.callerPatienceEnd()) < needed+s.monitor.idleTimeout
}

// onProbeFailed decides what to do about a silent upstream that accepts no connection.
// It is given up only if no other may take over.
func (r *race) onProbeFailed(s *upstreamAttempt) {
	s.failedProbes++
	r.makeRoom(s)
	switch {
	case r.mayReplace():
		r.start()
	case s.failedProbes >= unreachableProbes && len(r.running) == 1:
		s.cancel(errUnreachable)
	}
}

// mayReplace reports whether another upstream may be asked while one is silent. A
// request that is suspected of crashing upstreams runs on one at a time.
func (r *race) mayReplace() bool {
	return r.route.Repeatable() && !r.runAlone && len(r.running) < maxParallelAttempts && r.attemptsLeft() && r.ctx.Err() == nil
}

// win ends the other attempts in favour of one with the whole answer.
func (r *race) win(winner *upstreamAttempt) {
	for _, s := range r.others(winner) {
		r.endOther(s)
	}
}

// onAnswer processes a whole answer that is not a stream.
func (r *race) onAnswer(s *upstreamAttempt, what report) (finished bool) {
	status := what.answer.Status
	failed := status >= http.StatusInternalServerError || r.route.Kind == routing.Stream
	if !failed {
		r.win(s)
		s.end(instance.Answered, status, "answered", nil)
		r.completed = true
		r.recordSoundAnswer()
		r.writeAnswer(what.answer, what.body)
		return true
	}
	s.end(instance.Failed, status, "failed", nil)
	if !r.started && (len(r.running) > 1 || r.mayTryAnother()) {
		r.fallbackAnswer = &wholeAnswer{answer: what.answer, body: what.body}
	} else if !r.started {
		r.writeAnswer(what.answer, what.body)
		return true
	}
	r.mayHaveRun = true
	r.possibleRuns++
	r.remove(s)
	if r.isServed() {
		r.freeUnusedInputs()
	}
	return r.next()
}

// mayTryAnother reports whether to try another upstream after an error answer.
// If not, the caller gets the error answer.
func (r *race) mayTryAnother() bool {
	return r.route.Kind == routing.Idempotent && len(r.attempts) < r.route.MaxUpstreams && r.ctx.Err() == nil
}
