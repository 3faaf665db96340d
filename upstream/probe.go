package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
)

// StateHeader is the response header in which an upstream reports its own state.
const StateHeader = "Seam-Upstream-State"

// stateLeaving is the value of StateHeader when the upstream is leaving.
const stateLeaving = "leaving"

// maxDrainedBytes limits how much of a probe's response body is read so that its
// connection can be reused.
const maxDrainedBytes = 4 << 10

// Prober checks whether an upstream is alive.
type Prober interface {
	// Probe makes one cheap call without side effects and returns its evidence.
	Probe(ctx context.Context, up Upstream) Evidence
}

// HTTPProber probes with GET requests. An answer with any status shows that the
// upstream is alive.
type HTTPProber struct {
	Client *http.Client
	// Path is the path to request, for example /healthz.
	Path string
}

// Probe makes one request.
func (p HTTPProber) Probe(ctx context.Context, up Upstream) Evidence {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Addr.String()+p.Path, nil)
	if err != nil {
		return ConnectionLost
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return EvidenceFromError(err)
	}
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainedBytes)
	_ = response.Body.Close()
	return EvidenceFromHeader(response.Header)
}

// EvidenceFromHeader returns the evidence in the header of an answer.
func EvidenceFromHeader(header http.Header) Evidence {
	if header.Get(StateHeader) == stateLeaving {
		return ReportedLeaving
	}
	return Answered
}

// EvidenceFromError returns the evidence from a failed call.
func EvidenceFromError(err error) Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return RefusedConnection
	}
	return ConnectionLost
}
