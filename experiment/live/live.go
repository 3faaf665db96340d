package live

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/experiment"
	"github.com/galenaseam/galenaseam/internal/dev"
	"github.com/galenaseam/galenaseam/problem"
)

const (
	hosts = 12
	// quickShare and longShare are parts of the arrivals; the rest are orders.
	quickShare = 0.60
	longShare  = 0.25
	// restRate is the arrivals a second while the engines' time is learned.
	restRate = 12.0
	restFor  = 4 * time.Second
)

// Options says what to measure.
type Options struct {
	Deployment dev.Deployment
	Variant    experiment.Variant
	// Load is the arrivals in shares of capacity.
	Load    float64
	Seed    uint64
	Warmup  time.Duration
	Measure time.Duration
}

// Count is what one kind of request got.
type Count struct {
	Offered, InTime int
	// NotRun were refused with "ran: no".
	NotRun int
}

// Result is what a run gave.
type Result struct {
	Options Options
	// Capacity is the requests a second that fill the engines.
	Capacity float64
	Quick    Count
	Long     Count
	Order    Count
}

// run is a fleet under load.
type run struct {
	options Options
	mix     mix
	fleet   *dev.Fleet
	client  *http.Client
	rand    *rand.Rand

	// countMu guards result and answers.
	countMu sync.Mutex
	result  Result
	answers answerTimes
}

// Run starts a fleet, learns its capacity, puts it under load, and ends it.
func Run(ctx context.Context, o Options) (*Result, error) {
	text, err := documentOf(o.Deployment)
	if err != nil {
		return nil, err
	}
	fleet, err := dev.Start(dev.Options{
		Deployment: o.Deployment, Document: text, Hosts: hosts, Seed: o.Seed, Pace: pace,
		Policy: o.Variant.Settings, Logger: discard(), Out: io.Discard,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- fleet.Run(ctx) }()
	r := &run{
		options: o, mix: mixOf(o.Deployment), fleet: fleet, rand: rand.New(rand.NewPCG(o.Seed, 2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		result: Result{Options: o},
	}
	err = r.measure(ctx)
	cancel()
	if ended := <-done; err == nil {
		err = ended
	}
	r.client.CloseIdleConnections()
	return &r.result, err
}

func (r *run) measure(ctx context.Context) error {
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	if err := r.load(ctx, restRate, 0, restFor); err != nil {
		return err
	}
	mean := r.answers.mean()
	if mean == 0 {
		return fmt.Errorf("no answer while the engines were at rest")
	}
	slots := float64(r.mix.engines * engineSlots)
	r.result.Capacity = slots / mean.Seconds() / (quickShare + longShare)
	return r.load(ctx, r.options.Load*r.result.Capacity, r.options.Warmup, r.options.Measure)
}

// load sends requests at their times, whether or not earlier ones ended, and
// counts those that arrive after the warm-up. It goes on until those ended.
func (r *run) load(ctx context.Context, rate float64, warmup, measure time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted, others sync.WaitGroup
	defer others.Wait()
	defer cancel()
	began := time.Now()
	var at time.Duration
	end := make(chan struct{})
	closing := false
	for {
		at += time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
		if at > warmup+measure && !closing {
			closing = true
			go func() {
				counted.Wait()
				close(end)
			}()
		}
		select {
		case <-time.After(at - time.Since(began)):
		case <-end:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		q := r.draw()
		if at < warmup || closing {
			others.Go(func() { r.ask(ctx, q) })
			continue
		}
		counted.Go(func() { r.count(q, r.ask(ctx, q), warmup > 0) })
	}
}

// count adds up an answer, and learns the engines' time from those at rest.
func (r *run) count(q query, a reply, measured bool) {
	r.countMu.Lock()
	defer r.countMu.Unlock()
	if !measured {
		r.answers.add(a.engine)
		return
	}
	c := q.counter(&r.result)
	c.Offered++
	switch {
	case a.ok && a.took <= q.deadline:
		c.InTime++
	case !a.ok && a.ran == problem.No:
		c.NotRun++
	}
}

// answerTimes is the mean time of engine calls.
type answerTimes struct {
	sum time.Duration
	n   int
}

func (t *answerTimes) add(d time.Duration) {
	if d > 0 {
		t.sum += d
		t.n++
	}
}

func (t *answerTimes) mean() time.Duration { return t.sum / time.Duration(max(t.n, 1)) }
