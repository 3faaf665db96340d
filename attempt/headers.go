package attempt

import (
	"net/http"
	"strconv"
)

// The headers that a call carries to an upstream. An upstream repeats the
// first three in its answer, so that an answer can be matched to its call.
const (
	HeaderRequestID = "Seam-Request-Id"
	HeaderStage     = "Seam-Stage"
	HeaderAttempt   = "Seam-Attempt"
	HeaderDeadline  = "Seam-Deadline-Ms"
)

// The headers by which an upstream tells whether it ran a call, and its load.
const (
	HeaderRan  = "Seam-Ran"
	HeaderLoad = "Seam-Load"
)

// Identity names one attempt. Its answer must carry the same one.
type Identity struct {
	RequestID string
	Stage     string
	// Attempt counts from 1 within one stage of one request on one host.
	Attempt int
}

// setOn writes the identity into a call's headers.
func (id Identity) setOn(h http.Header) {
	h.Set(HeaderRequestID, id.RequestID)
	h.Set(HeaderStage, id.Stage)
	h.Set(HeaderAttempt, strconv.Itoa(id.Attempt))
}

// matches says whether an answer's headers carry this identity.
func (id Identity) matches(h http.Header) bool {
	return h.Get(HeaderRequestID) == id.RequestID &&
		h.Get(HeaderStage) == id.Stage &&
		h.Get(HeaderAttempt) == strconv.Itoa(id.Attempt)
}
