package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/quarantine"
)

// partsRefused reports whether the request must not be sent to an upstream because of
// a part of its prompt, and until when. It waits while the evidence against a part
// settles, until ctx ends at the latest.
func (x *exchange) partsRefused(ctx context.Context) (until time.Time, refused bool) {
	v := x.config.Parts.Await(ctx, x.sharedParts)
	return v.Until, v.Decision == quarantine.PartsRefused
}

// partsCondemned reports whether a part of the prompt is condemned now.
func (x *exchange) partsCondemned() bool {
	return len(x.sharedParts) > 0 && x.config.Parts.Check(x.sharedParts).Decision == quarantine.PartsRefused
}

// quarantinedPart refuses a request with a part that is condemned until a time.
func quarantinedPart(until time.Time) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: "part_quarantined", retryAfter: time.Until(until)}
}

// recordSoundAnswer records that an upstream has answered the request, for a while at
// least, and did not crash.
func (x *exchange) recordSoundAnswer() {
	if len(x.sharedParts) > 0 && !x.soundAnswer {
		x.soundAnswer = true
		x.config.Parts.Answered(x.sharedParts)
	}
}
