package drill

import (
	"maps"
	"slices"
	"sync"
)

// record collects the replies to one request.
type record struct {
	request *request
	// replyCounts counts the replies by outcome.
	replyCounts [unreached + 1]int
	defects     []string
}

// resolution is what a caller knows about a request after its last reply.
type resolution uint8

const (
	// answered: the caller got a complete answer at least once.
	answered resolution = iota
	// failedAfterRun: the caller knows that the request ran but has no answer.
	failedAfterRun
	// outcomeUnknown: the caller does not know whether the request ran.
	outcomeUnknown
	// confirmedNotRun: every reply said that nothing ran, or no host was reached.
	confirmedNotRun
)

// resolve derives the resolution from all replies.
func (r *record) resolve() resolution {
	switch {
	case r.replyCounts[complete] > 0:
		return answered
	case r.replyCounts[ranFailed] > 0:
		return failedAfterRun
	case r.replyCounts[unknown] > 0:
		return outcomeUnknown
	}
	return confirmedNotRun
}

// ledger records all requests and replies. It is safe for concurrent use.
type ledger struct {
	mu                sync.Mutex
	records           map[string]*record
	causes            map[string]int
	foreignAnswers    int
	wrongAnswers      int
	answersCutByDrain int
	replyCount        int
}

func newLedger() *ledger { return &ledger{records: map[string]*record{}, causes: map[string]int{}} }

// addRequest records a request before it is sent.
func (l *ledger) addRequest(q *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[q.mark] = &record{request: q}
}

// addReply records a reply.
func (l *ledger) addReply(q *request, got reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[q.mark]
	r.replyCounts[got.outcome]++
	l.replyCount++
	if got.cause != "" {
		l.causes[got.cause]++
	}
	if got.defect != "" {
		r.defects = append(r.defects, got.defect)
		l.wrongAnswers++
	}
	if got.foreign {
		l.foreignAnswers++
	}
	if got.cutByDrain {
		l.answersCutByDrain++
	}
}

// sortedRecords returns all records, sorted by the requests' marks.
func (l *ledger) sortedRecords() []*record {
	l.mu.Lock()
	defer l.mu.Unlock()
	marks := slices.Sorted(maps.Keys(l.records))
	records := make([]*record, 0, len(marks))
	for _, mark := range marks {
		records = append(records, l.records[mark])
	}
	return records
}
