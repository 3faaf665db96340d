package instance_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
)

// successor is an upstream process that runs under the ID of a former one before the host
// learns of its entry.
type successor struct {
	table       *instance.Table
	former, now instance.Entry
	answeredAt  time.Time
}

func newSuccessor() successor {
	start := time.Unix(1000, 0)
	s := successor{
		table:      instance.NewTable(nil),
		former:     instance.Entry{ID: "a", Service: "s", Revision: 5, StartTime: start.Add(-time.Minute)},
		now:        instance.Entry{ID: "a", Service: "s", Revision: 7, StartTime: start},
		answeredAt: start.Add(3 * time.Second),
	}
	s.table.Put(s.former)
	return s
}

// Guards against requests within a pause that a refusal asked for while a copy of the
// store listed the process before the one that refused.
func TestPauseHoldsWhenTheRefusingProcessIsListedLater(t *testing.T) {
	for name, list := range map[string]func(successor){
		"replaced":         func(s successor) { s.table.Put(s.now) },
		"removed and back": func(s successor) { s.table.Remove("a", infra.Position{Revision: 6}); s.table.Put(s.now) },
	} {
		s := newSuccessor()
		s.table.Pause(s.former.Process(), s.answeredAt.Add(3*time.Second), s.answeredAt)
		list(s)
		require.Empty(t, s.table.Service("s", s.answeredAt.Add(time.Second)), name)
		require.True(t, s.table.IsPaused(s.former.Process(), netip.AddrPort{}, s.answeredAt.Add(time.Second)), "%s: a call that was chosen before", name)
		require.Len(t, s.table.Service("s", s.answeredAt.Add(3*time.Second)), 1, name)
	}
}

// Guards against requests within a pause that a process asked for in its first second, before its
// entry arrived or in the answer to a call for the process before it; one that was asked for before
// it started is not its own.
func TestPauseOfAStartingProcessHolds(t *testing.T) {
	for _, said := range []time.Duration{-time.Millisecond, 50 * time.Millisecond, 900 * time.Millisecond} {
		for _, listedFirst := range []bool{false, true} {
			s := newSuccessor()
			if listedFirst {
				s.table.Put(s.now)
			}
			at := s.now.StartTime.Add(said)
			s.table.Pause(s.former.Process(), at.Add(3*time.Second), at)
			s.table.Put(s.now)
			free := len(s.table.Service("s", at.Add(2*time.Second))) == 1
			require.Equal(t, said < 0, free, "said %s after the start, listed first: %t", said, listedFirst)
			require.Len(t, s.table.Service("s", at.Add(3*time.Second)), 1)
		}
	}
}

// Guards against new work for an upstream that said it is leaving while a copy of the
// store listed the process before it, and against one limit too few.
func TestLeavingAndLimitHoldWhenTheProcessIsListedLater(t *testing.T) {
	s := newSuccessor()
	s.table.MarkLeaving(s.former.Process(), s.answeredAt)
	s.table.SetLimit(s.former.Process(), 2, true, time.Time{}, s.answeredAt)
	s.table.Put(s.now)
	require.Empty(t, s.table.Service("s", s.answeredAt))
	perSecond, _, limited := s.table.Limit(s.now.Process())
	require.True(t, limited)
	require.Equal(t, 2.0, perSecond)
}

// Guards against the loss of a notice in the answer to a call that was sent before the
// process was listed.
func TestNoticeInAnswerToEarlierCallReachesTheListedProcess(t *testing.T) {
	s := newSuccessor()
	s.table.Put(s.now)
	s.table.MarkLeaving(s.former.Process(), s.answeredAt)
	require.Empty(t, s.table.Service("s", s.answeredAt))
}

// A process must not inherit what the one before it said before it started, nor may clocks
// that differ by a little make it so.
func TestProcessInheritsNothingSaidBeforeItsStart(t *testing.T) {
	for _, said := range []time.Duration{-10 * time.Second, -time.Millisecond, time.Second / 2} {
		s := newSuccessor()
		s.table.MarkLeaving(s.former.Process(), s.now.StartTime.Add(said))
		s.table.Put(s.now)
		require.Len(t, s.table.Service("s", s.answeredAt), 1, "said %s after the start", said)
	}
}
