package drill

import (
	"maps"
	"slices"
	"sync"
)

// record is all that a caller heard about one request.
type record struct {
	request *request
	// heard counts replies by outcome.
	heard [unreached + 1]int
	wrong []string
}

// settled names what became of a request.
type settled uint8

const (
	// answeredWhole: the caller got the whole answer at least once.
	answeredWhole settled = iota
	// failedAfterRun: the caller knows that it ran and has no answer.
	failedAfterRun
	// openOutcome: the caller does not know whether it ran.
	openOutcome
	// surelyNotRun: each reply said that nothing ran, or there was none.
	surelyNotRun
)

// settled sums the replies up.
func (r *record) settled() settled {
	switch {
	case r.heard[whole] > 0:
		return answeredWhole
	case r.heard[ranFailed] > 0:
		return failedAfterRun
	case r.heard[unknown] > 0:
		return openOutcome
	}
	return surelyNotRun
}

// ledger keeps what callers heard. It is safe for concurrent use.
type ledger struct {
	mu        sync.Mutex
	records   map[string]*record
	causes    map[string]int
	foreign   int
	wrong     int
	drainCuts int
	replies   int
}

func newLedger() *ledger { return &ledger{records: map[string]*record{}, causes: map[string]int{}} }

// open notes a request before it is sent.
func (l *ledger) open(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[q.mark] = &record{request: q}
}

// note adds a reply.
func (l *ledger) note(q *request, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[q.mark]
	r.heard[got.outcome]++
	l.replies++
	if got.cause != "" {
		l.causes[got.cause]++
	}
	if got.wrong != "" {
		r.wrong = append(r.wrong, got.wrong)
		l.wrong++
	}
	if got.foreign {
		l.foreign++
	}
	if got.cutByDrain {
		l.drainCuts++
	}
}

// all returns every record, in the order of their marks.
func (l *ledger) all() []*record {
	l.mu.Lock()
	defer l.mu.Unlock()
	marks := slices.Sorted(maps.Keys(l.records))
	records := make([]*record, 0, len(marks))
	for _, mark := range marks {
		records = append(records, l.records[mark])
	}
	return records
}
