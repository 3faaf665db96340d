package attempt

import (
	"net/http"
	"strconv"
)

// Request headers of a call to an upstream. The upstream repeats the first three
// in its answer, so that the answer can be matched to its call.
const (
	HeaderRequestID = "Seam-Request-Id"
	HeaderStage     = "Seam-Stage"
	HeaderAttempt   = "Seam-Attempt"
	HeaderDeadline  = "Seam-Deadline-Ms"
)

// Response headers in which an upstream reports whether it ran the call, and its
// load.
const (
	HeaderRan  = "Seam-Ran"
	HeaderLoad = "Seam-Load"
)

// Identity identifies one attempt. The answer must carry the same identity.
type Identity struct {
	RequestID string
	Stage     string
	// Attempt counts from 1 within one stage of one request on one host.
	Attempt int
}

// setHeaders writes the identity into a call's headers.
func (id Identity) setHeaders(h http.Header) {
	h.Set(HeaderRequestID, id.RequestID)
	h.Set(HeaderStage, id.Stage)
	h.Set(HeaderAttempt, strconv.Itoa(id.Attempt))
}

// matches reports whether an answer's headers carry this identity.
func (id Identity) matches(h http.Header) bool {
	return h.Get(HeaderRequestID) == id.RequestID &&
		h.Get(HeaderStage) == id.Stage &&
		h.Get(HeaderAttempt) == strconv.Itoa(id.Attempt)
}
