package attempt

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/upstream"
)

// UpstreamReporter receives what the headers of answers report about their upstreams.
// Implementations must be safe for concurrent use and must not block.
type UpstreamReporter interface {
	// Report records whether the upstream is alive or leaving.
	Report(id upstream.ID, seen upstream.Evidence)
	// ReportLoad records the upstream's own load report. If models is nil, the
	// report says nothing about its models.
	ReportLoad(id upstream.ID, load upstream.Load, models []string)
}

// reportState passes the state and load in an answer's headers to the reporter.
func (c *Client) reportState(id upstream.ID, h http.Header, now time.Time) {
	if c.reporter == nil {
		return
	}
	c.reporter.Report(id, upstream.EvidenceFromHeader(h))
	if load, ok := parseLoad(h.Get(HeaderLoad), now); ok {
		c.reporter.ReportLoad(id, load, nil)
	}
}

// parseLoad parses a load report such as "inflight=3,queued=1,kv=0.25". It
// rejects the whole report if a part is unknown or malformed.
func parseLoad(text string, now time.Time) (upstream.Load, bool) {
	load := upstream.Load{AtUnixNano: now.UnixNano()}
	if text == "" {
		return load, false
	}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(part, "=")
		if !setLoadField(&load, name, value) {
			return upstream.Load{}, false
		}
	}
	return load, true
}

// setLoadField sets one field of a load report. It returns false if the name is
// unknown or the value is malformed.
func setLoadField(load *upstream.Load, name, value string) bool {
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

// setCount parses a count, which must not be negative.
func setCount(into *int, value string) bool {
	n, err := strconv.Atoi(value)
	*into = n
	return err == nil && n >= 0
}
