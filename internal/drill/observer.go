package drill

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
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
		for sleep.For(ctx, observeEvery) == nil {
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
