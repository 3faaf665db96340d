package live

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

const (
	orderDeadline = 10 * time.Second
	readyTimeout  = 30 * time.Second
	readyInterval = 50 * time.Millisecond
	// fillerRepeats makes a prompt about as long as a short question.
	fillerRepeats = 12
)

// query is one request to a host.
type query struct {
	url      string
	apiKey   string
	body     []byte
	deadline time.Duration
	// counter returns the count to which the request belongs.
	counter func(*Result) *Count
	// nonIdempotent reports that the call may run only once and needs an
	// idempotency key.
	nonIdempotent bool
}

// reply is what the caller observed.
type reply struct {
	succeeded bool
	latency   time.Duration
	ran       problem.Ran
	// engineTime is the time of the last stage, which runs on an engine.
	engineTime time.Duration
}

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

// nextQuery draws the next request. Only sendLoad calls it, so that the generator
// needs no lock.
func (r *run) nextQuery() query {
	all := r.fleet.Hosts()
	host := all[r.rand.IntN(len(all))]
	base := "http://" + host.Info().HTTPAddr.String()
	q := query{apiKey: "demo-key-" + r.mix.workspaces[r.rand.IntN(len(r.mix.workspaces))]}
	switch x := r.rand.Float64(); {
	case x < quickShare:
		q.setPipelineCall(base, r.mix.quick, r.rand.Uint64(), quickDeadline, func(s *Result) *Count { return &s.Quick })
	case x < quickShare+longShare:
		q.setPipelineCall(base, r.mix.long, r.rand.Uint64(), longDeadline, func(s *Result) *Count { return &s.Long })
	default:
		q.url = base + "/v1/services/" + r.mix.order
		q.body = []byte(`{"count":1}`)
		q.deadline = orderDeadline
		q.counter = func(s *Result) *Count { return &s.Order }
		q.nonIdempotent = true
	}
	return q
}

func (q *query) setPipelineCall(base, pipeline string, number uint64, deadline time.Duration, counter func(*Result) *Count) {
	q.url = base + "/v1/pipelines/" + pipeline
	q.body = fmt.Appendf(nil, `{"input":"question %d %s"}`, number, strings.Repeat("of stock ", fillerRepeats))
	q.deadline = deadline
	q.counter = counter
}

// send sends a request and reads the complete answer.
func (r *run) send(ctx context.Context, q query) reply {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, q.url, bytes.NewReader(q.body))
	if err != nil {
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+q.apiKey)
	req.Header.Set("Content-Type", "application/json")
	if q.nonIdempotent {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	var body struct {
		Stages []request.StageReport `json:"stages"`
	}
	decoded := json.NewDecoder(resp.Body).Decode(&body)
	a := reply{
		succeeded: resp.StatusCode/100 == 2 && (q.nonIdempotent || decoded == nil),
		latency:   time.Since(began),
		ran:       problem.Ran(resp.Header.Get(problem.RanHeader)),
	}
	if n := len(body.Stages); n > 0 {
		a.engineTime = body.Stages[n-1].Took
	}
	return a
}

// waitReady waits until every host is ready.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range r.fleet.Hosts() {
		for !r.isReady(ctx, "http://"+host.OperatorAddr().String()+"/readyz") {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", host.Info().ID, ctx.Err())
			case <-time.After(readyInterval):
			}
		}
	}
	return nil
}

func (r *run) isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
