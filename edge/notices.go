package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/throttle"
	"github.com/galenaseam/galenaseam/transport"
)

// noticeMetrics counts what upstreams say about themselves in their answers.
type noticeMetrics struct {
	notices *prometheus.CounterVec
}

func newNoticeMetrics(registerer prometheus.Registerer) *noticeMetrics {
	m := &noticeMetrics{notices: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "seam_upstream_notices_total", Help: "Changes of upstreams that their answers told of, by service and kind.",
	}, []string{"service", "kind"})}
	registerer.MustRegister(m.notices)
	return m
}

func (m *noticeMetrics) count(c instance.Change) {
	if c.Source == instance.SourceAnswer {
		m.notices.WithLabelValues(c.Service, c.Kind).Inc()
	}
}

// onUpstreamAnswer records what the sender of an answer says about itself.
func (h *Host) onUpstreamAnswer(c *transport.Call, r *http.Response) {
	notice := h.platform.Codec.DecodeNotice(r)
	sender, known := c.Upstream, c.Upstream.ID != ""
	if !known || notice.WrongUpstream {
		sender, known = h.instances.ProcessAt(c.Addr, c.Upstream.ID)
	}
	if !known {
		return
	}
	now := time.Now()
	if notice.Leaving {
		h.instances.MarkLeaving(sender, now)
	}
	if notice.Pause > 0 {
		h.instances.Pause(sender, now.Add(notice.Pause), now)
	}
	h.instances.SetLimit(sender, notice.Limit, notice.Limited, now)
}

// acquireCall takes the right to send a call to an upstream that names a limit. If it is
// not granted, the upstream gets no request of this host for a while.
func (h *Host) acquireCall(ctx context.Context, c *transport.Call) bool {
	process := c.Upstream
	if process.ID == "" {
		var known bool
		if process, known = h.instances.ProcessAt(c.Addr, ""); !known {
			return true
		}
	}
	perSecond, namedAt, limited := h.instances.Limit(process)
	if !limited {
		return true
	}
	wait, granted := h.throttle.Acquire(ctx, throttle.Limit{Process: process, PerSecond: perSecond, NamedAt: namedAt})
	if !granted {
		h.instances.Throttle(process, time.Now().Add(wait))
	}
	return granted
}

// admitCall reports whether a call may be sent: not to an upstream that has asked
// this host for a pause or is at its limit.
func (h *Host) admitCall(c *transport.Call) bool {
	return !h.instances.IsPaused(c.Upstream, c.Addr, time.Now())
}
