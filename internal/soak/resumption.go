package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

const (
	// inTouchTime is how long a host must have been left in peace before a rule with
	// a bound holds for it.
	inTouchTime = 3 * time.Second
	// versionKnownTime is how long an upstream must have been ready before it counts
	// as serving.
	versionKnownTime = time.Second
	// minStreamsTakenUp is the number of streams from which their share is judged.
	minStreamsTakenUp = 12
	// minGoOnShare is the least share of the streams taken up again that go on, in
	// relation to the share of new streams that begin.
	minGoOnShare = 0.5
)

// shareCount counts the streams that could begin or go on, and those that did.
type shareCount struct{ streams, good int }

func (s *shareCount) add(good bool) {
	s.streams++
	if good {
		s.good++
	}
}

func (s *shareCount) share() float64 { return float64(s.good) / float64(max(s.streams, 1)) }

// checkStreams checks that no stream holds events of two software versions, that none
// of its events is missing or comes twice, and that streams that are taken up again
// go on about as often as new ones begin.
func (e *environment) checkStreams(streams []*stream) (violations []string) {
	var begun, goneOn shareCount
	for _, s := range streams {
		violations = append(violations, s.faults...)
		writers := platformtest.WritersOf(s.text.String())
		if len(writers) > 1 {
			violations = append(violations, fmt.Sprintf("a stream holds events of the versions %s: %s", strings.Join(writers, " and "), s))
		}
		first, later := s.split()
		if inTouch(first) {
			begun.add(len(writers) > 0)
		}
		if len(later) > 0 && inTouch(later) && e.served(writers[0], later[0].sentAt.Add(-versionKnownTime), later[len(later)-1].endedAt) {
			goneOn.add(s.wentOn(later))
		}
	}
	if goneOn.streams >= minStreamsTakenUp && goneOn.share() < minGoOnShare*begun.share() {
		violations = append(violations, fmt.Sprintf("%d of %d streams that were taken up again went on, though %d of %d new ones began",
			goneOn.good, goneOn.streams, begun.good, begun.streams))
	}
	return violations
}

// split returns the tries up to the first event of the stream and those after it.
func (s *stream) split() (first, later []streamTry) {
	for i, t := range s.tries {
		if t.events > 0 && t.eventsThen == 0 {
			return s.tries[:i+1], s.tries[i+1:]
		}
	}
	return s.tries, nil
}

// wentOn reports whether a try brought another event or the end of the stream.
func (s *stream) wentOn(later []streamTry) bool {
	for _, t := range later {
		if t.events > 0 || t.status == 200 && t.complete {
			return true
		}
	}
	return false
}

// inTouch reports whether the hosts of all tries were left in peace.
func inTouch(tries []streamTry) bool {
	for _, t := range tries {
		if t.host.wasDisrupted(t.sentAt.Add(-inTouchTime), t.endedAt, killed, stopped, paused, storeCut) {
			return false
		}
	}
	return true
}

// String lists the stream's tries.
func (s *stream) String() string {
	var list []string
	for _, t := range s.tries {
		list = append(list, fmt.Sprintf("%s at %s: status %d, events %d to %d", t.id, t.host.settings.Name, t.status, t.eventsThen, t.eventsThen+t.events-1))
	}
	return strings.Join(list, "; ")
}
