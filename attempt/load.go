package attempt

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// Listener hears what checked answers say of their upstreams. Implementations
// are safe for concurrent use and return at once.
type Listener interface {
	// Report records whether the upstream lives or leaves.
	Report(id upstream.ID, seen upstream.Evidence)
	// ReportLoad records the upstream's own load report. Nil models tell
	// nothing of its models.
	ReportLoad(id upstream.ID, load upstream.Load, models []string)
}

// hear passes on what an answer's headers say.
func (c *Client) hear(id upstream.ID, h http.Header, now time.Time) {
	if c.listener == nil {
		return
	}
	c.listener.Report(id, upstream.EvidenceFromHeader(h))
	if load, ok := parseLoad(h.Get(HeaderLoad), now); ok {
		c.listener.ReportLoad(id, load, nil)
	}
}

// parseLoad reads a load report such as "inflight=3,queued=1,kv=0.25". A
// report with an unknown or malformed part is ignored whole.
func parseLoad(text string, now time.Time) (upstream.Load, bool) {
	load := upstream.Load{AtUnixNano: now.UnixNano()}
	if text == "" {
		return load, false
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if !setLoad(&load, name, value) {
			return upstream.Load{}, false
		}
	}
	return load, true
}

// setLoad sets one part of a load report and says whether it could.
func setLoad(load *upstream.Load, name, value string) bool {
	switch name {
	case "inflight":
		return setCount(&load.InFlight, value)
	case "queued":
		return setCount(&load.Queued, value)
	case "kv":
		share, err := strconv.ParseFloat(value, 64)
		load.KVUseShare = share
		return err == nil && share >= 0 && share <= 1
	}
	return false
}

// setCount reads a count that is not negative.
func setCount(into *int, value string) bool {
	n, err := strconv.Atoi(value)
	*into = n
	return err == nil && n >= 0
}
