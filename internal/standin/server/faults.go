package server

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// rejectNewWork answers the call and returns true if the upstream is leaving or
// a Refuse fault affects the call.
func (u *Upstream) rejectNewWork(w http.ResponseWriter) bool {
	if _, ok := u.faults.Active(fault.Leaving); ok {
		u.recordLateWork(time.Now())
		w.Header().Set(HeaderUpstreamState, "leaving")
		Refuse(w, http.StatusServiceUnavailable, "leaving")
		return true
	}
	if _, ok := u.faults.Trigger(fault.Refuse); ok {
		Refuse(w, http.StatusServiceUnavailable, "refused")
		return true
	}
	return false
}

// recordLateWork records a call that arrived while the upstream was leaving.
func (u *Upstream) recordLateWork(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	after := now.Sub(u.leavingSince)
	u.lastWorkAfter = max(u.lastWorkAfter, after)
	if after > LeaveGrace && len(u.lateWork) < maxLateWork {
		u.lateWork = append(u.lateWork, now)
	}
}

// crash runs the call without answering it and takes the upstream down. It does
// not return: it aborts the handler.
func (u *Upstream) crash(call *Call, f fault.Fault) {
	u.mu.Lock()
	u.crashes++
	u.mu.Unlock()
	if u.cfg.OnCrash != nil {
		u.cfg.OnCrash(call.Body)
	}
	u.run(newDiscardWriter(), call)
	u.takeDown(f.Duration())
	panic(http.ErrAbortHandler)
}

// run passes the call to the upstream's WorkFunc, and its body to OnRun if it
// ran.
func (u *Upstream) run(w http.ResponseWriter, call *Call) {
	defer func() {
		if u.cfg.OnRun != nil && w.Header().Get(HeaderRan) == "yes" {
			u.cfg.OnRun(call.Body)
		}
	}()
	u.work(w, call)
}

// answerWithFaults runs the call and applies the active faults to its answer.
func (u *Upstream) answerWithFaults(w http.ResponseWriter, call *Call) {
	if _, ok := u.faults.Trigger(fault.LostAnswer); ok {
		u.run(newDiscardWriter(), call)
		panic(http.ErrAbortHandler)
	}
	if _, ok := u.faults.Trigger(fault.ErrorAfterRun); ok {
		u.run(newDiscardWriter(), call)
		w.Header().Set(HeaderRan, "yes")
		WriteJSON(w, http.StatusInternalServerError, NewErrorBody("failed after running"))
		return
	}
	if f, ok := u.faults.Trigger(fault.DelayedAnswerOfOtherCall); ok && u.sendOtherAnswer(w, call, f.Delay()) {
		return
	}
	if _, ok := u.faults.Trigger(fault.AnswerOfOtherCall); ok && u.sendOtherAnswer(w, call, 0) {
		return
	}
	u.run(u.newFaultWriter(w, call), call)
}

// sendOtherAnswer runs the call, waits for delay and sends the last recorded
// answer, which was given to another call. If there is no such answer, it
// returns false without running the call.
func (u *Upstream) sendOtherAnswer(w http.ResponseWriter, call *Call, delay time.Duration) bool {
	u.mu.Lock()
	other := u.lastAnswer
	u.mu.Unlock()
	if other == nil || other.isFor(call) {
		return false
	}
	u.run(newDiscardWriter(), call)
	if sleep.For(call.Request.Context(), delay) != nil {
		return true
	}
	other.send(w)
	return true
}

// recordAnswer keeps a complete answer for sendOtherAnswer.
func (u *Upstream) recordAnswer(a *recordedAnswer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lastAnswer = a
}

// takeDown takes the upstream down, and up again after duration unless it is
// zero.
func (u *Upstream) takeDown(duration time.Duration) {
	u.Down()
	if duration == 0 {
		return
	}
	u.restarts.Add(1)
	go func() {
		defer u.restarts.Done()
		if sleep.For(u.ctx, duration) == nil {
			_ = u.Up()
		}
	}()
}
