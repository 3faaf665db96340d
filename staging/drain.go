package staging

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// learnTime is the time constant of the learned rate while pieces wait.
	learnTime = 1500 * time.Millisecond
	// forgetTime is the one with which it returns to the servers' capacity
	// while none do.
	forgetTime = 3 * time.Second
	// minRate, in units a second, keeps a wait finite.
	minRate = 1
)

// drain learns at what rate a service does its work: its servers' capacity,
// less what failures take.
type drain struct {
	rate     float64 // units a second
	finished float64 // units since the last tick
	at       time.Time
	waited   bool // work waited at the last tick
}

// done counts work that came back.
func (d *drain) done(units float64) { d.finished += units }

// tick takes in what was done since the last tick.
func (d *drain) tick(now time.Time, waiting bool, capacity float64) {
	passed := now.Sub(d.at)
	finished, waited := d.finished, d.waited
	d.finished, d.at, d.waited = 0, now, waiting
	switch {
	case d.rate == 0 || passed > learnTime:
		d.rate = capacity
	case waiting && waited:
		seen := finished / passed.Seconds()
		d.rate += (1 - math.Exp(-passed.Seconds()/learnTime.Seconds())) * (seen - d.rate)
	default:
		d.rate += (1 - math.Exp(-passed.Seconds()/forgetTime.Seconds())) * (capacity - d.rate)
	}
}

// wait is how long an amount of work takes; 0 while nothing is known.
func (d *drain) wait(units float64) time.Duration {
	if units == 0 || d.rate == 0 {
		return 0
	}
	return min(time.Duration(units/max(d.rate, minRate)*float64(time.Second)), maxWait)
}

// maxWait is more than any caller waits.
const maxWait = time.Minute

// capacity is how many pieces a second the servers can do in full calls.
func (s *gathering) capacity(servers []instance.Status, spec *routing.StageServer) float64 {
	full := spec.FullCall()
	perServer := float64(spec.Concurrency*spec.Batch) / full.Seconds()
	total := 0.0
	for _, server := range servers {
		if !server.Ejected {
			total += perServer / s.paceOf(server.ID)
		}
	}
	return total
}

// byteCapacity is how many bytes of results a second the servers have memory
// for, as long as results are held.
func (s *gathering) byteCapacity(servers []instance.Status, spec *routing.StageServer) float64 {
	total := 0.0
	for _, server := range servers {
		if !server.Ejected {
			total += roomShare * float64(spec.ResultRoom)
		}
	}
	return total / (spec.CallTime + s.room.heldFor).Seconds()
}

// inTime says whether a new group can be done before its deadline after what
// goes before it.
func (s *gathering) inTime(w *work, spec *routing.StageServer, now time.Time) bool {
	pieces, bytes := s.queue.ahead(w, now, spec.FullCall())
	return !now.Add(s.needed(w, spec, pieces, bytes)).After(w.deadline)
}

// needed is how long a group takes after the work before it.
func (s *gathering) needed(w *work, spec *routing.StageServer, pieces int, bytes int64) time.Duration {
	wait := s.drain.wait(float64(pieces))
	if w.ResultBytes > 0 && w.ResultBytes >= s.queue.largest()/lightPart {
		wait = max(wait, s.bytes.wait(float64(bytes)))
	}
	return wait + spec.CallTime + time.Duration(w.Pieces)*spec.PieceTime
}

// lightPart is the part of the largest results below which a group finds room
// between the others.
const lightPart = 8

// refuseLate ends the groups that can no longer be done in time, so that their
// callers learn it at once.
func (s *gathering) refuseLate(now time.Time, spec *routing.StageServer) (ended []func()) {
	s.queue.sort(now, spec.FullCall())
	pieces, bytes := 0, int64(0)
	kept := s.queue.waiting[:0]
	for _, w := range s.queue.waiting {
		if w.open == len(w.waiting) && now.Add(s.needed(w, spec, pieces, bytes)).After(w.deadline) {
			ended = append(ended, w.end(call.PieceOverload))
			continue
		}
		pieces += len(w.waiting)
		bytes += int64(len(w.waiting)) * w.ResultBytes
		kept = append(kept, w)
	}
	s.queue.waiting = kept
	return ended
}
