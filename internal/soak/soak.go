package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Parts of a run.
const (
	settleTime  = 2 * time.Second
	faultGap    = 250 * time.Millisecond
	faultTracks = 2 // series of faults that overlap
	recovery    = 6 * time.Second
	// servedAfter is the part of requests after the recovery that must be
	// served: all but those that meet the end of a drain.
	servedAfter = 0.95
)

// Run plays one seed for a length of faults. It returns what was done and every
// promise that was broken.
func Run(binary, dir string, seed uint64, length time.Duration) (done, broken []string, err error) {
	w, err := newWorld(binary, dir)
	if err != nil {
		return nil, nil, err
	}
	defer w.close()
	time.Sleep(settleTime)
	c := newCallers(w)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { c.run(ctx, seed) })
	done, broken = w.inject(seed, length)
	w.calm()
	time.Sleep(recovery)
	calmFrom := time.Now()
	time.Sleep(settleTime)
	stop()
	group.Wait()
	time.Sleep(settleTime)
	return done, append(broken, w.check(c.seen, calmFrom)...), nil
}

// inject plays series of faults beside each other, each on hosts of its own
// draw.
func (w *world) inject(seed uint64, length time.Duration) (done, broken []string) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var signals sync.Mutex // one signal series at a time: a host is restarted by one
	until := time.Now().Add(length)
	for track := range faultTracks {
		r := rand.New(rand.NewPCG(seed, uint64(track)))
		group.Go(func() {
			for time.Now().Before(until) {
				kind := r.IntN(len(faults))
				if kind < 4 {
					signals.Lock()
				}
				what, err := faults[kind](w, r)
				if kind < 4 {
					signals.Unlock()
				}
				mu.Lock()
				done = append(done, what)
				if err != nil {
					broken = append(broken, err.Error())
				}
				mu.Unlock()
				time.Sleep(faultGap)
			}
		})
	}
	group.Wait()
	return done, broken
}

// check compares what callers saw with what upstreams ran.
func (w *world) check(seen []outcome, calmFrom time.Time) (broken []string) {
	runs := make(map[string]int)
	for _, u := range w.upstreams {
		for _, run := range u.Runs() {
			runs[run.RequestID]++
			if run.Workspace() != platformtest.Workspace || run.Body != "body of "+run.RequestID {
				broken = append(broken, fmt.Sprintf("%s ran %s changed", u.ID, run.RequestID))
			}
		}
	}
	calm, served := 0, 0
	for _, o := range seen {
		broken = append(broken, w.checkOne(o, runs[o.id])...)
		if o.at.After(calmFrom) && o.status != 0 && !o.left {
			calm++
			if o.status == 200 && o.whole {
				served++
			}
		}
	}
	if calm == 0 || float64(served) < servedAfter*float64(calm) {
		broken = append(broken, fmt.Sprintf("after the faults %d of %d requests were served", served, calm))
	}
	return broken
}

// checkOne checks the promises to one caller.
func (w *world) checkOne(o outcome, runs int) (broken []string) {
	say := func(what string) {
		broken = append(broken, fmt.Sprintf("%s %s at %s: %s (status %d, %d runs)", o.path, o.id, o.host, what, o.status, runs))
	}
	mayRepeat := o.path == "/read/" || o.path == "/talk/"
	if !mayRepeat && runs > 1 {
		say("ran more than once")
	}
	if !mayRepeat && (o.status == 503 || o.status == 429) && runs > 0 {
		say("was refused as not run, and ran")
	}
	if o.status == 401 || o.status == 404 {
		say("was denied though its key and route were never taken away")
	}
	if o.status == 200 && o.whole && !w.isAnswer(o) {
		say("got an answer that is not its own whole one: " + o.body)
	}
	return broken
}

// isAnswer says whether a body is what an upstream answers to the request.
func (w *world) isAnswer(o outcome) bool {
	if o.path == "/talk/" || o.path == "/staged/" {
		var whole strings.Builder
		for i := range eventCount {
			fmt.Fprintf(&whole, "id: %d\ndata: event %d\n\n", i, i)
		}
		return o.body == whole.String()
	}
	for _, u := range w.upstreams {
		if o.body == u.Body(o.id) {
			return true
		}
	}
	return false
}
