package drill

import (
	"context"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/operator/client"
)

// observeInterval is the interval of health checks and generation checks.
const observeInterval = 200 * time.Millisecond

// generationReversals counts how often a host's generation went back, and how
// many observations were made.
type generationReversals struct {
	mu           sync.Mutex
	count        int
	observations int
}

// startObserver starts the periodic health checks and generation checks.
func (f *fleet) startObserver(ctx context.Context, group *sync.WaitGroup) {
	group.Go(func() {
		for sleep.For(ctx, observeInterval) == nil {
			f.observe(ctx)
		}
	})
}

// observe checks every host once.
func (f *fleet) observe(ctx context.Context) {
	var group sync.WaitGroup
	for _, h := range f.currentHosts() {
		group.Go(func() {
			f.probe(ctx, h)
			f.watchGeneration(ctx, h)
		})
	}
	group.Wait()
}

// watchGeneration records a host's generation and counts it if it went back. Only
// one call runs for a host at a time, because observe waits for its calls.
func (f *fleet) watchGeneration(ctx context.Context, h *entryHost) {
	status, err := client.New(client.Config{BaseURL: "http://" + h.operator, Timeout: probeTimeout}).Status(ctx)
	if err != nil {
		return
	}
	f.reversals.mu.Lock()
	defer f.reversals.mu.Unlock()
	f.reversals.observations++
	if status.Generation < h.generation.Swap(status.Generation) {
		f.reversals.count++
		f.logf("%s went back to generation %d", h.name, status.Generation)
	}
}
