package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// arrivalsAfter returns arrivals from h, each some time after start.
func arrivalsAfter(h *hostProcess, start time.Time, after ...time.Duration) (all []hostArrival) {
	for _, d := range after {
		at := start.Add(d)
		all = append(all, hostArrival{Arrival: platformtest.Arrival{At: at}, host: h, sentAt: at})
	}
	return all
}

func TestCheckLeavingFindsLateRequests(t *testing.T) {
	start, s := time.Now(), &server{Upstream: &platformtest.Upstream{ID: "u1"}}
	h, notices := &hostProcess{}, []time.Time{start}
	require.Empty(t, s.checkLeaving(arrivalsAfter(h, start, time.Second, drainBound), notices))
	require.Len(t, s.checkLeaving(arrivalsAfter(h, start, drainBound+time.Millisecond), notices), 1)
	require.Empty(t, s.checkLeaving(arrivalsAfter(h, start, time.Hour), nil), "the host passed nothing on")
	h.disruptions = []*disruption{{kind: paused, from: start.Add(time.Second), until: start.Add(2 * time.Second)}}
	require.Empty(t, s.checkLeaving(arrivalsAfter(h, start, drainBound+time.Millisecond), notices), "the host was paused")
	notices = append(notices, start.Add(2*time.Second))
	require.Empty(t, s.checkLeaving(arrivalsAfter(h, start, drainBound+time.Second), notices), "the host was paused and learned it again")
	require.Len(t, s.checkLeaving(arrivalsAfter(h, start, drainBound+3*time.Second), notices), 1)
}

func TestCheckRefusalsFindsEarlyRequests(t *testing.T) {
	start, s := time.Now(), &server{Upstream: &platformtest.Upstream{ID: "u1"}, proxy: &proxy{}}
	h := &hostProcess{}
	refused := func(after ...time.Duration) []hostArrival {
		all := arrivalsAfter(h, start, append([]time.Duration{0}, after...)...)
		all[0].RetryAfter = 2 * time.Second
		return all
	}
	second := time.Second
	require.Empty(t, s.checkRefusals(refused(refusalKnownTime/2, refusalKnownTime, second, second, 2*second)))
	require.Len(t, s.checkRefusals(refused(second, second, second)), 1)
	h.disruptions = []*disruption{{kind: killed, from: start.Add(second), until: start.Add(2 * second)}}
	require.Empty(t, s.checkRefusals(refused(second, second, second)), "the host was restarted")
	h.disruptions = nil
	s.replacedAt = []time.Time{start.Add(-second), start.Add(second / 2)}
	require.Empty(t, s.checkRefusals(refused(second, second, second)), "another process has the ID")
	s.replacedAt = []time.Time{start.Add(-second), start.Add(3 * second / 2)}
	require.Len(t, s.checkRefusals(refused(second, second, second)), 1, "the process was replaced later")
	s.replacedAt = nil
	s.proxy.stops = []stopTime{{from: start.Add(-2 * second), until: start.Add(-second)}}
	require.Len(t, s.checkRefusals(refused(second, second, second)), 1, "the upstream was stopped before")
	s.proxy.stops = []stopTime{{from: start.Add(-second), until: start.Add(second / 10)}}
	require.Empty(t, s.checkRefusals(refused(second, second, second)), "the upstream was stopped")
	s.proxy.stops = nil
	for cutAt, violations := range map[time.Duration]int{-second: 1, -refusalReadTime: 0, refusalReadTime - 1: 0, refusalReadTime: 1} {
		h.disruptions = []*disruption{{kind: linksCut, from: start.Add(cutAt), until: start.Add(cutAt + 4*second)}}
		require.Len(t, s.checkRefusals(refused(second, second, second)), violations, "the links were lost after %s", cutAt)
	}
	h.disruptions = nil
	left := refused(second, second, second)
	left[0].leftAt = start.Add(refusalReadTime - 1)
	require.Empty(t, s.checkRefusals(left), "the caller left before the refusal arrived")
	left[0].leftAt = start.Add(refusalReadTime)
	require.Len(t, s.checkRefusals(left), 1, "the caller left after the refusal had arrived")
	left[0].leftAt, left[1].RetryAfter = start.Add(time.Millisecond), 2*second
	left = append(left, arrivalsAfter(h, start, 2*second, 2*second, 2*second)...)
	require.Len(t, s.checkRefusals(left), 1, "another refusal was read")
}
