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
	// asked for again, about a call. A host whose requests rarely use a service hears of its
	// waits too rarely.
	waitsRefreshAge = 250 * time.Millisecond
	// waitsRefreshTimeout bounds how long a request waits for them.
	waitsRefreshTimeout = 50 * time.Millisecond
	// overloadMemory is how long a service that was overloaded is asked: longer than bursts.
	overloadMemory = 10 * time.Second
)

// waitsRequest is the input of staging.Waits.
type waitsRequest struct {
	Service string `cbor:"1,keyasint"`
}

// drawGuaranteed decides whether a request is of the guaranteed share.
func (r *Runner) drawGuaranteed(w Work, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shares.draw(classOf(w.Priority), now)
}

// recordServed counts a request whose stages ran, or that was refused for lack of capacity.
func (r *Runner) recordServed(err error, now time.Time) {
	f := AsFailure(err)
	if err != nil && (f == nil || f.Reason != call.PieceOverload && f.Reason != call.PieceDeadlineExceeded) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shares.record(err == nil, now)
}

// recordWaits stores what the gatherer of a service reported.
func (r *Runner) recordWaits(service string, got gatherReply, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queueWaits[service] = queueWait{QueueWaits: QueueWaits{
		InTime: got.Wait, Late: max(got.Wait, got.LateWait), Overloaded: got.Overloaded, ByClass: got.WaitByClass,
	}, pausedFor: got.PausedFor, at: now, asked: now}
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
		if own {
			continue
		}
		asking.Go(func() error {
			got, err := link.CallTyped[waitsRequest, gatherReply](ctx, r.config.Caller, owner.LinkAddr, waitsMethod, waitsRequest{Service: s.Service})
			if err == nil {
				r.recordWaits(s.Service, got, time.Now())
			}
			return nil // without an answer, the request is admitted
		})
	}
	_ = asking.Wait()
}

// beginRefresh reports whether the waits of a service have to be asked for, and records that
// they are.
func (r *Runner) beginRefresh(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.queueWaits[service]
	if !w.Overloaded || now.Sub(w.asked) < waitsRefreshAge || now.Sub(w.at) > overloadMemory {
		return false
	}
	w.asked = now
	r.queueWaits[service] = w
	return true
}

// refuseOverPath returns the failure of a request that is refused because of all stages on
// its path, nil if it is admitted.
func (r *Runner) refuseOverPath(w Work, g *graph, now time.Time) error {
	a := admission{class: classOf(w.Priority), guaranteed: w.guaranteed, arrived: w.Request.Arrived, now: now, target: w.TargetTime, deadline: w.Deadline}
	for i, s := range g.stages {
		waits, known := r.recentQueueWaits(s.Service, now)
		a.stages = append(a.stages, pathStage{
			dependsOn: s.DependsOn, empty: g.pieces[i] == 0, time: r.stageTime(g, i), known: known, waits: waits,
		})
	}
	refused, refuse := a.decide()
	if !refuse {
		return nil
	}
	service := g.stages[refused.stage].Service
	r.config.Gatherer.metrics.countRefused(service, w.Priority, refused.reason, "arrival")
	return r.newFailure(refused.stage, service, call.PieceOverload, refused.wait)
}
