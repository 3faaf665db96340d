package gateway

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/upstream"
)

const (
	// crashCheckDelay is the time between a broken connection and the check
	// whether the upstream still listens: a process that crashes has closed its
	// listener by then.
	crashCheckDelay = 40 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt of the check: a live
	// upstream accepts within milliseconds.
	crashCheckTimeout = 700 * time.Millisecond
)

// lostAttempt is what is known of an attempt whose connection broke.
type lostAttempt struct {
	upstream instance.Status
	at       time.Time // when the connection broke
	// begun means that the status and headers of the answer had arrived.
	begun  bool
	events int // complete events that had arrived
	// answering is the time since the first event, 0 if there was none.
	answering time.Duration
}

// lost returns what is known of the attempt, whose connection has just broken.
func (s *upstreamAttempt) lost(now time.Time) lostAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := lostAttempt{upstream: s.chosen, at: now, begun: s.headTime > 0, events: s.events}
	if s.firstEventTime > 0 {
		l.answering = now.Sub(s.sentAt.Add(s.firstEventTime))
	}
	return l
}

// confirmCrash checks whether the upstream of a broken connection has crashed. A
// crash counts against the request in the quarantine; a lost connection alone
// does not.
func (x *exchange) confirmCrash(l lostAttempt) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	err := x.config.Transport.Probe(ctx, l.upstream.Addr)
	if err == nil {
		return
	}
	x.config.Logger.Warn("upstream crashed while running a request", "upstream", string(l.upstream.ID), "addr", l.upstream.Addr.String(),
		"service", x.service, "request", x.request.ID, "route", x.route.Name, "digest", x.digest.String(), "parts", x.request.Prompt.SharedParts(),
		"begun", l.begun, "events", l.events, "answering_ms", l.answering.Milliseconds(), "error", err.Error())
	x.config.Instances.MarkUnreachable(l.upstream.ID, time.Now())
	x.config.Quarantine.Ended(x.digest, upstream.ID(l.upstream.ID), true)
}
