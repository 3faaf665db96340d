package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/blake3"
	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/quarantine"
	"github.com/galenaseam/galenaseam/staging"
)

// hash places a name on a ring of 64 bits.
func hash(name string) uint64 { return xxh3.HashString(name) }

// readBody reads the request's body within the limits.
func (x *exchange) readBody() (refusal, bool) {
	if x.r.Body == nil || x.r.ContentLength == 0 {
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
	// A connection that takes no deadline is read without one.
	_ = control.SetReadDeadline(x.request.Arrived.Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}, false
	case err != nil:
		return refusal{reason: "body_not_read", detail: err.Error(), hangUp: true}, false
	}
	x.request.Body = body
	return refusal{}, true
}

// screen asks whether the request is known to crash upstreams.
func (x *exchange) screen() (refusal, bool) {
	x.digest = x.digestOf()
	verdict := x.config.Quarantine.Check(time.Now(), x.digest)
	x.alone = verdict == quarantine.RunAlone
	if verdict != quarantine.Refuse {
		return refusal{}, true
	}
	return refusal{status: http.StatusServiceUnavailable, reason: "quarantined", pause: quarantinePause}, false
}

// digestOf names a request by what its upstream gets to see. Retries of a
// caller have the same.
func (x *exchange) digestOf() quarantine.Digest {
	h := blake3.New()
	for _, part := range []string{x.request.Method, x.request.Host, x.request.Target, x.request.APIKey} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(x.request.Body)
	var d quarantine.Digest
	h.Sum(d[:0])
	return d
}

// redoStages has the stages done once more, when there is time for it.
func (x *exchange) redoStages() bool {
	if x.redone || time.Until(x.startBy) < x.stagesIn/2 {
		return false
	}
	x.redone = true
	x.freeInputs()
	_, done := x.runStages()
	return done
}

// runStages has the work done that must come first.
func (x *exchange) runStages() (refusal, bool) {
	if len(x.route.Stages) == 0 {
		return refusal{}, true
	}
	pace := x.config.Paces.Mean(x.service)
	results, err := x.config.Stages.Run(x.ctx, staging.Work{
		Request: x.request, Stages: x.route.Stages, Deadline: x.startBy.Add(-pace), TargetTime: x.aim.Add(-pace), Priority: x.priority,
		Home: x.home(),
	})
	x.stagesIn = time.Since(x.request.Arrived)
	if err == nil {
		x.inputs = results
		return refusal{}, true
	}
	if x.r.Context().Err() != nil {
		return refusal{reason: "caller_left", hangUp: true}, false
	}
	return refusal{
		status: http.StatusServiceUnavailable, reason: "stages_failed", detail: err.Error(),
		pause: x.pauseAfterOverload(err),
	}, false
}
