package soak

import (
	"bufio"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// takenUp returns a stream of version v1 that a caller takes up again at h. It goes
// on if events is above 0.
func takenUp(h *hostProcess, at time.Time, events int) *stream {
	s := &stream{events: 1 + events, tries: []streamTry{
		{host: h, events: 1, outcome: outcome{status: 200, abandoned: true, sentAt: at, endedAt: at}},
		{host: h, eventsThen: 1, events: events, outcome: outcome{status: 503, resumes: true, sentAt: at, endedAt: at}},
	}}
	s.text.WriteString("id: 0\ndata: event 0\n: written by v1\n\n")
	return s
}

func TestCheckStreamsFindsStreamsThatDontGoOn(t *testing.T) {
	start := time.Now()
	at := start.Add(time.Minute)
	upstream := &platformtest.Upstream{Version: "v1"}
	e := &environment{changed: []*server{{Upstream: upstream, readyAt: start}, {Upstream: upstream, readyAt: start}}}
	calm := &hostProcess{}
	streams := func(h *hostProcess, goOn, refused int) (all []*stream) {
		for range goOn {
			all = append(all, takenUp(h, at, 1))
		}
		for range refused {
			all = append(all, takenUp(h, at, 0))
		}
		return all
	}
	require.Empty(t, e.checkStreams(streams(calm, 6, 6)))
	require.Len(t, e.checkStreams(streams(calm, 5, 7)), 1)
	require.Empty(t, e.checkStreams(streams(calm, 0, 11)), "too few streams")
	disturbed := &hostProcess{disruptions: []*disruption{{kind: storeCut, from: start, until: at.Add(-2 * time.Second)}}}
	require.Empty(t, e.checkStreams(streams(disturbed, 0, 12)), "no host was left in peace")
	e.changed[1].leavingAt = at.Add(-time.Second)
	require.Empty(t, e.checkStreams(streams(calm, 0, 12)), "one upstream of the version serves")
}

func TestCheckStreamsFindsEventsOfTwoVersions(t *testing.T) {
	s := takenUp(&hostProcess{}, time.Now(), 1)
	e := &environment{}
	require.Empty(t, e.checkStreams([]*stream{s}))
	s.text.WriteString("id: 1\ndata: event 1\n: written by v2\n\n")
	require.Len(t, e.checkStreams([]*stream{s}), 1)
}

func TestReceiveFindsMissingAndRepeatedEvents(t *testing.T) {
	event := func(i string) string { return "id: " + i + "\ndata: event " + i + "\n\n" }
	for answer, faults := range map[string]int{
		event("0") + event("1"):               1, // ended before the last event
		event("0") + event("2"):               2,
		event("0") + event("0"):               2,
		event("0") + "id: 1\ndata: event 1\n": 1,
	} {
		s := &stream{}
		s.receive(&streamTry{}, bufio.NewReader(strings.NewReader(answer)), turnEvents)
		require.Len(t, s.faults, faults, answer)
	}
}
