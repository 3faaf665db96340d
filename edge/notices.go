package edge

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/instance"
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
	if notice.Leaving {
		h.instances.MarkLeaving(sender)
	}
	now := time.Now()
	if notice.Pause > 0 {
		h.instances.Pause(sender, now.Add(notice.Pause), now)
	}
	h.instances.SetLimit(sender, notice.Limit, notice.Limited, now)
}

// admitCall reports whether a call may be sent: not to an upstream that has asked
// this host for a pause.
func (h *Host) admitCall(c *transport.Call) bool {
	return !h.instances.IsPaused(c.Upstream, c.Addr, time.Now())
}
