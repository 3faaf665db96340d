package staging

import (
	"math"
	"time"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// learnTime is the time constant of the learned rate while pieces wait.
	learnTime = 1500 * time.Millisecond
	// forgetTime is the one with which it returns to the servers' capacity
	// while none do.
	forgetTime = 3 * time.Second
	// minRate, in pieces a second, keeps a wait finite.
	minRate = 1
)

// drain learns at what rate a service does pieces: its servers' capacity, less
// what their memory and their failures take.
type drain struct {
	rate     float64 // pieces a second
	finished int     // pieces since the last tick
	at       time.Time
	waited   bool // pieces waited at the last tick
}

// done counts pieces that came back.
func (d *drain) done(pieces int) { d.finished += pieces }

// tick takes in what was done since the last tick.
func (d *drain) tick(now time.Time, waiting bool, capacity float64) {
	passed := now.Sub(d.at)
	finished, waited := d.finished, d.waited
	d.finished, d.at, d.waited = 0, now, waiting
	switch {
	case d.rate == 0 || passed > learnTime:
		d.rate = capacity
	case waiting && waited:
		seen := float64(finished) / passed.Seconds()
		d.rate += (1 - math.Exp(-passed.Seconds()/learnTime.Seconds())) * (seen - d.rate)
	default:
		d.rate += (1 - math.Exp(-passed.Seconds()/forgetTime.Seconds())) * (capacity - d.rate)
	}
}

// wait is how long a number of pieces takes.
func (d *drain) wait(pieces int) time.Duration {
	if pieces == 0 {
		return 0
	}
	return time.Duration(float64(pieces) / max(d.rate, minRate) * float64(time.Second))
}

// capacity is how many pieces a second the servers can do in full calls.
func (s *gathering) capacity(servers []instance.Status, spec *routing.StageServer) float64 {
	full := spec.CallTime + time.Duration(spec.Batch)*spec.PieceTime
	perServer := float64(spec.Concurrency*spec.Batch) / full.Seconds()
	total := 0.0
	for _, server := range servers {
		if !server.Ejected {
			total += perServer / s.paceOf(server.ID)
		}
	}
	return total
}

// inTime says whether a new group can be done before its deadline after what
// goes before it.
func (s *gathering) inTime(w *work, spec *routing.StageServer, now time.Time) bool {
	ahead := s.queue.ahead(w, now, spec.CallTime)
	needed := s.drain.wait(ahead) + spec.CallTime + time.Duration(w.Pieces)*spec.PieceTime
	return !now.Add(needed).After(w.deadline)
}
