package gateway

import (
	"time"

	"github.com/galenaseam/galenaseam/instance"
)

// attemptRecord describes one attempt in the request's log line.
type attemptRecord struct {
	Upstream        string `json:"upstream"`
	Addr            string `json:"addr"`
	Version         string `json:"version,omitempty"`
	InFlight        int    `json:"in_flight"`
	Peer            string `json:"through,omitempty"` // host through which it was sent
	Owner           string `json:"keeper,omitempty"`
	EstimatedWaitMS int64  `json:"foreseen_ms,omitempty"`
	SentMS          int64  `json:"sent_ms"`
	HeadMS          int64  `json:"head_ms,omitempty"`
	FirstEventMS    int64  `json:"first_event_ms,omitempty"`
	TookMS          int64  `json:"took_ms"`
	SilentMS        int64  `json:"silent_ms,omitempty"`
	Status          int    `json:"status,omitempty"`
	Outcome         string `json:"outcome"`
	Error           string `json:"error,omitempty"`
}

// end ends the attempt: it closes the connection unless the answer is complete, and
// records the outcome for the upstream, the metrics and the log. Only the first call
// has an effect, and none for an attempt without an upstream.
func (s *upstreamAttempt) end(outcome instance.Outcome, status int, label string, err error) {
	s.cancel(nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	if !s.begun {
		return
	}
	now := time.Now()
	s.monitor.stop()
	s.ticket.ReportEnd()
	s.use.End(outcome, now.Sub(s.sentAt), now)
	if outcome == instance.Answered && !s.needsEngine() {
		s.config.Workload.Observe(s.costClass(), s.chosen.Entry, now.Sub(s.sentAt), now)
	}
	s.config.Metrics.countAttempt(s.service, label)
	record := attemptRecord{
		Upstream: string(s.chosen.ID), Addr: s.chosen.Addr.String(), Version: s.chosen.Version, InFlight: s.chosen.InFlight, Peer: s.peer,
		Owner: s.ticket.Owner, EstimatedWaitMS: s.ticket.Wait.Milliseconds(),
		SentMS: s.sentAt.Sub(s.request.Arrived).Milliseconds(), TookMS: now.Sub(s.sentAt).Milliseconds(),
		SilentMS: s.silence(now).Milliseconds(), HeadMS: s.headTime.Milliseconds(), FirstEventMS: s.firstEventTime.Milliseconds(),
		Status: status, Outcome: label,
	}
	if err != nil {
		record.Error = err.Error()
	}
	s.attempts = append(s.attempts, record)
}

// silence returns how long the upstream has sent nothing. The caller holds mu.
func (s *upstreamAttempt) silence(now time.Time) time.Duration {
	if s.lastHeardAt.IsZero() {
		return now.Sub(s.sentAt)
	}
	return now.Sub(s.lastHeardAt)
}
