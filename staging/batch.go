package staging

import (
	"context"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
)

// paceWeight is the weight of the newest call in a server's pace.
const paceWeight = 0.3

// batchCall is one call to a stage server.
type batchCall struct {
	service  *gathering
	server   instance.Status
	spec     *routing.StageServer
	shares   []share
	use      *instance.Use // nil if the server left just before the call
	bytes    int64
	started  time.Time
	expected time.Duration
}

// start sends a batch. The caller holds mu.
func (g *Gatherer) start(s *gathering, server instance.Status, spec *routing.StageServer, shares []share, now time.Time) {
	b := &batchCall{service: s, server: server, spec: spec, shares: shares, started: now}
	var pieces []call.Piece
	for _, share := range shares {
		w := share.work
		b.bytes += int64(len(share.pieces)) * w.ResultBytes
		for _, index := range share.pieces {
			pieces = append(pieces, call.Piece{
				RequestID: w.RequestID, Stage: w.Stage, Index: index,
				Remaining: w.deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
			})
		}
	}
	b.expected = spec.CallTime + time.Duration(len(pieces))*spec.PieceTime
	s.running[server.ID]++
	s.room.reserve(server.ID, b.bytes)
	b.use, _ = g.config.Servers.Begin(server.ID, 0)
	g.metrics.call(s.name, len(pieces))
	timeout := slowFactor*b.expected + slowSlack
	go g.run(b, pieces, timeout)
}

// run makes the call and takes in its results.
func (g *Gatherer) run(b *batchCall, pieces []call.Piece, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	results, outcome, notRun, err := g.config.Caller.RunPieces(ctx, b.server.Entry, pieces)
	cancel()
	now := time.Now()
	took := now.Sub(b.started)
	b.use.End(outcome, took, now)
	if err != nil {
		g.config.Logger.Warn("stage call failed", "service", b.service.name, "upstream", string(b.server.ID),
			"addr", b.server.Addr.String(), "pieces", len(pieces), "took_ms", took.Milliseconds(),
			"outcome", outcome.String(), "not_run", notRun, "error", err.Error())
	}
	g.mu.Lock()
	s := b.service
	if s.running[b.server.ID]--; s.running[b.server.ID] <= 0 {
		delete(s.running, b.server.ID)
	}
	var ended []func()
	if err != nil {
		ended = g.failBatch(b, outcome, notRun, now)
	} else {
		ended = g.settleBatch(b, results, now)
	}
	ended = append(ended, g.pump(s, now)...)
	g.mu.Unlock()
	runAll(ended)
}

// failBatch sends the pieces of a failed call again, or fails their groups.
func (g *Gatherer) failBatch(b *batchCall, outcome instance.Outcome, notRun bool, now time.Time) (ended []func()) {
	s := b.service
	if outcome == instance.Broke && !notRun {
		// The server may work on. Nobody can name its results to free them.
		s.room.lose(b.server.ID, b.bytes, b.started.Add(b.expected+b.spec.KeepResults))
	} else {
		s.room.release(b.server.ID, b.bytes)
	}
	if notRun {
		s.paused[b.server.ID] = now.Add(fullPause)
	}
	for _, share := range b.shares {
		ended = append(ended, g.again(s, share.work, share.pieces, call.PieceError, now)...)
	}
	return ended
}

// settleBatch takes in the results of a call.
func (g *Gatherer) settleBatch(b *batchCall, results []call.PieceResult, now time.Time) (ended []func()) {
	s := b.service
	if len(b.shares) > 0 && s.running[b.server.ID] == 0 {
		pace := float64(now.Sub(b.started)) / float64(b.expected)
		s.pace[b.server.ID] = s.paceOf(b.server.ID) + paceWeight*(pace-s.paceOf(b.server.ID))
	}
	at := 0
	s.drain.done(float64(len(results)))
	s.bytes.done(float64(b.bytes))
	for _, share := range b.shares {
		w := share.work
		var failed []int
		reason := call.PieceError
		for _, index := range share.pieces {
			result := results[at]
			at++
			if result.Failure != call.PieceDone {
				s.room.release(b.server.ID, w.ResultBytes)
				failed, reason = append(failed, index), result.Failure
				continue
			}
			s.room.keep(result.Handle, b.server.ID, w.ResultBytes, now, b.spec.KeepResults)
			if w.ended {
				g.freeLater(result.Handle)
				continue
			}
			result.DataCentre = b.server.DataCentre
			w.results[index] = result
			w.open--
		}
		if reason == call.PieceNoRoom {
			s.doubt(b.server.ID, b.spec, now)
		}
		if len(failed) > 0 {
			g.config.Logger.Warn("pieces failed", "request", w.RequestID, "service", s.name, "stage", w.Stage,
				"upstream", string(b.server.ID), "pieces", len(failed), "reason", reason.String())
			ended = append(ended, g.again(s, w, failed, reason, now)...)
		} else if w.open == 0 {
			ended = append(ended, w.end(call.PieceDone))
		}
	}
	return ended
}

// again queues pieces once more when that can help and the budget allows it,
// and fails the group otherwise.
func (g *Gatherer) again(s *gathering, w *work, pieces []int, reason call.PieceFailure, now time.Time) []func() {
	if w.ended {
		return nil
	}
	mayGoAgain := false
	switch reason {
	case call.PieceNoRoom:
		// Nothing was run; the server was taken for emptier than it is.
		w.refusals++
		mayGoAgain = w.refusals <= maxRefusals
	case call.PieceError:
		w.tries++
		mayGoAgain = w.tries <= maxTries && g.config.Retries.AllowRetries(s.name, len(pieces), 1, now)
	}
	if !mayGoAgain {
		g.freeResults(w)
		return []func(){w.end(reason)}
	}
	if len(w.waiting) == 0 {
		s.queue.push(w)
	}
	w.waiting = append(w.waiting, pieces...)
	return nil
}

// freeResults gives up what a failed group already has.
func (g *Gatherer) freeResults(w *work) {
	for _, r := range w.results {
		if r.Handle != "" {
			g.freeLater(r.Handle)
		}
	}
}

// Free gives results up. Their makers are told soon, several at a time.
func (g *Gatherer) Free(handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, handle := range handles {
		g.freeLater(handle)
	}
}

// freeLater has a result named in the next call to its maker. The caller holds
// mu.
func (g *Gatherer) freeLater(handle string) {
	g.freeing = append(g.freeing, handle)
	if len(g.freeing) == 1 {
		time.AfterFunc(freeInterval, g.sendFrees)
	}
}

func (g *Gatherer) sendFrees() {
	g.mu.Lock()
	handles := g.freeing
	g.freeing = nil
	g.mu.Unlock()
	if len(handles) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := g.config.Caller.FreeResults(ctx, handles); err != nil {
		g.config.Logger.Warn("results not given up", "results", len(handles), "error", err.Error())
	}
	now := time.Now()
	g.mu.Lock()
	for _, s := range g.services {
		for _, handle := range handles {
			s.room.give(handle, now)
		}
	}
	g.mu.Unlock()
	g.tick(now)
}

// freeTimeout bounds giving up results, which then end by themselves.
const freeTimeout = time.Second
