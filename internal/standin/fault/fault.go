// Package fault holds the faults that are injected into a stand-in, over HTTP
// or by a test. A fault can end by itself after a number of calls or a time.
package fault

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. A stand-in ignores those that do not apply to it.
const (
	// Slow delays each call by DelayMS and multiplies its processing time by
	// Factor.
	Slow Kind = "slow"
	// Down closes the listener and cuts every connection.
	Down Kind = "down"
	// Refuse answers 503 without running the call, and reports that it did not
	// run.
	Refuse Kind = "refuse"
	// ErrorAfterRun runs the call and then answers 500.
	ErrorAfterRun Kind = "error_after_run"
	// LostAnswer runs the call and then cuts the connection.
	LostAnswer Kind = "lost_answer"
	// Crash takes the stand-in down when the body of a call contains Marker.
	Crash Kind = "crash"
	// DelayedAnswerOfOtherCall runs the call, waits for DelayMS and sends the
	// answer to an earlier call. Without such an answer the call is answered
	// normally.
	DelayedAnswerOfOtherCall Kind = "late"
	// AnswerOfOtherCall is DelayedAnswerOfOtherCall without a delay.
	AnswerOfOtherCall Kind = "crossed"
	// Truncate ends an answer early as if it were complete.
	Truncate Kind = "truncate"
	// Cut closes the connection in the middle of an answer.
	Cut Kind = "cut"
	// Stall stops sending in the middle of an answer and keeps the connection
	// open. With DelayMS it goes on after that time.
	Stall Kind = "stall"
	// Leaving answers new calls with 503 and lets running calls finish.
	Leaving Kind = "leaving"
	// Return ends Leaving and no other fault.
	Return Kind = "return"
	// WatchBreak ends every watch of the store.
	WatchBreak Kind = "watch_break"
	// WatchSkip drops Count changes from the store's watches.
	WatchSkip Kind = "watch_skip"
	// LeaseLapse expires every lease of the store at once.
	LeaseLapse Kind = "lease_lapse"
	// Snapshot saves a copy of the store's content.
	Snapshot Kind = "snapshot"
	// Restore resets the store's content to the saved copy.
	Restore Kind = "restore"
	// Lag sets the host list's delay to DelayMS.
	Lag Kind = "lag"
	// Clear ends every fault.
	Clear Kind = "clear"
)

// Fault is one fault to inject.
type Fault struct {
	Kind Kind `json:"kind"`
	// Factor multiplies the processing time of a call.
	Factor float64 `json:"factor,omitempty"`
	// DelayMS is a delay in milliseconds.
	DelayMS int `json:"delay_ms,omitempty"`
	// Marker is the text in a body that causes a crash.
	Marker string `json:"marker,omitempty"`
	// Count is how many calls the fault affects; 0 means all until it is
	// cleared.
	Count int `json:"count,omitempty"`
	// Share is the fraction of calls that the fault affects, chosen at random;
	// 0 means every call.
	Share float64 `json:"share,omitempty"`
	// ForMS ends the fault after this many milliseconds; 0 means never. For
	// Crash and Down it is the time until the stand-in starts again.
	ForMS int `json:"for_ms,omitempty"`
	// AfterEvents is how many events of a stream are sent before the fault
	// takes effect; 0 means a default number.
	AfterEvents int `json:"after_events,omitempty"`
}

// Delay returns DelayMS as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMS) * time.Millisecond }

// Duration returns ForMS as a duration.
func (f Fault) Duration() time.Duration { return time.Duration(f.ForMS) * time.Millisecond }

// activeFault is a fault with the number of calls that it still affects, if
// Count is set, and the time at which it ends, if any.
type activeFault struct {
	Fault
	remaining int
	expires   time.Time
}

// Set holds the active faults of one stand-in. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	random *rand.Rand
	faults map[Kind]*activeFault
}

// NewSet returns an empty set. The seed determines which calls a fault with a
// Share affects.
func NewSet(seed uint64) *Set {
	return &Set{random: rand.New(rand.NewPCG(seed, seed)), faults: map[Kind]*activeFault{}}
}

// Add activates a fault and replaces an active one of the same kind. A fault of
// kind Clear removes all faults.
func (s *Set) Add(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Kind == Clear {
		clear(s.faults)
		return
	}
	a := &activeFault{Fault: f, remaining: f.Count}
	if f.ForMS > 0 && f.Kind != Crash {
		a.expires = time.Now().Add(f.Duration())
	}
	s.faults[f.Kind] = a
}

// Remove ends the fault of one kind.
func (s *Set) Remove(kind Kind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, kind)
}

// Active returns the active fault of a kind, if any, without counting a call.
func (s *Set) Active(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.lookup(kind)
	if !ok {
		return Fault{}, false
	}
	return a.Fault, true
}

// Trigger returns the fault of a kind if it affects the current call, and
// counts the call against the fault's Count.
func (s *Set) Trigger(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.lookup(kind)
	if !ok {
		return Fault{}, false
	}
	if a.Share > 0 && s.random.Float64() >= a.Share {
		return Fault{}, false
	}
	if a.Count > 0 {
		a.remaining--
		if a.remaining <= 0 {
			delete(s.faults, kind)
		}
	}
	return a.Fault, true
}

// lookup returns the fault of a kind if it has not expired. The caller holds
// mu.
func (s *Set) lookup(kind Kind) (*activeFault, bool) {
	a, ok := s.faults[kind]
	if !ok {
		return nil, false
	}
	if !a.expires.IsZero() && time.Now().After(a.expires) {
		delete(s.faults, kind)
		return nil, false
	}
	return a, true
}

// maxFaultBytes bounds the body of a request that injects a fault.
const maxFaultBytes = 64 << 10

// Handler serves POST requests with a Fault in JSON and passes the fault to
// apply.
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
