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

// Digest identifies what a request asks, so that the same request sent again
// is recognised.
type Digest [sha256.Size]byte

// Screening is what a Guard says of a request.
type Screening uint8

// The screenings, from the best to the worst.
const (
	// Allow: nothing is known against the request.
	Allow Screening = iota
	// RunAlone: it may run in one attempt, never doubled or repeated.
	RunAlone
	// Refuse: it has crashed too many upstreams.
	Refuse
)

// Guard recognises requests that crash each upstream that runs them.
// Implementations are safe for concurrent use.
type Guard interface {
	// Screen says whether a request may run, or go on after a loss.
	Screen(d Digest) Screening
	// Started takes note that an upstream begins to run the request.
	Started(d Digest, id upstream.ID)
	// Lost takes note that an upstream died while it ran the request.
	Lost(d Digest, id upstream.ID)
	// Ended takes note of the request's end. whole says that every stage ran
	// without a loss.
	Ended(d Digest, whole bool)
}

// digestOf hashes a request within its workspace and target.
func digestOf(workspace, target string, body []byte) Digest {
	h := sha256.New()
	writeField(h, workspace)
	writeField(h, target)
	_, _ = h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// screened is a request under the guard's eyes, from its arrival to its end.
type screened struct {
	guard  Guard
	digest Digest
	// alone says that it runs in single attempts, never doubled or repeated.
	alone bool
	// losses counts the upstreams that died under it.
	losses int
}

// maxLossesPerRequest is how many upstreams may die under one request before it
// is given up, whatever else is known of it.
const maxLossesPerRequest = 2

// screen asks the guard about a request that arrives.
func (r *Runner) screen(ctx context.Context, d Digest) (*screened, error) {
	s := &screened{guard: r.cfg.Guard, digest: d}
	return s, s.ask(ctx, problem.No)
}

// ask asks the guard whether the request may run, or go on. A suspect that may
// run alone waits until the other hosts have heard of that. The error is a
// *problem.Problem.
func (s *screened) ask(ctx context.Context, ran problem.Ran) error {
	verdict := s.guard.Screen(s.digest)
	s.alone = verdict == RunAlone
	if s.alone {
		// A request whose time ends here is refused by the dispatcher.
		_ = sleep.For(ctx, newsTime)
	}
	if verdict != Refuse {
		return nil
	}
	return problem.New(http.StatusUnprocessableEntity, "crashes_upstreams",
		"this request has crashed the upstreams that ran it and is not run again", ran)
}

// lose takes note that an upstream died under the request.
func (s *screened) lose(id upstream.ID) {
	s.losses++
	s.guard.Lost(s.digest, id)
}

// newsTime is how long other hosts need to hear of a loss, or of a suspect that
// runs alone.
const newsTime = 300 * time.Millisecond

// mayGoOn says whether another attempt may be made after a loss. It waits until
// the other hosts have heard of the loss, so that the same request sent through
// another of them meets a suspect. The error is a *problem.Problem.
func (s *screened) mayGoOn(ctx context.Context, ran problem.Ran) (bool, error) {
	if s.losses >= maxLossesPerRequest || sleep.For(ctx, newsTime) != nil {
		return false, nil
	}
	return true, s.ask(ctx, ran)
}

// end tells the guard how the request ended.
func (s *screened) end(whole bool) { s.guard.Ended(s.digest, whole && s.losses == 0) }

// lifeCheckTimeout bounds the connection that tests whether an upstream lives.
const lifeCheckTimeout = 200 * time.Millisecond

// lostUpstream says whether an upstream died under a call: the connection
// broke, and nothing listens there any more.
func (r *Runner) lostUpstream(failure dispatch.Failure, up upstream.Upstream) bool {
	if failure != dispatch.BrokenOff {
		return false
	}
	conn, err := net.DialTimeout("tcp", up.Addr.String(), lifeCheckTimeout)
	if err == nil {
		_ = conn.Close()
		return false
	}
	r.cfg.Upstreams.Report(up.ID, upstream.RefusedConnection)
	return true
}

// report tells the upstream table of an attempt that got no answer; answers
// are reported where they are read. An attempt that the host itself ended, and
// one that was only slow, tell nothing of the upstream's life.
func (r *Runner) report(id upstream.ID, failed *attempt.Failed) {
	if failed == nil || failed.Failure == dispatch.Cancelled || failed.Failure == dispatch.TimedOut {
		return
	}
	if failed.Evidence != upstream.Answered {
		r.cfg.Upstreams.Report(id, failed.Evidence)
	}
}
