package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/resume"
	"github.com/galenaseam/galenaseam/routing"
)

const (
	// resumeMargin is how long after its caller's deadline a stream may still be
	// resumed. It covers the way of the caller's last request.
	resumeMargin = 2 * time.Second
	// confirmTimeout bounds asking the store for changes of a service's upstreams.
	confirmTimeout = 200 * time.Millisecond
)

// sourceOneVersion is the source of a required version that no host has a record
// of, at a service that has only this one.
const sourceOneVersion = "one_version"

// resumption is what is known of the stream that a request goes on with. It is kept
// for the request's log line.
type resumption struct {
	version    string // that the stream must go on at; "" if unknown
	source     string // where the version comes from
	unanswered int    // hosts that were asked for it and did not answer
	confirmErr error  // why the store could not be asked for changes; nil if it was not needed
}

func (s *resumption) logAttrs() []slog.Attr {
	attrs := []slog.Attr{slog.String("stream_version", s.version), slog.String("version_source", s.source)}
	if s.unanswered > 0 {
		attrs = append(attrs, slog.Int("version_unanswered", s.unanswered))
	}
	if s.confirmErr != nil {
		attrs = append(attrs, slog.String("version_error", s.confirmErr.Error()))
	}
	return attrs
}

// resumesStream reports whether the caller takes up a stream that has begun.
func (x *exchange) resumesStream() bool {
	return x.route.Kind == routing.Stream && (x.request.Resumes != "" || x.request.LastEvent != call.NoEvent)
}

// requireVersion finds the software version at which a stream that the caller
// resumes must go on. It returns false and a refusal if the version is unknown or
// no upstream has it.
func (x *exchange) requireVersion() (refusal, bool) {
	if !x.resumesStream() {
		return refusal{}, true
	}
	x.resumption = x.findVersion()
	x.version = x.resumption.version
	if x.r.Context().Err() != nil {
		return refusal{reason: "caller_left", abort: true}, false
	}
	if x.hostStops() {
		return x.stopRefusal(), false
	}
	if x.version == "" {
		return x.versionRefusal("stream_version_unknown"), false
	}
	if !x.versionIsServed() {
		if x.isEvacuated() {
			return x.evacuated(), false
		}
		return x.versionRefusal("version_gone"), false
	}
	if x.request.Resumes != "" {
		x.rememberStream(x.request.Resumes)
	}
	return refusal{}, true
}

// findVersion finds the version by the stream's record, or without one by what this host
// has seen of the service. The request goes to the service that began the stream, if the
// route still has it as a target.
func (x *exchange) findVersion() *resumption {
	found := &resumption{source: resume.SourceNone}
	if x.request.Resumes != "" {
		answer := x.config.Streams.Lookup(x.ctx, x.request.Resumes)
		found.unanswered = answer.Unanswered
		if answer.Known {
			found.version, found.source = answer.Version, answer.Source
			if slices.ContainsFunc(x.route.Targets, func(t routing.Target) bool { return t.Service == answer.Service && t.Weight > 0 }) {
				x.service = answer.Service
			}
			return found
		}
	}
	if found.version, found.confirmErr = x.findOnlyVersion(found.unanswered); found.version != "" {
		found.source = sourceOneVersion
	}
	return found
}

// findOnlyVersion returns the version of a stream without a record if the service has had
// only one, else "". This host may be out of touch, so the store is asked for the upstreams
// that it does not know yet.
func (x *exchange) findOnlyVersion(unanswered int) (version string, err error) {
	if _, sure := x.onlyVersionKnown(unanswered); !sure {
		return "", nil
	}
	if err := x.confirmUpstreams(); err != nil {
		return "", err
	}
	version, _ = x.onlyVersionKnown(unanswered)
	return version, nil
}

// onlyVersionKnown is onlyVersion by what this host knows of the service.
func (x *exchange) onlyVersionKnown(unanswered int) (version string, sure bool) {
	versions, complete := x.config.Instances.Versions(x.service, time.Now().Add(-x.config.VersionMemory))
	return onlyVersion(versions, complete, unanswered)
}

// confirmUpstreams brings what this host knows of the upstreams up to date.
func (x *exchange) confirmUpstreams() error {
	ctx, cancel := context.WithTimeout(x.ctx, confirmTimeout)
	defer cancel()
	return x.config.ConfirmUpstreams(ctx)
}

// versionIsServed reports whether the service has an upstream of the required version. If
// this host knows none, it asks the store for those that have just come.
func (x *exchange) versionIsServed() bool {
	isServed := func() bool {
		return len(instance.OfVersion(x.config.Instances.Service(x.service, time.Now()), x.version)) > 0
	}
	if isServed() {
		return true
	}
	x.resumption.confirmErr = x.confirmUpstreams()
	return isServed()
}

// onlyVersion returns the version that must have begun a stream without a record: the
// only one that the service has had for as long as versions count. A host that may have
// missed others, or could not ask all hosts for the record, can't be sure.
func onlyVersion(versions []string, complete bool, unanswered int) (version string, sure bool) {
	if !complete || unanswered > 0 || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// versionRefusal refuses a request before anything runs.
func (x *exchange) versionRefusal(reason string) refusal {
	return refusal{
		status: http.StatusServiceUnavailable, reason: reason,
		retryAfter: noUpstreamRetryAfter + time.Duration(x.random.Int64N(int64(noUpstreamRetryAfter))),
	}
}

// rememberStream records the version that serves the stream for the caller's next
// tries, at this host and others. attempt is the caller's attempt that received, or
// is about to receive, the stream's first event.
func (x *exchange) rememberStream(attempt string) {
	until := x.deadline
	if callers := x.request.Arrived.Add(x.request.CallerTimeout); callers.After(until) {
		until = callers
	}
	x.config.Streams.Store(resume.Record{
		Attempt: attempt, Service: x.service, Version: x.version, TTL: time.Until(until) + resumeMargin,
	})
}

// bindVersion binds the stream to the software version of the upstream that sends
// its first event. It returns false if another version began the stream: then the
// caller must get none of the upstream's events.
func (r *race) bindVersion(s *upstreamAttempt) bool {
	if r.version == "" {
		r.version = s.chosen.Version
		if r.route.Resumable {
			r.rememberStream(r.request.ID)
		}
	}
	return s.chosen.HasVersion(r.version)
}
