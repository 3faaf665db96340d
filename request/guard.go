package request

import (
	"crypto/sha256"
	"net"
	"time"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
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
	// Screen says whether a request may run.
	Screen(d Digest) Screening
	// Started and Ended frame each attempt. lost says that the upstream died
	// while it ran the request.
	Started(d Digest, id upstream.ID)
	Ended(d Digest, id upstream.ID, lost bool)
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

// screen asks the guard, and turns a refusal into a problem.
func (r *Runner) screen(d Digest) (alone bool, err error) {
	switch r.cfg.Guard.Screen(d) {
	case Refuse:
		return false, problem.New(422, "crashes_upstreams",
			"this request has crashed the upstreams that ran it and is not run again", problem.No)
	case RunAlone:
		return true, nil
	default:
		return false, nil
	}
}

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
