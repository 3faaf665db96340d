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

// ending is how a request went.
type ending uint8

const (
	inTime ending = iota
	missed
	refusedEarly
)

// runner takes one request through its stages, as a host's request path does.
type runner struct {
	fleet  *fleet
	d      *Deployment
	place  host.Place
	plan   *plan
	ticket dispatch.Ticket
	ran    bool
	// priority is what engines are told; zero when they are told nothing.
	priority int

	// workMu guards runs, and work and wasted, the time that upstreams spent
	// on good answers and on other attempts.
	workMu sync.Mutex
	work   time.Duration
	wasted time.Duration
	// runs counts the calls that an upstream worked on.
	runs int
}

// result is what became of one request.
type result struct {
	ending ending
	took   time.Duration
	work   time.Duration
	wasted time.Duration
	// doubled says that a non-idempotent call ran twice.
	doubled bool
}

// serve runs a whole request against a host's dispatcher.
func (c *cellRun) serve(ctx context.Context, number int, p *plan) result {
	began := time.Now()
	d := c.deployment
	a := arrivalOf(d, p, began)
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	defer cancel()
	ticket, err := c.hosts[number].Admit(ctx, a)
	if err != nil {
		return result{ending: refusedEarly}
	}
	run := &runner{fleet: c.fleet, d: d, place: d.placeOf(number), plan: p, ticket: ticket}
	if c.Variant.Settings.Priorities {
		run.priority = a.Class.Priority
	}
	whole := run.stages(ctx, a)
	took := time.Since(began)
	final := dispatch.Final{Complete: whole, InTime: whole && !time.Now().After(a.Deadline)}
	ticket.Finish(final)
	r := run.result(final.InTime)
	r.took = took
	return r
}

// result sums up a request once its last stage has ended.
func (r *runner) result(good bool) result {
	r.workMu.Lock()
	defer r.workMu.Unlock()
	doubled := !r.plan.flow.Idempotent && r.runs > len(r.plan.services)
	switch {
	case good:
		return result{ending: inTime, work: r.work, wasted: r.wasted, doubled: doubled}
	case !r.ran:
		return result{ending: refusedEarly}
	}
	return result{ending: missed, wasted: r.work + r.wasted, doubled: doubled}
}

func arrivalOf(d *Deployment, p *plan, now time.Time) dispatch.Arrival {
	class := d.class(p.flow.Class)
	a := dispatch.Arrival{
		RequestID: fmt.Sprint(p.number), Workspace: p.workspace, Class: class,
		Pipeline: p.flow.Class, Idempotent: p.flow.Idempotent, InputTokens: p.flow.InputTokens,
		Prefix:   []uint64{prefixOf(p)},
		Deadline: now.Add(class.Deadline.Std()), Document: d.Document,
	}
	for _, name := range p.flow.Stages {
		s := d.stage(name)
		a.Stages = append(a.Stages, dispatch.StageNeed{
			Name: s.Name, Pool: s.Pool, Kind: s.Kind, Typical: s.Typical.Std(), Fallback: s.Fallback,
		})
	}
	return a
}

func prefixOf(p *plan) uint64 {
	return xxh3.HashString(fmt.Sprint(p.workspace, "/", p.flow.Class, "/", p.prefix))
}

func (r *runner) stages(ctx context.Context, a dispatch.Arrival) bool {
	for i := range a.Stages {
		if a.Stages[i].Fallback != nil && r.ticket.Fallback(i) {
			continue
		}
		if !r.stage(ctx, i, a.Stages[i].Kind) {
			return false
		}
	}
	return true
}

// stage tries a stage until it succeeds or the policy says no.
func (r *runner) stage(ctx context.Context, i int, kind document.Kind) bool {
	var avoid []upstream.ID
	for {
		slot, err := r.ticket.Acquire(ctx, i, avoid, nil)
		if err != nil {
			return false
		}
		r.ran = true
		failure := r.attempt(ctx, i, kind, slot, avoid)
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

// attempt runs a call, and a hedge of it when it takes long. The first answer
// cancels the other.
func (r *runner) attempt(ctx context.Context, i int, kind document.Kind, first dispatch.Slot, avoid []upstream.ID) dispatch.Failure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dispatch.Failure, 2)
	running := 1
	go func() { results <- r.call(ctx, i, kind, first) }()
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
			go func() { results <- r.call(ctx, i, kind, second) }()
		}
	}
	return last
}

// call runs one attempt and reports it.
func (r *runner) call(ctx context.Context, i int, kind document.Kind, slot dispatch.Slot) dispatch.Failure {
	ctx, cancel := context.WithDeadline(ctx, slot.Deadline())
	defer cancel()
	j := job{service: r.plan.services[i], tokens: r.plan.flow.InputTokens, class: r.plan.flow.Class}
	if kind == document.KindGenerate {
		j.prefix = prefixOf(r.plan)
		j.priority = r.priority
	}
	var out answer
	if sleep(ctx, 2*r.d.oneWay(r.place, slot.Upstream().Place)) {
		out = r.fleet.servers[slot.Upstream().ID].serve(ctx, j)
	} else {
		out.Failure = endOf(ctx)
	}
	slot.Done(out.Outcome)
	r.spend(out)
	return out.Failure
}

func (r *runner) spend(a answer) {
	r.workMu.Lock()
	defer r.workMu.Unlock()
	if a.busy > 0 {
		r.runs++
	}
	if a.Failure == dispatch.Succeeded {
		r.work += a.busy
	} else {
		r.wasted += a.busy
	}
}
