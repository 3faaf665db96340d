package staging

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/link"
)

const (
	// waitsRefreshAge is the age from which the waits of a service that was overloaded are
	// asked for again, about the duration of a call. The replies to a host whose requests
	// rarely use a service are too old.
	waitsRefreshAge = 250 * time.Millisecond
	// waitsRefreshTimeout bounds how long a request waits for them.
	waitsRefreshTimeout = 50 * time.Millisecond
	// overloadMemory is how long a service that was overloaded is asked: longer than bursts.
	overloadMemory = 10 * time.Second
)

// waitsRequest is the input of staging.Waits.
type waitsRequest struct {
	Service string `cbor:"1,keyasint"`
	// Refused is the pieces that the host has refused since it last asked, by class.
	Refused []float64 `cbor:"2,keyasint,omitempty"`
}

// recordServed counts a request whose stages ran, or that was refused for lack of capacity.
func (r *Runner) recordServed(w Work, err error, now time.Time) {
	f := AsFailure(err)
	if err != nil && (f == nil || f.Reason != call.PieceOverload && f.Reason != call.PieceDeadlineExceeded) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares.record(classOf(w.Priority), err == nil, now)
}

// recordWaits stores what the gatherer of a service reported.
func (r *Runner) recordWaits(service string, got gatherReply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueWaits[service] = queueWait{QueueWaits: QueueWaits{
		InTime: got.Wait, Late: max(got.Wait, got.LateWait), Overloaded: got.Overloaded, ByClass: got.ByClass, LaterByClass: got.LaterByClass, FitByClass: got.FitByClass,
	}, pausedFor: got.PausedFor, at: now, asked: r.queueWaits[service].asked}
}

// refreshWaits asks the gatherers of a request's services that were overloaded for their
// waits, if these are not recent. Each gatherer is asked once in waitsRefreshAge at most.
func (r *Runner) refreshWaits(ctx context.Context, g *graph) {
	ctx, cancel := context.WithTimeout(ctx, waitsRefreshTimeout)
	defer cancel()
	var asking errgroup.Group
	for i, s := range g.stages {
		if g.pieces[i] == 0 || !r.beginRefresh(s.Service, time.Now()) {
			continue
		}
		owner, own := r.config.Owners.Owner(s.Service, time.Now())
		refused := r.takeRefused(s.Service)
		if own {
			r.config.Gatherer.NoteRefused(s.Service, refused)
			continue
		}
		asking.Go(func() error {
			got, err := link.CallTyped[waitsRequest, gatherReply](ctx, r.config.Caller, owner.LinkAddr, waitsMethod, waitsRequest{Service: s.Service, Refused: refused})
			if err == nil {
				r.recordWaits(s.Service, got, time.Now())
			}
			return nil // without an answer, the request is admitted
		})
	}
	_ = asking.Wait()
}

// beginRefresh reports whether the waits of a service have to be asked for, because those of an
// overload are old or because refused work has to be reported, and records that they are.
func (r *Runner) beginRefresh(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.queueWaits[service]
	_, refused := r.refused[service]
	age := now.Sub(w.at)
	old := w.Overloaded && age >= waitsRefreshAge && age <= overloadMemory
	if !refused && !old || now.Sub(w.asked) < waitsRefreshAge {
		return false
	}
	w.asked = now
	r.queueWaits[service] = w
	return true
}

// admitOverPath returns the failure of a request that is refused because of all stages on its
// path, nil if it is admitted. guaranteed is true if it would be refused but is of the share
// that its class is guaranteed.
func (r *Runner) admitOverPath(w Work, g *graph, now time.Time) (guaranteed bool, failure error) {
	a := admission{class: classOf(w.Priority), arrived: w.Request.Arrived, now: now, target: w.TargetTime, deadline: w.Deadline, order: g.graph.Order()}
	for i, s := range g.stages {
		waits, known := r.recentQueueWaits(s.Service, now)
		a.stages = append(a.stages, pathStage{
			dependsOn: g.graph.Inputs(i), empty: g.pieces[i] == 0, time: r.fullBatchTime(s.Service), known: known, waits: waits,
		})
	}
	a.draw = r.drawFit(a.class)
	refused, refuse := a.decide()
	if !refuse {
		return false, nil
	}
	if r.drawGuaranteed(a.class, now) {
		a.class = 0
		if refused, refuse = a.decide(); !refuse {
			return true, nil
		}
	}
	r.recordRefused(a.class, g)
	service := g.stages[refused.stage].Service
	r.config.Gatherer.metrics.countRefused(service, w.Priority, refused.reason, "arrival")
	return false, r.newFailure(refused.stage, service, call.PieceOverload, refused.wait)
}

// fullBatchTime returns how long a group of a service runs under overload: calls are then full,
// and the pieces of a group that is larger than a call run in several calls at the same time.
func (r *Runner) fullBatchTime(service string) time.Duration {
	described, known := r.config.Service(service)
	if !known || described.Stages == nil {
		return 0
	}
	return described.Stages.FullBatchTime()
}

// recordRefused counts the pieces of a request that is refused.
func (r *Runner) recordRefused(class int, g *graph) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range g.stages {
		if g.pieces[i] == 0 {
			continue
		}
		if r.refused[s.Service] == nil {
			r.refused[s.Service] = make([]float64, maxClasses)
		}
		r.refused[s.Service][class] += float64(g.pieces[i])
	}
}

// takeRefused returns the pieces refused since the last report, for the next one.
func (r *Runner) takeRefused(service string) []float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := r.refused[service]
	delete(r.refused, service)
	return refused
}

// drawFit returns the position of a request, from 0 to 1, among those of its class.
func (r *Runner) drawFit(class int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.next(class)
}

// drawGuaranteed decides whether a request that would be refused is of the guaranteed share.
func (r *Runner) drawGuaranteed(class int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.draw(class, now)
}
