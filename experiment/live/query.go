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
	readyEvery    = 50 * time.Millisecond
	// filler makes prompts about as long as a short question.
	filler = 12
)

// query is one request to a host.
type query struct {
	url      string
	key      string
	body     []byte
	deadline time.Duration
	// counter finds the count that the request belongs to.
	counter func(*Result) *Count
	// once says that the call may run only once.
	once bool
}

// reply is what a caller saw.
type reply struct {
	ok   bool
	took time.Duration
	ran  problem.Ran
	// engine is the time of the engine's stage.
	engine time.Duration
}

func discard() *slog.Logger { return slog.New(slog.DiscardHandler) }

// draw makes the next request from the seed. Only load calls it.
func (r *run) draw() query {
	all := r.fleet.Hosts()
	host := all[r.rand.IntN(len(all))]
	base := "http://" + host.Info().HTTPAddr.String()
	q := query{key: "demo-key-" + r.mix.workspaces[r.rand.IntN(len(r.mix.workspaces))]}
	switch x := r.rand.Float64(); {
	case x < quickShare:
		q.ask(base, r.mix.quick, r.rand.Uint64(), quickDeadline, func(s *Result) *Count { return &s.Quick })
	case x < quickShare+longShare:
		q.ask(base, r.mix.long, r.rand.Uint64(), longDeadline, func(s *Result) *Count { return &s.Long })
	default:
		q.url = base + "/v1/services/" + r.mix.order
		q.body = []byte(`{"count":1}`)
		q.deadline = orderDeadline
		q.counter = func(s *Result) *Count { return &s.Order }
		q.once = true
	}
	return q
}

func (q *query) ask(base, pipeline string, number uint64, deadline time.Duration, counter func(*Result) *Count) {
	q.url = base + "/v1/pipelines/" + pipeline
	q.body = fmt.Appendf(nil, `{"input":"question %d %s"}`, number, strings.Repeat("of stock ", filler))
	q.deadline = deadline
	q.counter = counter
}

// ask sends a request and reads the whole answer.
func (r *run) ask(ctx context.Context, q query) reply {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, q.url, bytes.NewReader(q.body))
	if err != nil {
		return reply{}
	}
	req.Header.Set("Authorization", "Bearer "+q.key)
	req.Header.Set("Content-Type", "application/json")
	if q.once {
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
		ok:   resp.StatusCode/100 == 2 && (q.once || decoded == nil),
		took: time.Since(began),
		ran:  problem.Ran(resp.Header.Get(problem.RanHeader)),
	}
	if n := len(body.Stages); n > 0 {
		a.engine = body.Stages[n-1].Took
	}
	return a
}

// waitReady waits until every host takes work.
func (r *run) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, host := range r.fleet.Hosts() {
		for !r.ready(ctx, "http://"+host.OperatorAddr().String()+"/readyz") {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", host.Info().ID, ctx.Err())
			case <-time.After(readyEvery):
			}
		}
	}
	return nil
}

func (r *run) ready(ctx context.Context, url string) bool {
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
