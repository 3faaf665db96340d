package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// drainBound is bounds.drain_ms of the hosts' settings.
	drainBound = 2 * time.Second
	// noticeTime is how long an upstream that says it is leaving stays registered as
	// ready.
	noticeTime = drainBound + 2*time.Second
	// refusalLength is how long an upstream refuses requests; the time that it names
	// is longer.
	refusalLength = 300 * time.Millisecond
	minRetryAfter = 2 // seconds
	maxRetryAfter = 3 // seconds
	// refusalKnownTime is the time after a refusal within which requests that are on
	// their way may arrive.
	refusalKnownTime = 500 * time.Millisecond
	// refusalReadTime is how long a refusal may take to the host that it is sent to: a
	// proxy delays it by up to 40 ms.
	refusalReadTime = 50 * time.Millisecond
	// maxEarlyRequests is how many requests of a host may reach an upstream between
	// refusalKnownTime and the end of the time that its refusal named.
	maxEarlyRequests = 2
)

// noticeFaults are upstreams that tell hosts in their answers to stay away.
var noticeFaults = []fault{leaveByAnswers, refuseForAWhile}

// leaveByAnswers starts another upstream that says in its answers that it is leaving,
// while the store lists it as ready for longer than the drain bound.
func leaveByAnswers(e *environment, r *rand.Rand) (string, error) {
	u := &platformtest.Upstream{Service: "plain", Zone: "riga-a", Work: 5 * time.Millisecond}
	if r.IntN(2) == 0 {
		u.Service, u.Events, u.EventPause = "events", eventCount, 10*time.Millisecond
	}
	e.mu.Lock()
	u.ID = fmt.Sprintf("%s-leaving-%d", u.Service, len(e.changed))
	s, err := e.startServer(u)
	if err == nil {
		e.changed = append(e.changed, s)
	}
	e.mu.Unlock()
	if err != nil {
		return "", err
	}
	time.Sleep(faultDuration(r))
	e.mu.Lock()
	s.leavingAt = time.Now()
	e.mu.Unlock()
	u.SayLeaving(true)
	e.leaving.Go(func() {
		time.Sleep(noticeTime)
		e.leave(s, false, exitDelay)
	})
	return u.ID + " said that it is leaving", nil
}

// refuseForAWhile has an upstream refuse requests and name a time to stay away.
func refuseForAWhile(e *environment, r *rand.Rand) (string, error) {
	services := []string{"plain", "events", releasedService}
	s, seconds := pick(r, e.ofService(pick(r, services))), minRetryAfter+r.IntN(maxRetryAfter-minRetryAfter+1)
	s.Refuse(refusalLength, time.Duration(seconds)*time.Second)
	return fmt.Sprintf("%s refused requests for %d s", s.ID, seconds), nil
}

// hostArrival is a request that reached an upstream, with the host that took it.
type hostArrival struct {
	platformtest.Arrival
	host   *hostProcess
	sentAt time.Time // by the caller
	// leftAt is when the caller left before its request had ended; zero if it did not.
	leftAt time.Time
}

// checkNotices checks that hosts heed what upstreams say in their answers.
func (e *environment) checkNotices(outcomes []outcome) (violations []string) {
	byID := make(map[string]outcome)
	for _, o := range outcomes {
		byID[o.id] = o
	}
	tries := make(map[string]int) // arrivals of each request at all upstreams
	for _, s := range e.servers() {
		for _, a := range s.Arrivals() {
			tries[a.RequestID]++
		}
	}
	for _, s := range e.servers() {
		arrivals := make(map[*hostProcess][]hostArrival)
		for _, a := range s.Arrivals() {
			if o, known := byID[a.RequestID]; known {
				h := e.host(o.host)
				arrived := hostArrival{Arrival: a, host: h, sentAt: o.sentAt}
				if o.abandoned {
					arrived.leftAt = o.endedAt
				}
				arrivals[h] = append(arrivals[h], arrived)
			}
		}
		for _, h := range e.hosts {
			violations = append(violations, s.checkLeaving(arrivals[h], notices(arrivals[h], byID, tries))...)
			violations = append(violations, s.checkRefusals(arrivals[h])...)
		}
	}
	return violations
}

// notices returns when a host passed on whole answers that said that their upstream
// is leaving. Only answers to requests that reached no other upstream count.
func notices(arrivals []hostArrival, byID map[string]outcome, tries map[string]int) (all []time.Time) {
	for _, a := range arrivals {
		o := byID[a.RequestID]
		if a.Leaving && a.RetryAfter == 0 && tries[a.RequestID] == 1 && o.status == 200 && o.complete {
			all = append(all, o.endedAt)
		}
	}
	return all
}

// checkLeaving checks that no request reaches an upstream that its caller sent later
// than the drain bound after the host passed on that the upstream is leaving.
func (s *server) checkLeaving(arrivals []hostArrival, notices []time.Time) []string {
	late, longest := 0, time.Duration(0)
	for _, a := range arrivals {
		since := a.sinceNotice(notices)
		if since > drainBound {
			late, longest = late+1, max(longest, since)
		}
	}
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s sent %d requests to %s, the last of them taken %s after it passed on that the upstream is leaving",
		arrivals[0].host.settings.Name, late, s.ID, longest.Round(time.Millisecond))}
}

// sinceNotice returns how long the host had known, when the caller sent the request,
// that the upstream is leaving; zero if it did not know. A host that was
// disrupted may have forgotten.
func (a *hostArrival) sinceNotice(notices []time.Time) (longest time.Duration) {
	for _, notice := range notices {
		if !a.host.wasDisrupted(notice, a.At, killed, stopped, paused) {
			longest = max(longest, a.sentAt.Sub(notice))
		}
	}
	return longest
}

// mayBeUnread reports whether a refusal may not have reached the host: the caller left before
// it must have arrived, so that the host closed the connection, or the host lost its links to
// upstreams while it was on its way.
func (a *hostArrival) mayBeUnread() bool {
	if !a.leftAt.IsZero() && a.leftAt.Before(a.At.Add(refusalReadTime)) {
		return true
	}
	return a.host.wasCutOff(a.At.Add(-refusalReadTime), a.At.Add(refusalReadTime))
}

// checkRefusals checks that a host stays away from an upstream as long as its refusal
// asks for. A refusal of an upstream that was stopped then may not have reached the host
// before it gave up waiting, nor one that may be unread for another reason, and one of a process
// binds no host to the next process with its ID.
func (s *server) checkRefusals(arrivals []hostArrival) []string {
	var worst []string // IDs of the requests in the time of one refusal, the refused one first
	for _, refused := range arrivals {
		from, until := refused.At.Add(refusalKnownTime), refused.At.Add(refused.RetryAfter)
		for _, replaced := range s.replacedAt {
			if replaced.After(refused.At) && replaced.Before(until) {
				until = replaced
			}
		}
		if refused.RetryAfter == 0 || refused.mayBeUnread() || refused.host.wasDisrupted(refused.At, until, killed, stopped, paused) || s.proxy.wasStopped(refused.At, from) {
			continue
		}
		early := []string{refused.RequestID}
		for _, a := range arrivals {
			if a.At.After(from) && a.At.Before(until) {
				early = append(early, fmt.Sprintf("%s after %s", a.RequestID, a.At.Sub(refused.At).Round(time.Millisecond)))
			}
		}
		if len(early) > len(worst) {
			worst = early
		}
	}
	if len(worst) <= 1+maxEarlyRequests {
		return nil
	}
	return []string{fmt.Sprintf("%s sent %d requests to %s in the time for which the refusal of %s asked it to stay away: %s",
		arrivals[0].host.settings.Name, len(worst)-1, s.ID, worst[0], strings.Join(worst[1:], ", "))}
}
