package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// timeoutSlack is how long before its deadline a request may be ended.
	timeoutSlack = 200 * time.Millisecond
	// resetSlack is how long after a reset of its connection an upstream may begin to
	// run a request.
	resetSlack = 100 * time.Millisecond
	// maxAttempts is how many upstreams the routes allow for a request.
	maxAttempts = 2
)

// serverRun is a run of a request at an upstream.
type serverRun struct {
	platformtest.Run
	server *server
}

// checkNotCut checks that a request got its whole answer if an upstream ran it and
// was only silent. A caller that left, a deadline, a killed host, a connection that was
// reset, links that were cut and the end of a grace period excuse a missing answer; so does
// the last upstream that the route allows if it took over and broke off.
func (e *environment) checkNotCut(o outcome, runs []serverRun) []string {
	if o.status == http.StatusOK && o.complete || o.abandoned || o.endedAt.Sub(o.sentAt) > o.deadline-timeoutSlack {
		return nil
	}
	if e.host(o.host).wasDisrupted(o.sentAt, o.endedAt, killed) || e.host(o.host).graceEnded(o.sentAt, o.endedAt) {
		return nil
	}
	if e.host(o.host).wasDisrupted(o.sentAt.Add(-pathBackTime), o.endedAt, linksCut) {
		return nil
	}
	brokeOff := func(run serverRun) bool {
		return run.Fault != platformtest.ServeNormally || run.server.proxy.wasReset(run.StartedAt.Add(-resetSlack), o.endedAt)
	}
	latest := func(a, b serverRun) int { return a.StartedAt.Compare(b.StartedAt) }
	if len(runs) >= maxAttempts && brokeOff(slices.MaxFunc(runs, latest)) {
		return nil
	}
	for _, run := range runs {
		if brokeOff(run) {
			continue
		}
		return []string{fmt.Sprintf(
			"%s %s at %s: was cut %s after it was sent, though %s was only silent (status %d, complete %t, %d bytes)",
			o.path, o.id, o.host, o.endedAt.Sub(o.sentAt).Round(time.Millisecond), run.server.ID, o.status, o.complete, len(o.body))}
	}
	return nil
}

func (e *environment) host(name string) *hostProcess {
	for _, h := range e.hosts {
		if h.settings.Name == name {
			return h
		}
	}
	return nil
}
