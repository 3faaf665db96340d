package gateway

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/quarantine"
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
	// soundAnswerTime is how long an answer must have lasted since its first event to
	// show that the request does not crash upstreams.
	soundAnswerTime = time.Second
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
	return lostAttempt{upstream: s.chosen, at: now, begun: s.headTime > 0, events: s.events, answering: s.answeringTime(now)}
}

// answeringTime returns the time since the first event, 0 if there was none. The caller
// holds mu.
func (s *upstreamAttempt) answeringTime(now time.Time) time.Duration {
	if s.firstEventTime == 0 {
		return 0
	}
	return now.Sub(s.sentAt.Add(s.firstEventTime))
}

// strength returns how strongly the loss speaks against the parts of the request's
// prompt, 0 if it does not: a part that crashes upstreams does so when they begin to
// answer.
func (l lostAttempt) strength() quarantine.Strength {
	switch {
	case l.begun && l.events == 0:
		return quarantine.Strong
	case l.answering < soundAnswerTime:
		return quarantine.Weak
	}
	return 0
}

// confirmCrash checks whether the upstream of a broken connection has crashed. A
// crash counts against the request in the quarantine; a lost connection alone
// does not.
func (x *exchange) confirmCrash(l lostAttempt) {
	time.Sleep(crashCheckDelay)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	var err error
	if _, err = x.config.Transport.Probe(ctx, l.upstream.Addr); err == nil {
		return
	}
	x.config.Logger.Warn("upstream crashed while running a request", "upstream", string(l.upstream.ID), "addr", l.upstream.Addr.String(),
		"service", x.service, "request", x.request.ID, "route", x.route.Name, "digest", x.digest.String(), "parts", x.sharedParts,
		"begun", l.begun, "events", l.events, "answering_ms", l.answering.Milliseconds(), "error", err.Error())
	x.config.Instances.MarkUnreachable(l.upstream.ID, time.Now())
	if strength := l.strength(); strength > 0 {
		x.config.Parts.Lost(x.sharedParts, upstream.ID(l.upstream.ID), l.at, strength)
	}
	x.config.Quarantine.Ended(x.digest, upstream.ID(l.upstream.ID), true)
}
