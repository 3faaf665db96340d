package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// outcome is what a caller observed for one request.
type outcome struct {
	id        string
	path      string
	host      string
	key       string
	status    int // 0 if there was no response
	body      string
	complete  bool
	abandoned bool          // the caller cancelled before the deadline that the request names
	resumes   bool          // the caller goes on with a stream that it has begun
	deadline  time.Duration // the deadline that the request names
	sentAt    time.Time
	endedAt   time.Time
}

// callers send requests until they are stopped, and record the outcomes.
type callers struct {
	env    *environment
	client *http.Client

	mu       sync.Mutex // guards the fields below
	outcomes []outcome
	streams  []*stream
	prompts  []prompt
}

const (
	callerCount          = 8
	callerPause          = 25 * time.Millisecond
	defaultClientTimeout = 5 * time.Second
	requestDeadline      = 4 * time.Second // the deadline that the request names
	keptKey              = "kept"          // the API key that every configuration allows
)

func newCallers(env *environment) *callers {
	return &callers{env: env, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount, DisableCompression: true}}}
}

// run sends requests until ctx ends. Some requests are cancelled early.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.record(c.send(pick(r, []string{"/read/", "/order/", "/talk/", "/staged/"}), pick(r, c.env.hosts), fmt.Sprintf("%d-%d-%d", seed, i, n), keptKey, drawClientTimeout(r)))
				time.Sleep(callerPause)
			}
		})
	}
	group.Wait()
}

// drawClientTimeout draws how long a caller waits for one request. One in 20 is
// cancelled within 60 ms, well before the deadline that the request names.
func drawClientTimeout(r *rand.Rand) time.Duration {
	if r.IntN(20) == 0 {
		return time.Duration(r.IntN(60)) * time.Millisecond
	}
	return defaultClientTimeout
}

func (c *callers) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// send sends one request, with additional headers.
func (c *callers) send(path string, h *hostProcess, id, key string, timeout time.Duration, additional ...http.Header) (o outcome) {
	o = outcome{id: id, path: path, host: h.settings.Name, key: key, deadline: requestDeadline, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	defer func() {
		o.endedAt = time.Now()
		o.abandoned = ctx.Err() != nil && timeout < requestDeadline
	}()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr().String()+path+id, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // cannot happen: this package built the URL
	}
	r.Host = platformtest.Host
	r.Header = platformtest.CallerHeader(id, o.key, requestDeadline)
	for _, header := range additional {
		maps.Copy(r.Header, header)
	}
	response, err := c.client.Do(r)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.body, o.complete = response.StatusCode, string(body), err == nil
	return o
}
