package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newTestMonitor returns a started monitor, and what it reports.
func newTestMonitor(t *testing.T, timeout time.Duration) (m *silenceMonitor, reports chan report) {
	r := &race{reports: make(chan report), done: make(chan struct{})}
	m = &silenceMonitor{attempt: &upstreamAttempt{race: r}, firstTimeout: timeout, idleTimeout: timeout}
	m.start()
	t.Cleanup(func() {
		close(r.done)
		m.stop()
	})
	return m, r.reports
}

func TestSilenceIsReportedAgainUntilActivity(t *testing.T) {
	const timeout = 80 * time.Millisecond
	started := time.Now()
	m, reports := newTestMonitor(t, timeout)
	for n := range 3 {
		got := <-reports
		require.Equal(t, upstreamSilent, got.kind)
		require.Zero(t, got.activity)
		require.GreaterOrEqual(t, time.Since(started), time.Duration(n+1)*timeout)
	}
	m.recordActivity()
	require.Equal(t, uint64(1), (<-reports).activity)
}

// A host that was paused took its own pause for an upstream's silence, and asked another
// upstream while the answer of the first waited to be read.
func TestPauseOfTheHostIsNoSilenceOfItsUpstream(t *testing.T) {
	for _, runsBefore := range []time.Duration{0, 40 * time.Minute} {
		m, _ := newTestMonitor(t, time.Hour)
		now := time.Now()
		for end := now.Add(runsBefore); now.Before(end); {
			now = now.Add(m.countdown.Wait(now))
			_, silent := m.isSilent(now)
			require.False(t, silent)
		}
		now = now.Add(m.countdown.Wait(now) + 10*time.Hour)
		_, silent := m.isSilent(now)
		require.False(t, silent, "paused after %v", runsBefore)
		for range 4 {
			now = now.Add(m.countdown.Wait(now))
			if _, silent = m.isSilent(now); silent {
				break
			}
		}
		require.True(t, silent, "the upstream stays silent while the host runs")
	}
}

// A monitor that is stopped while a step of its timeout ends must set no timer again.
func TestStoppedMonitorSetsNoTimer(t *testing.T) {
	m, _ := newTestMonitor(t, time.Hour)
	m.stop()
	_, silent := m.isSilent(time.Now().Add(15 * time.Minute))
	require.False(t, silent)
	require.False(t, m.timer.Stop(), "the timer runs")
}

// Guards against an upstream that counts as silent, and is replaced, while its answer waits for
// this host's memory.
func TestWaitForMemoryIsNoSilenceOfTheUpstream(t *testing.T) {
	m, _ := newTestMonitor(t, time.Hour)
	becomesSilent := func() (silent bool) {
		now := time.Now()
		for range 100 {
			now = now.Add(m.countdown.Wait(now))
			if _, silent = m.isSilent(now); silent {
				break
			}
		}
		return silent
	}
	m.pause()
	require.False(t, becomesSilent())
	m.resume()
	require.True(t, becomesSilent())
}
