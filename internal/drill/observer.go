package drill

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/operator/client"
)

// observeEvery is how often the balancer and the observer look at hosts.
const observeEvery = 200 * time.Millisecond

// reversals counts the times that a host's generation went back.
type reversals struct {
	mu    sync.Mutex
	count int
	looks int
}

// startObserver keeps the balancer's view and watches the generations.
func (f *fleet) startObserver(ctx context.Context, running *sync.WaitGroup) {
	running.Go(func() {
		for pause(ctx, observeEvery) == nil {
			f.observe(ctx)
		}
	})
}

// observe looks at every host once.
func (f *fleet) observe(ctx context.Context) {
	var looking sync.WaitGroup
	for _, h := range f.living() {
		looking.Go(func() {
			f.probe(ctx, h)
			f.watchGeneration(ctx, h)
		})
	}
	looking.Wait()
}

// watchGeneration notes a host's generation and whether it went back. Only the
// observer calls it, so looks at one host come one after another.
func (f *fleet) watchGeneration(ctx context.Context, h *entryHost) {
	status, err := client.New(client.Config{Base: "http://" + h.operator, Timeout: probeTimeout}).Status(ctx)
	if err != nil {
		return
	}
	f.reversals.mu.Lock()
	defer f.reversals.mu.Unlock()
	f.reversals.looks++
	if status.Generation < h.generation.Swap(status.Generation) {
		f.reversals.count++
		f.say("%s went back to generation %d", h.name, status.Generation)
	}
}

// usage is what a host process uses.
type usage struct {
	goroutines int
	bytes      int64
}

// measureIdle notes what each host uses before the load.
func (f *fleet) measureIdle(ctx context.Context) {
	for _, h := range f.living() {
		h.idle = f.measure(ctx, h)
	}
}

// measure returns what a host uses now; goroutines are 0 when it gives no
// answer.
func (f *fleet) measure(ctx context.Context, h *entryHost) usage {
	ctx, cancel := context.WithTimeout(ctx, callPatience)
	defer cancel()
	used := usage{bytes: h.residentBytes()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operator+"/debug/pprof/goroutine?debug=1", nil)
	if err != nil {
		return used
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return used
	}
	defer resp.Body.Close()
	line, _ := bufio.NewReader(resp.Body).ReadString('\n') // the count is on the first line
	total := line[strings.LastIndex(line, " ")+1:]
	used.goroutines, _ = strconv.Atoi(strings.TrimSpace(total))
	return used
}
