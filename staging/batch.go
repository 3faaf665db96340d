package staging

import (
	"context"
	"log/slog"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/routing"
)

// slowdownSmoothing is the weight of the newest call in a server's moving
// average of slowdown.
const slowdownSmoothing = 0.3

// batchCall is one call to a stage server. It carries a batch of pieces,
// possibly of several groups.
type batchCall struct {
	service  *serviceState
	server   instance.Status
	spec     *routing.StageServer
	parts    []batchPart
	use      *instance.Use // nil if the server left just before the call
	bytes    int64         // memory that the results will take
	started  time.Time
	expected time.Duration // duration without queueing or slowdown
	pace     float64       // of the server when the call began
	// retriesPaid is true if the retries of the pieces were taken from the retry budget
	// when the call was ended.
	retriesPaid bool
	// answerLost is true if the call was ended because its server was idle.
	answerLost bool
	// room is the memory of a call of more than the usual size.
	room *memory.Holder
}

// start sends a batch to a server. The caller holds mu.
func (g *Gatherer) start(s *serviceState, server instance.Status, spec *routing.StageServer, parts []batchPart, now time.Time) {
	b := &batchCall{service: s, server: server, spec: spec, parts: parts, started: now, room: newHolder(g.config.Memory)}
	if bytes := sentBytes(parts); bytes > unaccountedCallBytes && !b.room.TryGrow(bytes, now) {
		s.putBack(parts)
		s.paused[server.ID] = now.Add(refusalPause)
		return
	}
	var pieces []call.Piece
	for _, part := range parts {
		w := part.item
		b.bytes += int64(len(part.pieces)) * w.ResultBytes
		for _, index := range part.pieces {
			pieces = append(pieces, call.Piece{
				RequestID: w.RequestID, Stage: w.Stage, Index: index,
				Remaining: w.deadline.Sub(now), Key: w.Key, Inputs: w.Inputs,
			})
		}
	}
	b.expected = callTime(spec, len(pieces))
	s.noteStart(b, now)
	s.running[server.ID]++
	s.memory.reserve(server.ID, b.bytes)
	b.use, _ = g.config.Servers.Begin(server.ID, 0)
	g.metrics.observeCall(s.name, len(pieces))
	timeout := timeoutFactor*b.expected + timeoutSlack
	go g.run(b, pieces, timeout)
}

// run makes the call, processes its results and dispatches the next batches.
func (g *Gatherer) run(b *batchCall, pieces []call.Piece, timeout time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	go g.superviseCall(ctx, cancel, b, timeout)
	results, outcome, notRun, err := g.config.Caller.RunPieces(ctx, b.server.Entry, pieces)
	cancel()
	b.room.Free()
	now := time.Now()
	took := now.Sub(b.started)
	b.use.End(outcome, took, now)
	if err != nil {
		level := slog.LevelWarn
		if notSent(outcome, notRun) {
			level = slog.LevelDebug
		}
		g.config.Logger.Log(context.Background(), level, "stage call failed", "service", b.service.name, "upstream", string(b.server.ID),
			"addr", b.server.Addr.String(), "pieces", len(pieces), "took_ms", took.Milliseconds(),
			"outcome", outcome.String(), "not_run", notRun, "error", err.Error())
	}
	g.mu.Lock()
	s := b.service
	if s.running[b.server.ID]--; s.running[b.server.ID] <= 0 {
		delete(s.running, b.server.ID)
	}
	var callbacks []func()
	if err != nil {
		callbacks = g.failBatch(b, outcome, notRun, now)
	} else {
		callbacks = g.completeBatch(b, results, now)
	}
	callbacks = append(callbacks, g.dispatch(s, now)...)
	g.mu.Unlock()
	runAll(callbacks)
}

// putBack queues the pieces of a call that was not sent.
func (s *serviceState) putBack(parts []batchPart) {
	for _, part := range parts {
		if len(part.item.waiting) == 0 {
			s.queue.push(part.item)
		}
		part.item.waiting = append(part.item.waiting, part.pieces...)
	}
}

// failBatch requeues the pieces of a failed call, or fails their groups.
func (g *Gatherer) failBatch(b *batchCall, outcome instance.Outcome, notRun bool, now time.Time) (callbacks []func()) {
	s := b.service
	if outcome == instance.Broke && !notRun {
		// The server may still be working. The handles of its results never
		// arrived, so nobody can free them before they expire.
		made := b.started.Add(b.expected)
		if b.answerLost {
			made = now // at the latest: a slow server took longer than expected
		}
		s.memory.abandon(b.server.ID, b.bytes, made.Add(b.spec.ResultTTL))
	} else {
		s.memory.release(b.server.ID, b.bytes)
	}
	if notRun {
		s.paused[b.server.ID] = now.Add(refusalPause)
	}
	reason := call.PieceError
	if notSent(outcome, notRun) {
		reason = call.PiecePaused
	}
	for _, part := range b.parts {
		callbacks = append(callbacks, g.requeueOrFail(s, part.item, part.pieces, reason, b.retriesPaid, now)...)
	}
	return callbacks
}

// notSent reports whether a call was not sent because its server may get none now.
func notSent(outcome instance.Outcome, notRun bool) bool {
	return outcome == instance.Abandoned && notRun
}

// completeBatch processes the results of a call that returned.
func (g *Gatherer) completeBatch(b *batchCall, results []call.PieceResult, now time.Time) (callbacks []func()) {
	s := b.service
	if len(b.parts) > 0 && s.running[b.server.ID] == 0 {
		s.observeCall(b, now)
	}
	next := 0
	s.pieceRate.add(float64(len(results)))
	s.byteRate.add(float64(b.bytes))
	for _, part := range b.parts {
		w := part.item
		var failed []int
		reason := call.PieceError
		for _, index := range part.pieces {
			result := results[next]
			next++
			if result.Failure != call.PieceDone {
				s.memory.release(b.server.ID, w.ResultBytes)
				failed, reason = append(failed, index), result.Failure
				continue
			}
			s.memory.commit(result.Handle, b.server.ID, w.ResultBytes, now, b.spec.ResultTTL)
			if w.ended {
				g.queueFree(result.Handle)
				continue
			}
			result.DataCentre = b.server.DataCentre
			w.results[index] = result
			w.unfinished--
		}
		if reason == call.PieceNoMemory {
			s.noteMemoryShortage(b.server.ID, b.spec, now)
		}
		if len(failed) > 0 {
			g.config.Logger.Warn("pieces failed", "request", w.RequestID, "service", s.name, "stage", w.Stage,
				"upstream", string(b.server.ID), "pieces", len(failed), "reason", reason.String())
			callbacks = append(callbacks, g.requeueOrFail(s, w, failed, reason, false, now)...)
		} else if w.unfinished == 0 {
			callbacks = append(callbacks, w.end(call.PieceDone))
		}
	}
	return callbacks
}

// requeueOrFail puts failed pieces back into the queue if another attempt can
// help and the retry budget allows it, or paid is true. Otherwise it fails the group.
func (g *Gatherer) requeueOrFail(s *serviceState, w *workItem, pieces []int, reason call.PieceFailure, paid bool, now time.Time) []func() {
	if w.ended {
		return nil
	}
	retry := false
	switch reason {
	case call.PiecePaused:
		retry = true
	case call.PieceNoMemory:
		// No work was done: the server had less free memory than was assumed.
		w.refusals++
		retry = w.refusals <= maxRefusals
	case call.PieceError:
		w.retries++
		retry = w.retries <= maxRetries && (paid || g.config.Retries.AllowRetries(s.name, len(pieces), 1, now))
	}
	if !retry {
		g.freeResults(w)
		return []func(){w.end(reason)}
	}
	if len(w.waiting) == 0 {
		s.queue.push(w)
	}
	w.waiting = append(w.waiting, pieces...)
	return nil
}

// freeResults frees the results that a group already has.
func (g *Gatherer) freeResults(w *workItem) {
	for _, r := range w.results {
		if r.Handle != "" {
			g.queueFree(r.Handle)
		}
	}
}

// Free frees results. Handles are collected for a short time so that one
// request to a server frees several results.
func (g *Gatherer) Free(handles []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, handle := range handles {
		g.queueFree(handle)
	}
}

// queueFree adds a handle to the next request that frees results. The caller
// holds mu.
func (g *Gatherer) queueFree(handle string) {
	g.pendingFrees = append(g.pendingFrees, handle)
	if len(g.pendingFrees) == 1 {
		time.AfterFunc(freeInterval, g.sendFrees)
	}
}

// sendFrees frees the collected results on their servers and stops counting
// their memory. Results on a paused server wait for the end of the pause. If this
// host does not track them, they are not freed, and expire on the server.
func (g *Gatherer) sendFrees() {
	g.mu.Lock()
	handles := g.holdPausedFrees(g.pendingFrees, time.Now())
	g.pendingFrees = nil
	g.mu.Unlock()
	if len(handles) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	if err := g.config.Caller.FreeResults(ctx, handles); err != nil {
		g.config.Logger.Warn("failed to free results", "results", len(handles), "error", err.Error())
	}
	now := time.Now()
	g.mu.Lock()
	for _, s := range g.services {
		for _, handle := range handles {
			s.memory.free(handle, now)
		}
	}
	g.mu.Unlock()
	g.tick(now)
}

// freeTimeout bounds a request that frees results. Results that are not freed
// expire on their server.
const freeTimeout = time.Second
