package request

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/upstream"
)

// Digest identifies a request by its content, so that a repeat of the same
// request is recognised.
type Digest [sha256.Size]byte

// Screening is a Guard's verdict on a request.
type Screening uint8

// The verdicts, from the most to the least permissive.
const (
	// Allow: the request is not suspected of crashing upstreams.
	Allow Screening = iota
	// RunAlone: the request may run in a single attempt, without hedges or
	// retries.
	RunAlone
	// Refuse: the request has crashed too many upstreams.
	Refuse
)

// Guard recognises requests that crash every upstream that runs them.
// Implementations are safe for concurrent use.
type Guard interface {
	// Screen reports whether a request may run, or continue after an upstream
	// died under it.
	Screen(d Digest) Screening
	// Started records that an upstream begins to run the request.
	Started(d Digest, id upstream.ID)
	// Lost records that an upstream died while it ran the request.
	Lost(d Digest, id upstream.ID)
	// Ended records that the request ended. clean is true when every stage
	// succeeded and no upstream died.
	Ended(d Digest, clean bool)
	// ScreenParts reports whether a prompt with these parts may be sent to an engine.
	// It may wait while evidence settles, until ctx ends.
	ScreenParts(ctx context.Context, parts []string) bool
	// LostParts records that an engine died before it had generated anything from a
	// prompt with these parts.
	LostParts(parts []string, id upstream.ID)
	// AnsweredParts records that an engine answered a prompt with these parts.
	AnsweredParts(parts []string)
}

// pipelineDigest hashes a request within its workspace and target.
func pipelineDigest(workspace, target string, body []byte) Digest {
	h := sha256.New()
	writeField(h, workspace)
	writeField(h, target)
	_, _ = h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// guardedRequest tracks one request with the guard, from its arrival to its end.
type guardedRequest struct {
	guard  Guard
	digest Digest
	// singleAttempt forbids hedges and retries.
	singleAttempt bool
	// losses counts the upstreams that died while running the request.
	losses int
}

// maxLossesPerRequest is how many upstreams may die while running one request
// before it fails, whatever the guard's verdict.
const maxLossesPerRequest = 2

// screen asks the guard whether an arriving request may run. The error is a
// *problem.Problem.
func (r *Runner) screen(ctx context.Context, d Digest) (*guardedRequest, error) {
	s := &guardedRequest{guard: r.cfg.Guard, digest: d}
	return s, s.checkAllowed(ctx, problem.No)
}

// checkAllowed asks the guard whether the request may run or continue. A
// suspected request that may run alone first waits until gossip has told the
// other hosts about it. The error is a *problem.Problem.
func (s *guardedRequest) checkAllowed(ctx context.Context, ran problem.Ran) error {
	verdict := s.guard.Screen(s.digest)
	s.singleAttempt = verdict == RunAlone
	if s.singleAttempt {
		// If the deadline passes during the wait, the dispatcher refuses the
		// request.
		_ = sleep.For(ctx, gossipDelay)
	}
	if verdict != Refuse {
		return nil
	}
	return crashesUpstreams("this request has crashed the upstreams that ran it and is not run again", ran)
}

// crashesUpstreams returns the problem of a request that the guard refuses.
func crashesUpstreams(detail string, ran problem.Ran) *problem.Problem {
	return problem.New(http.StatusUnprocessableEntity, "crashes_upstreams", detail, ran)
}

// recordLoss records that an upstream died while running the request.
func (s *guardedRequest) recordLoss(id upstream.ID) {
	s.losses++
	s.guard.Lost(s.digest, id)
}

// gossipDelay is how long gossip needs to tell the other hosts of a dead
// upstream, or of a suspected request that runs alone.
const gossipDelay = 300 * time.Millisecond

// mayContinue reports whether another attempt is allowed after an upstream died.
// It first waits until the other hosts have heard of the loss, so that they treat
// the same request as suspected if it also arrives there. The error is a
// *problem.Problem.
func (s *guardedRequest) mayContinue(ctx context.Context, ran problem.Ran) (bool, error) {
	if s.losses >= maxLossesPerRequest || sleep.For(ctx, gossipDelay) != nil {
		return false, nil
	}
	return true, s.checkAllowed(ctx, ran)
}

// finish tells the guard how the request ended.
func (s *guardedRequest) finish(succeeded bool) { s.guard.Ended(s.digest, succeeded && s.losses == 0) }

// livenessDialTimeout bounds the connection attempt that tests whether an
// upstream is alive.
const livenessDialTimeout = 200 * time.Millisecond

// upstreamDied reports whether an upstream died during a call: the connection
// broke and the upstream no longer accepts connections.
func (r *Runner) upstreamDied(failure dispatch.Failure, up upstream.Upstream) bool {
	if failure != dispatch.ConnectionLost {
		return false
	}
	conn, err := net.DialTimeout("tcp", up.Addr.String(), livenessDialTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	r.cfg.Upstreams.Report(up.ID, upstream.RefusedConnection)
	return true
}

// reportFailure reports an attempt without an answer to the upstream table;
// package attempt reports the answers. An attempt that this host cancelled or
// that timed out does not show whether the upstream is alive.
func (r *Runner) reportFailure(id upstream.ID, failed *attempt.Failed) {
	if failed == nil || failed.Failure == dispatch.Cancelled || failed.Failure == dispatch.TimedOut {
		return
	}
	if failed.Evidence != upstream.Answered {
		r.cfg.Upstreams.Report(id, failed.Evidence)
	}
}
