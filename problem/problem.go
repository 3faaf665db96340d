// Package problem defines the error responses sent to callers: RFC 9457 problem
// details, extended with a member that says whether any upstream ran the request.
package problem

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Ran says whether any upstream ran any part of a request.
type Ran string

// The values of Ran. No guarantees that no upstream ran any part of the
// request; Unknown means that an upstream may have.
const (
	No      Ran = "no"
	Yes     Ran = "yes"
	Unknown Ran = "unknown"
)

// RanHeader is the response header that repeats the member ran, on problems and
// on upstreams' answers that are passed through.
const RanHeader = "Seam-Ran"

// MediaType is the content type of a problem.
const MediaType = "application/problem+json"

// Problem is the body of a refused or failed request. It implements error.
type Problem struct {
	// Type is a stable URI reference that names the kind of problem.
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Ran       Ran    `json:"ran"`
	Cause     string `json:"cause"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter is how long the caller should wait before it retries. It is
	// sent in the header Retry-After in whole seconds, rounded up; zero omits
	// the header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose type is derived from its cause.
func New(status int, cause, detail string, ran Ran) *Problem {
	return &Problem{
		Type:   "/problems/" + cause,
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Ran:    ran,
		Cause:  cause,
	}
}

// WithRetryAfter sets how long the caller should wait before it retries, and
// returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error returns the cause and the detail.
func (p *Problem) Error() string { return p.Cause + ": " + p.Detail }

// Write sends the problem as the response to the request with the given ID. It
// leaves p unchanged.
func (p *Problem) Write(w http.ResponseWriter, requestID string) {
	out := *p
	out.RequestID = requestID
	body, err := json.Marshal(out)
	if err != nil {
		http.Error(w, http.StatusText(http.StatusInternalServerError), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", MediaType)
	header.Set("Cache-Control", "no-store")
	header.Set(RanHeader, string(p.Ran))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	// A write fails only when the caller has disconnected.
	_, _ = w.Write(body)
}
