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
	hostCount = 12
	// quickShare and longShare are shares of the arrivals; the rest are orders.
	quickShare = 0.60
	longShare  = 0.25
	// calibrationRate is the arrival rate per second at which the mean engine time
	// is measured, low enough that engines are mostly idle.
	calibrationRate = 12.0
	calibrationTime = 4 * time.Second
)

// Options describes a measurement.
type Options struct {
	Deployment dev.Deployment
	Variant    experiment.Variant
	// Load is the arrival rate as a share of capacity.
	Load    float64
	Seed    uint64
	Warmup  time.Duration
	Measure time.Duration
}

// Count counts how the requests of one kind ended.
type Count struct {
	Offered, InTime int
	// NotRun counts the requests refused with "ran: no".
	NotRun int
}

// Result is the result of a measurement.
type Result struct {
	Options Options
	// Capacity is the request rate per second that fully loads the engines.
	Capacity float64
	Quick    Count
	Long     Count
	Order    Count
}

// run is the state of a measurement.
type run struct {
	options Options
	mix     trafficMix
	fleet   *dev.Fleet
	client  *http.Client
	rand    *rand.Rand

	// resultMu guards result and engineTimes.
	resultMu    sync.Mutex
	result      Result
	engineTimes durationMean
}

// Run starts a fleet, measures its capacity, puts it under load, and stops it.
func Run(ctx context.Context, o Options) (*Result, error) {
	text, err := overloadDocument(o.Deployment)
	if err != nil {
		return nil, err
	}
	fleet, err := dev.Start(dev.Options{
		Deployment: o.Deployment, Document: text, Hosts: hostCount, Seed: o.Seed, Pace: engineSlowdown,
		Policy: o.Variant.Settings, Logger: discardLogger(), Out: io.Discard,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- fleet.Run(ctx) }()
	r := &run{
		options: o, mix: trafficMixOf(o.Deployment), fleet: fleet, rand: rand.New(rand.NewPCG(o.Seed, 2)),
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
	if err := r.sendLoad(ctx, calibrationRate, 0, calibrationTime); err != nil {
		return err
	}
	mean := r.engineTimes.mean()
	if mean == 0 {
		return fmt.Errorf("no answer with an engine time during calibration")
	}
	slots := float64(r.mix.engines * engineSlots)
	r.result.Capacity = slots / mean.Seconds() / (quickShare + longShare)
	return r.sendLoad(ctx, r.options.Load*r.result.Capacity, r.options.Warmup, r.options.Measure)
}

// sendLoad sends requests at their planned times, whether or not earlier ones have
// ended (open loop). It counts those that arrive after the warm-up and before the
// end, and keeps sending until they have ended.
func (r *run) sendLoad(ctx context.Context, rate float64, warmup, measure time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var counted, uncounted sync.WaitGroup
	defer uncounted.Wait()
	defer cancel()
	began := time.Now()
	var at time.Duration
	countedDone := make(chan struct{})
	ending := false
	for {
		at += time.Duration(r.rand.ExpFloat64() / rate * float64(time.Second))
		if at > warmup+measure && !ending {
			ending = true
			go func() {
				counted.Wait()
				close(countedDone)
			}()
		}
		select {
		case <-time.After(at - time.Since(began)):
		case <-countedDone:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		q := r.nextQuery()
		if at < warmup || ending {
			uncounted.Go(func() { r.send(ctx, q) })
			continue
		}
		counted.Go(func() { r.recordReply(q, r.send(ctx, q), warmup > 0) })
	}
}

// recordReply counts a reply, or during calibration adds its engine time to the
// mean.
func (r *run) recordReply(q query, a reply, measured bool) {
	r.resultMu.Lock()
	defer r.resultMu.Unlock()
	if !measured {
		r.engineTimes.add(a.engineTime)
		return
	}
	c := q.counter(&r.result)
	c.Offered++
	switch {
	case a.succeeded && a.latency <= q.deadline:
		c.InTime++
	case !a.succeeded && a.ran == problem.No:
		c.NotRun++
	}
}

// durationMean accumulates the mean of positive durations.
type durationMean struct {
	sum time.Duration
	n   int
}

func (t *durationMean) add(d time.Duration) {
	if d > 0 {
		t.sum += d
		t.n++
	}
}

func (t *durationMean) mean() time.Duration { return t.sum / time.Duration(max(t.n, 1)) }
