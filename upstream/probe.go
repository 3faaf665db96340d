package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
)

// StateHeader is the header in which an upstream tells its own state.
const StateHeader = "Seam-Upstream-State"

// stateLeaving is the header's value when the upstream is leaving.
const stateLeaving = "leaving"

// drainedBytes is how much of a probe's answer is read to keep its connection.
const drainedBytes = 4 << 10

// Prober asks an upstream whether it is there.
type Prober interface {
	// Probe returns what one small harmless call saw.
	Probe(ctx context.Context, up Upstream) Evidence
}

// HTTPProber probes with GET requests. Any answer at all shows life.
type HTTPProber struct {
	Client *http.Client
	// Path is the path to get, for example /healthz.
	Path string
}

// Probe makes one request.
func (p HTTPProber) Probe(ctx context.Context, up Upstream) Evidence {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+up.Addr.String()+p.Path, nil)
	if err != nil {
		return Lost
	}
	response, err := p.Client.Do(request)
	if err != nil {
		return EvidenceOfError(err)
	}
	_, _ = io.CopyN(io.Discard, response.Body, drainedBytes)
	_ = response.Body.Close()
	return EvidenceOfHeader(response.Header)
}

// EvidenceOfHeader returns what an answer's header tells.
func EvidenceOfHeader(header http.Header) Evidence {
	if header.Get(StateHeader) == stateLeaving {
		return SaidLeaving
	}
	return Answered
}

// EvidenceOfError returns what a failed call tells.
func EvidenceOfError(err error) Evidence {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return RefusedConnection
	}
	return Lost
}
