package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// outcome is what a caller saw of one request.
type outcome struct {
	id     string
	path   string
	host   string
	key    string
	status int // 0: no answer
	body   string
	whole  bool
	left   bool // the caller left before it had said it would
	at     time.Time
}

// callers send requests until they are told to end, and keep what they saw.
type callers struct {
	world  *world
	client *http.Client

	mu   sync.Mutex // guards seen
	seen []outcome
}

const (
	callerCount   = 8
	callerPause   = 25 * time.Millisecond
	callerPatient = 5 * time.Second
	callerTold    = 4 * time.Second // the deadline that the request names
)

func newCallers(w *world) *callers {
	return &callers{world: w, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount, DisableCompression: true}}}
}

// run sends requests until ctx ends; some callers leave early.
func (c *callers) run(ctx context.Context, seed uint64) {
	var group sync.WaitGroup
	for i := range callerCount {
		r := rand.New(rand.NewPCG(seed, uint64(i)+1000))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				c.keep(c.ask(pick(r, []string{"/read/", "/order/", "/talk/", "/staged/"}), pick(r, c.world.hosts), fmt.Sprintf("%d-%d-%d", seed, i, n), patience(r)))
				time.Sleep(callerPause)
			}
		})
	}
	group.Wait()
}

// patience is how long a caller waits: most as long as they say, some less.
func patience(r *rand.Rand) time.Duration {
	if r.IntN(20) == 0 {
		return time.Duration(r.IntN(60)) * time.Millisecond
	}
	return callerPatient
}

func (c *callers) keep(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen = append(c.seen, o)
}

// ask sends one request.
func (c *callers) ask(path string, h *hostProcess, id string, patience time.Duration) outcome {
	o := outcome{id: id, path: path, host: h.settings.Name, key: "kept", at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callers().String()+path+id, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the address is one that this package made
	}
	r.Host = platformtest.Host
	r.Header = platformtest.CallerHeader(id, o.key, callerTold)
	response, err := c.client.Do(r)
	if err != nil {
		return o
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	o.status, o.body, o.whole = response.StatusCode, string(body), err == nil
	o.left = ctx.Err() != nil && patience < callerTold
	return o
}
