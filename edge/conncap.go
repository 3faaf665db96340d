package edge

import (
	"cmp"
	"slices"
	"time"
)

// connState is what a connection is waiting for.
type connState uint8

const (
	// connServing: a request is being served.
	connServing connState = iota
	// connUsed: idle after a request.
	connUsed
	// connReading: the head of a request has begun and is not complete.
	connReading
	// connUnused: nothing has arrived since the connection was accepted.
	connUnused
)

const (
	// minWaitToClose is how long a connection must have waited before it is closed in favour
	// of others. It is far above the time in which a caller that has connected sends a head.
	minWaitToClose = time.Second
	// closeDivisor divides the limit to get how many connections are closed at once, so that
	// they are not all looked at for each one that arrives.
	closeDivisor = 16
)

// waitingConn is a connection that may be closed in favour of others.
type waitingConn struct {
	conn  *callerConn
	state connState
	since time.Time
}

// chooseToClose returns at most n connections to close when there are too many: first those
// with an incomplete head, then those that were never used, then idle ones, in each case those
// that have waited longest. Connections that serve a request are not closed.
func chooseToClose(from []waitingConn, n int, now time.Time) []waitingConn {
	from = slices.DeleteFunc(from, func(w waitingConn) bool {
		return w.state == connServing || now.Sub(w.since) < minWaitToClose
	})
	rank := func(s connState) int { return slices.Index([]connState{connReading, connUnused, connUsed}, s) }
	slices.SortFunc(from, func(a, b waitingConn) int {
		return cmp.Or(cmp.Compare(rank(a.state), rank(b.state)), a.since.Compare(b.since))
	})
	return from[:min(n, len(from))]
}
