package server

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/internal/standin/fault"
)

// refused answers new work while the upstream is leaving or refuses it.
func (u *Upstream) refused(w http.ResponseWriter) bool {
	if _, ok := u.faults.Active(fault.Leaving); ok {
		u.noteLate(time.Now())
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

// noteLate notes new work that came while the upstream was leaving.
func (u *Upstream) noteLate(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	after := now.Sub(u.left)
	u.lastWork = max(u.lastWork, after)
	if after > LeaveGrace && len(u.late) < maxLate {
		u.late = append(u.late, now)
	}
}

// crash runs the call without an answer and takes the upstream down.
func (u *Upstream) crash(call *Call, f fault.Fault) {
	u.mu.Lock()
	u.crashes++
	u.mu.Unlock()
	if u.cfg.OnCrash != nil {
		u.cfg.OnCrash(call.Body)
	}
	u.run(newDiscard(), call)
	u.goDown(f.Duration())
	panic(http.ErrAbortHandler)
}

// run does the call's own work and notes whether it ran.
func (u *Upstream) run(w http.ResponseWriter, call *Call) {
	defer func() {
		if u.cfg.OnRun != nil && w.Header().Get(HeaderRan) == "yes" {
			u.cfg.OnRun(call.Body)
		}
	}()
	u.work(w, call)
}

// answerCall runs the call and spoils its answer as the failures say.
func (u *Upstream) answerCall(w http.ResponseWriter, call *Call) {
	if _, ok := u.faults.Trigger(fault.LostAnswer); ok {
		u.run(newDiscard(), call)
		panic(http.ErrAbortHandler)
	}
	if _, ok := u.faults.Trigger(fault.ErrorAfterRun); ok {
		u.run(newDiscard(), call)
		w.Header().Set(HeaderRan, "yes")
		WriteJSON(w, http.StatusInternalServerError, NewErrorBody("failed after running"))
		return
	}
	if f, ok := u.faults.Trigger(fault.Late); ok && u.give(w, call, f.Delay()) {
		return
	}
	if _, ok := u.faults.Trigger(fault.Crossed); ok && u.give(w, call, 0) {
		return
	}
	u.run(u.spoiled(w, call), call)
}

// give answers with the newest answer to another call, if there is one.
func (u *Upstream) give(w http.ResponseWriter, call *Call, delay time.Duration) bool {
	u.mu.Lock()
	other := u.answer
	u.mu.Unlock()
	if other == nil || other.answers(call) {
		return false
	}
	u.run(newDiscard(), call)
	if sleep.For(call.Request.Context(), delay) != nil {
		return true
	}
	other.send(w)
	return true
}

// keep remembers a whole answer so that another call can be given it.
func (u *Upstream) keep(a *answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answer = a
}

// goDown takes the upstream down, for a time if length is not zero.
func (u *Upstream) goDown(length time.Duration) {
	u.Down()
	if length == 0 {
		return
	}
	u.timers.Add(1)
	go func() {
		defer u.timers.Done()
		if sleep.For(u.ctx, length) == nil {
			_ = u.Up()
		}
	}()
}
