package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/zeebo/blake3"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
)

// hashName returns a 64-bit hash of a name.
func hashName(name string) uint64 { return xxh3.HashString(name) }

const (
	// maxConfigurationWait bounds how long a request waits for the configuration that a
	// host reads at its start, also as a divisor of the caller's timeout.
	maxConfigurationWait        = time.Second
	configurationWaitShareOfAll = 4
)

// configuration returns the configuration in force, nil if there is none. A request that
// arrives while the host starts waits for it: its caller may have few retries, and all hosts
// may be starting.
func (x *exchange) configuration() *routing.Table {
	if table := x.config.Routes(); table != nil {
		return table
	}
	wait := maxConfigurationWait
	if x.request.CallerTimeout > 0 {
		wait = min(wait, x.request.CallerTimeout/configurationWaitShareOfAll)
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), wait)
	defer cancel()
	defer context.AfterFunc(x.stopped, cancel)()
	return x.config.AwaitRoutes(ctx)
}

// longAgo is a deadline that ends what a connection is waiting for.
var longAgo = time.Unix(1, 0)

// readBody reads the request's body within the size and time limits.
func (x *exchange) readBody() (refusal, bool) {
	if x.r.Body == nil || x.r.ContentLength == 0 {
		x.bodyRead = true
		return refusal{}, true
	}
	limit := x.table.Limits().MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		return refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}, false
	}
	control := http.NewResponseController(x.w)
	// If the connection does not support a read deadline, the body is read
	// without one.
	_ = control.SetReadDeadline(x.request.Arrived.Add(bodyTimeout))
	limited := http.MaxBytesReader(x.w, x.r.Body, limit)
	endReading := func() { _ = control.SetReadDeadline(longAgo) }
	x.bodyRoom.Init(x.config.Memory, memory.Body, endReading)
	keepReading := context.AfterFunc(x.stopped, endReading)
	body, err := readBodyHeld(x.r.Context(), &x.bodyRoom, x.config.Memory.Large(), limited, x.r.ContentLength, limit)
	if !keepReading() {
		// The connection can't be read any more, also if the last bytes have just arrived.
		x.w.Header().Set("Connection", "close")
		return x.stopRefusal(), false
	}
	if errors.Is(err, errNoRoom) {
		x.w.Header().Set("Connection", "close")
		if !x.bodyRoom.Evicted() {
			defer context.AfterFunc(x.stopped, endReading)()
			_ = control.SetReadDeadline(time.Now().Add(maxDiscardTime))
			discardBody(limited)
		}
	}
	if err == nil {
		x.bodyRead = true
		_ = control.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errNoRoom):
		return x.noRoom(), false
	case errors.As(err, &tooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}, false
	case err != nil:
		return refusal{reason: "body_not_read", detail: err.Error(), abort: true}, false
	}
	x.request.Body = body
	return refusal{}, true
}

// checkQuarantine refuses a request that is known to crash upstreams.
func (x *exchange) checkQuarantine() (refusal, bool) {
	x.digest = x.requestDigest()
	x.sharedParts = x.request.Prompt.SharedParts()
	if until, refused := x.partsRefused(x.ctx); refused {
		return quarantinedPart(until), false
	}
	verdict := x.config.Quarantine.Check(time.Now(), x.digest)
	x.runAlone = verdict == quarantine.RunAlone
	if verdict != quarantine.Refuse {
		return refusal{}, true
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "quarantined", retryAfter: quarantineRetryAfter}, false
}

// requestDigest hashes the parts of a request that the upstream sees, so that a
// caller's retries have the same digest.
func (x *exchange) requestDigest() quarantine.Digest {
	h := blake3.New()
	for _, part := range []string{x.request.Method, x.request.Host, x.request.Target, x.request.APIKey} {
		_, _ = h.WriteString(part) // a write to a hash never fails
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.request.Body)
	var d quarantine.Digest
	h.Sum(d[:0])
	return d
}

// planStages plans the stages of the request. A request whose stages no host can run is refused
// for good, before anything is done for it.
func (x *exchange) planStages() (refusal, bool) {
	graph, err := x.table.StageGraph(x.route)
	if err != nil {
		return refusal{status: http.StatusBadRequest, reason: "route_invalid", detail: err.Error()}, false
	}
	if graph == nil {
		return refusal{}, true
	}
	if x.stagePlan, err = staging.NewPlan(graph, x.request); err != nil {
		return refusal{status: http.StatusBadRequest, reason: "stages_invalid", detail: err.Error()}, false
	}
	return refusal{}, true
}

// runStages runs the stages that the route requires before the request itself.
func (x *exchange) runStages() (refusal, bool) {
	if x.stagePlan == nil {
		return refusal{}, true
	}
	results, err := x.runStagesUntil(x.ctx, x.startBy, x.version)
	x.stagesTook = time.Since(x.request.Arrived)
	if err == nil {
		x.replaceInputs(results)
		return refusal{}, true
	}
	if x.r.Context().Err() != nil {
		return refusal{reason: "caller_left", abort: true}, false
	}
	if x.hostStops() {
		return x.stopRefusal(), false
	}
	return refusal{
		status: http.StatusServiceUnavailable, reason: "stages_failed", detail: err.Error(),
		retryAfter: x.retryAfterOverload(err),
	}, false
}

// runStagesUntil runs the stages so that an upstream of a software version, "" for any,
// can send its first event by a time.
func (x *exchange) runStagesUntil(ctx context.Context, firstEventBy time.Time, version string) (*staging.Results, error) {
	meanResponseTime := x.config.ResponseTimes.Mean(x.service)
	return x.config.Stages.Run(ctx, staging.Work{
		Request: x.request, Plan: x.stagePlan, Deadline: firstEventBy.Add(-meanResponseTime),
		TargetTime: x.targetTime.Add(-meanResponseTime), Priority: x.priority, EngineDataCentre: x.engineDataCentre(version),
	})
}
