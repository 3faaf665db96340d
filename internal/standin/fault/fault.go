// Package fault holds the failures that a stand-in has been told to show. They
// are set over HTTP or by a test, and each may end by itself after a number of
// calls or a time.
package fault

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Kind names a failure.
type Kind string

// The kinds of failure. A stand-in ignores those that make no sense for it.
const (
	// Slow delays each call by DelayMS and stretches its work by Factor.
	Slow Kind = "slow"
	// Down closes the listener and cuts every connection.
	Down Kind = "down"
	// Refuse answers 503 before anything runs, and says so.
	Refuse Kind = "refuse"
	// ErrorAfterRun runs the call and then answers 500.
	ErrorAfterRun Kind = "error_after_run"
	// LostAnswer runs the call and then cuts the connection.
	LostAnswer Kind = "lost_answer"
	// Crash takes the stand-in down when a body contains Marker.
	Crash Kind = "crash"
	// Late holds the call for DelayMS and then gives an earlier call's answer.
	Late Kind = "late"
	// Crossed gives the answer of another call.
	Crossed Kind = "crossed"
	// Truncate ends an answer early as if it were whole.
	Truncate Kind = "truncate"
	// Cut breaks the connection in the middle of an answer.
	Cut Kind = "cut"
	// Stall stops in the middle of an answer and keeps the connection.
	Stall Kind = "stall"
	// Leaving answers new work with 503 while running work goes on.
	Leaving Kind = "leaving"
	// Return ends Leaving alone.
	Return Kind = "return"
	// WatchBreak ends every watch of the store.
	WatchBreak Kind = "watch_break"
	// WatchSkip drops Count changes from the store's watches.
	WatchSkip Kind = "watch_skip"
	// LeaseLapse expires every lease of the store at once.
	LeaseLapse Kind = "lease_lapse"
	// Snapshot keeps a copy of the store's content.
	Snapshot Kind = "snapshot"
	// Restore puts the store back to the kept copy.
	Restore Kind = "restore"
	// Lag sets the host list's delay to DelayMS.
	Lag Kind = "lag"
	// Clear ends every failure.
	Clear Kind = "clear"
)

// Fault is one failure to show.
type Fault struct {
	Kind Kind `json:"kind"`
	// Factor stretches the time that work takes.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is a delay in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Marker is the text in a body that causes a crash.
	Marker string `json:"marker,omitempty"`
	// Count is how many calls it hits; 0 means until it is cleared.
	Count int `json:"count,omitempty"`
	// Share is the share of calls it hits; 0 means every call.
	Share float64 `json:"share,omitempty"`
	// ForMS ends the failure after so many milliseconds; 0 means never. For a
	// crash it is the time until the stand-in starts again.
	ForMS int `json:"for_ms,omitempty"`
	// AfterEvents is how many events of a stream go out before the failure.
	AfterEvents int `json:"after_events,omitempty"`
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Length returns ForMS as a duration.
func (f Fault) Length() time.Duration { return time.Duration(f.ForMS) * time.Millisecond }

type active struct {
	Fault
	left int
	ends time.Time
}

// Set is the failures in force at one stand-in. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	random *rand.Rand
	faults map[Kind]*active
}

// NewSet returns an empty set. The seed decides which calls a Share hits.
func NewSet(seed uint64) *Set {
	return &Set{random: rand.New(rand.NewPCG(seed, seed)), faults: map[Kind]*active{}}
}

// Add puts a failure in force in place of one of the same kind.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Kind == Clear {
		clear(s.faults)
		return
	}
	a := &active{Fault: f, left: f.Count}
	if f.ForMS > 0 && f.Kind != Crash {
		a.ends = time.Now().Add(f.Length())
	}
	s.faults[f.Kind] = a
}

// Remove ends the failures of one kind.
func (s *Set) Remove(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, kind)
}

// Active returns a failure that is in force without counting a call.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.find(kind)
	if !ok {
		return Fault{}, false
	}
	return a.Fault, true
}

// Take asks whether the failure hits this call, and counts the call if it does.
func (s *Set) Take(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.find(kind)
	if !ok {
		return Fault{}, false
	}
	if a.Share > 0 && s.random.Float64() >= a.Share {
		return Fault{}, false
	}
	if a.Count > 0 {
		a.left--
		if a.left <= 0 {
			delete(s.faults, kind)
		}
	}
	return a.Fault, true
}

// find returns a failure that has not ended. The caller holds mu.
func (s *Set) find(kind Kind) (*active, bool) {
	a, ok := s.faults[kind]
	if !ok {
		return nil, false
	}
	if !a.ends.IsZero() && time.Now().After(a.ends) {
		delete(s.faults, kind)
		return nil, false
	}
	return a, true
}

// maxFaultBytes bounds the body of a fault call.
const maxFaultBytes = 64 << 10

// Handler serves POST with a Fault in JSON and passes it to apply.
func Handler(apply func(Fault)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			http.Error(w, "POST a fault", http.StatusMethodNotAllowed)
			return
		}
		var f Fault
		body := io.LimitReader(r.Body, maxFaultBytes)
		if err := json.NewDecoder(body).Decode(&f); err != nil || f.Kind == "" {
			http.Error(w, "not a fault in JSON", http.StatusBadRequest)
			return
		}
		apply(f)
		w.WriteHeader(http.StatusNoContent)
	})
}
