package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/upstream"
	"github.com/zeebo/xxh3"
)

// outcome is how a request ended for its caller.
type outcome uint8

const (
	inTime outcome = iota
	missed
	refusedEarly
)

// requestRun runs one request through its stages, as a host's request path does.
type requestRun struct {
	upstreams  *upstreamSet
	deployment *Deployment
	place      host.Place
	request    *plannedRequest
	ticket     dispatch.Ticket
	attempted  bool
	// priority is sent to engines; zero if none is sent.
	priority int

	// workMu guards the fields below. work is the time that upstreams spent on
	// successful attempts, and wasted the time they spent on other attempts.
	workMu sync.Mutex
	work   time.Duration
	wasted time.Duration
	// callsServed counts the calls that an upstream spent time on.
	callsServed int
}

// result is the outcome of one request and what it cost.
type result struct {
	outcome outcome
	latency time.Duration
	work    time.Duration
	wasted  time.Duration
	// ranTwice reports that more calls of a non-idempotent request ran than it has
	// stages.
	ranTwice bool
}

// serve runs a request on a host's dispatcher, from admission to its end.
func (c *cellRun) serve(ctx context.Context, hostIndex int, p *plannedRequest) result {
	began := time.Now()
	d := c.deployment
	a := newArrival(d, p, began)
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	ticket, err := c.hosts[hostIndex].Admit(ctx, a)
	if err != nil {
		return result{outcome: refusedEarly}
	}
	run := &requestRun{upstreams: c.upstreams, deployment: d, place: d.hostPlace(hostIndex), request: p, ticket: ticket}
	if c.Variant.Settings.Priorities {
		run.priority = a.Class.Priority
	}
	complete := run.runStages(ctx, a)
	latency := time.Since(began)
	final := dispatch.Result{Complete: complete, InTime: complete && !time.Now().After(a.Deadline)}
	ticket.Finish(final)
	r := run.result(final.InTime)
	r.latency = latency
	return r
}

// result summarizes a request after its last stage.
func (r *requestRun) result(inTimeAnswer bool) result {
	r.workMu.Lock()
	defer r.workMu.Unlock()
	ranTwice := !r.request.flow.Idempotent && r.callsServed > len(r.request.serviceTimes)
	switch {
	case inTimeAnswer:
		return result{outcome: inTime, work: r.work, wasted: r.wasted, ranTwice: ranTwice}
	case !r.attempted:
		return result{outcome: refusedEarly}
	}
	return result{outcome: missed, wasted: r.work + r.wasted, ranTwice: ranTwice}
}

func newArrival(d *Deployment, p *plannedRequest, now time.Time) dispatch.Arrival {
	class := d.class(p.flow.Class)
	a := dispatch.Arrival{
		RequestID: fmt.Sprint(p.id), Workspace: p.workspace, Class: class,
		Pipeline: p.flow.Class, Idempotent: p.flow.Idempotent, InputTokens: p.flow.InputTokens,
		Prefix:   []uint64{prefixHash(p)},
		Deadline: now.Add(class.Deadline.Std()), Document: d.Document,
	}
	for _, name := range p.flow.Stages {
		s := d.stage(name)
		a.Stages = append(a.Stages, dispatch.StageNeed{
			Name: s.Name, Pool: s.Pool, Kind: s.Kind, Typical: s.TypicalDuration.Std(), Fallback: s.Fallback,
		})
	}
	return a
}

func prefixHash(p *plannedRequest) uint64 {
	return xxh3.HashString(fmt.Sprint(p.workspace, "/", p.flow.Class, "/", p.prefix))
}

func (r *requestRun) runStages(ctx context.Context, a dispatch.Arrival) bool {
	for i := range a.Stages {
		if a.Stages[i].Fallback != nil && r.ticket.Fallback(i) {
			continue
		}
		if !r.runStage(ctx, i, a.Stages[i].Kind) {
			return false
		}
	}
	return true
}

// runStage repeats a stage until it succeeds or the policy allows no retry.
func (r *requestRun) runStage(ctx context.Context, i int, kind document.Kind) bool {
	var avoid []upstream.ID
	for {
		slot, err := r.ticket.Acquire(ctx, i, avoid, nil)
		if err != nil {
			return false
		}
		r.attempted = true
		failure := r.runHedged(ctx, i, kind, slot, avoid)
		if failure == dispatch.Succeeded {
			return true
		}
		avoid = append(avoid, slot.Upstream().ID)
		wait, ok := r.ticket.MayRetry(i, failure)
		if !ok || !sleep(ctx, wait) {
			return false
		}
	}
}

// runHedged runs an attempt, and a hedge if it takes longer than the hedge delay.
// The first success cancels the other attempt.
func (r *requestRun) runHedged(ctx context.Context, i int, kind document.Kind, first dispatch.Slot, avoid []upstream.ID) dispatch.Failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dispatch.Failure, 2)
	running := 1
	go func() { results <- r.runAttempt(ctx, i, kind, first) }()
	var hedge <-chan time.Time
	if delay, ok := r.ticket.HedgeDelay(i); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	var last dispatch.Failure
	for running > 0 {
		select {
		case last = <-results:
			running--
			if last == dispatch.Succeeded {
				return last
			}
		case <-hedge:
			hedge = nil
			second, err := r.ticket.Acquire(ctx, i, avoid, first)
			if err != nil {
				continue
			}
			running++
			go func() { results <- r.runAttempt(ctx, i, kind, second) }()
		}
	}
	return last
}

// runAttempt runs one attempt and reports its outcome to the slot.
func (r *requestRun) runAttempt(ctx context.Context, i int, kind document.Kind, slot dispatch.Slot) dispatch.Failure {
	ctx, cancel := context.WithDeadline(ctx, slot.Deadline())
	defer cancel()
	j := job{serviceTime: r.request.serviceTimes[i], tokens: r.request.flow.InputTokens, class: r.request.flow.Class}
	if kind == document.KindGenerate {
		j.prefix = prefixHash(r.request)
		j.priority = r.priority
	}
	var out callResult
	if sleep(ctx, 2*r.deployment.oneWayLatency(r.place, slot.Upstream().Place)) {
		out = r.upstreams.servers[slot.Upstream().ID].serve(ctx, j)
	} else {
		out.Failure = contextFailure(ctx)
	}
	slot.Done(out.Outcome)
	r.addWork(out)
	return out.Failure
}

func (r *requestRun) addWork(a callResult) {
	r.workMu.Lock()
	defer r.workMu.Unlock()
	if a.busyTime > 0 {
		r.callsServed++
	}
	if a.Failure == dispatch.Succeeded {
		r.work += a.busyTime
	} else {
		r.wasted += a.busyTime
	}
}
