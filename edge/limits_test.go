package edge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against shares that together exceed the soft limit of the memory, and against limits
// that ordinary clients meet: two bodies of 4 MiB, or 500 connections, on the smallest host.
func TestSharesFitIntoTheProcess(t *testing.T) {
	require.Equal(t, shares{}, divide(0, 0))
	for _, mb := range []int64{96, 136, 206, 1024} {
		s := divide(mb<<20, 2870)
		require.LessOrEqual(t, float64(s.large+s.small+int64(s.conns)*connBytes+ownBytes), memoryLimitShare*float64(mb<<20)+1, "%d MB", mb)
	}
	s := divide(136<<20, 2870)
	require.GreaterOrEqual(t, s.large, int64(2*4<<20))
	require.GreaterOrEqual(t, s.conns, 500)
	require.Equal(t, 160, divide(1<<30, 400).conns)
	require.Positive(t, divide(16<<20, 0).large, "less than the process needs")
}

// Guards against the close of a connection that serves, or has only just been opened, while
// others wait for longer, and of an idle one before those that hold a head open.
func TestConnectionsThatWaitLongestAreClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	conn := func(state connState, waited time.Duration) waitingConn {
		return waitingConn{conn: &callerConn{}, state: state, since: now.Add(-waited)}
	}
	reading, unused := conn(connReading, 2*minWaitToClose), conn(connUnused, 5*minWaitToClose)
	idle, longIdle := conn(connUsed, 3*minWaitToClose), conn(connUsed, 12*minWaitToClose)
	all := func() []waitingConn {
		return []waitingConn{conn(connServing, time.Hour), conn(connUnused, minWaitToClose/2), idle, unused, longIdle, reading, conn(connReading, 0)}
	}
	require.Equal(t, []waitingConn{reading}, chooseToClose(all(), 1, now))
	require.Equal(t, []waitingConn{reading, unused, longIdle, idle}, chooseToClose(all(), 10, now))
}
