// Package problem is the errors that callers see: RFC 9457 problem details
// with a member that says whether anything ran.
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

// The three answers to whether a request ran. No is a promise.
const (
	No      Ran = "no"
	Yes     Ran = "yes"
	Unknown Ran = "unknown"
)

// RanHeader repeats the member ran, on problems and on passed-through answers.
const RanHeader = "Seam-Ran"

// MediaType is the content type of a problem.
const MediaType = "application/problem+json"

// Problem is one refusal or failure. It is an error.
type Problem struct {
	// Type is a stable URI reference that names the kind of problem.
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Ran       Ran    `json:"ran"`
	Cause     string `json:"cause"`
	RequestID string `json:"request_id,omitempty"`
	// RetryAfter tells the caller when to come back; it goes into the header
	// Retry-After in whole seconds, rounded up.
	RetryAfter time.Duration `json:"-"`
}

// New makes a problem whose type is derived from its cause.
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

// WithRetryAfter sets when the caller should come back and returns p.
func (p *Problem) WithRetryAfter(d time.Duration) *Problem {
	p.RetryAfter = d
	return p
}

// Error makes a Problem an error.
func (p *Problem) Error() string { return p.Cause + ": " + p.Detail }

// Write sends the problem as the whole answer.
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
	// A write error means that the caller has gone.
	_, _ = w.Write(body)
}
