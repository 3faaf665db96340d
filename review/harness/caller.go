package harness

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Outcome is what a caller saw of one request.
type Outcome struct {
	ID       string
	Host     string
	SentAt   time.Time
	EndedAt  time.Time
	Status   int // 0 if there was no answer
	Body     string
	Complete bool
	Err      error
	Header   http.Header
	// Kept means that the connection had served a request before.
	Kept bool
}

// requestNumber counts the requests of all callers, so that each has an ID of its own.
var requestNumber atomic.Int64

// Callers send requests and record the outcomes.
type Callers struct {
	// Key is the API key.
	Key string
	// Deadline is how long the callers wait.
	Deadline time.Duration
	// BodyBytes is the length of the bodies; 0 sends a short text.
	BodyBytes int

	record *Record
	client *http.Client

	mu       sync.Mutex // guards outcomes
	outcomes []Outcome
}

// NewCallers creates callers that keep their connections.
func NewCallers(record *Record, key string, deadline time.Duration) *Callers {
	return &Callers{
		Key: key, Deadline: deadline, record: record,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
}

// Send sends one request with a new ID to a host, and waits for its end. header is added.
func (c *Callers) Send(h *Host, method, path string, header http.Header) Outcome {
	o := Outcome{ID: fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumber.Add(1)), Host: h.Name, SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { o.Kept = i.Reused }})
	r, err := http.NewRequestWithContext(ctx, method, "http://"+h.CallerAddr().String()+path+o.ID, nil)
	if err != nil {
		panic(err) // this package built the URL
	}
	if method != http.MethodGet {
		c.setBody(r, "body of "+o.ID)
	}
	r.Host = platformtest.Host
	r.Header = platformtest.CallerHeader(o.ID, c.Key, c.Deadline)
	maps.Copy(r.Header, header)
	c.finish(r, &o)
	c.record.PrintfAt(o.SentAt, "caller sent %s %s%s to %s: status %d, complete %t, after %d ms, error %v",
		method, path, o.ID, h.Name, o.Status, o.Complete, o.EndedAt.Sub(o.SentAt).Milliseconds(), o.Err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	return o
}

// padding fills the bodies of all callers.
var padding = strings.Repeat(".", 8<<20)

// setBody gives a request a body of BodyBytes that begins with a text.
func (c *Callers) setBody(r *http.Request, text string) {
	rest := min(max(c.BodyBytes-len(text), 0), len(padding))
	r.ContentLength = int64(len(text) + rest)
	r.Body = io.NopCloser(io.MultiReader(strings.NewReader(text), strings.NewReader(padding[:rest])))
}

// finish makes the call and reads its answer.
func (c *Callers) finish(r *http.Request, o *Outcome) {
	defer func() { o.EndedAt = time.Now() }()
	answer, err := c.client.Do(r)
	if err != nil {
		o.Err = err
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	o.Status, o.Header, o.Body, o.Complete, o.Err = answer.StatusCode, answer.Header, string(body), err == nil, err
}

// Load sends requests to every host, one each interval, until stop is called. stop waits
// for those under way.
func (c *Callers) Load(hosts []*Host, interval time.Duration, method, path string, header http.Header) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, h := range hosts {
		running.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					running.Go(func() { c.Send(h, method, path, header) })
				}
			}
		})
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// Outcomes returns what the callers have seen so far.
func (c *Callers) Outcomes() []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Outcome(nil), c.outcomes...)
}
