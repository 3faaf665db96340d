package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts what callers got.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tries    *prometheus.CounterVec
}

// NewMetrics registers the gateway's metrics; registerer may be nil.
func NewMetrics(registerer prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_requests_total", Help: "Requests by route and outcome.",
		}, []string{"route", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "seam_request_seconds", Help: "Time to the end of the answer, by workspace.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 11),
		}, []string{"workspace"}),
		tries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_upstream_tries_total", Help: "Sendings to upstreams by service and outcome.",
		}, []string{"service", "outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.tries)
	}
	return m
}

func (m *Metrics) request(route, workspace, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(workspace).Observe(took.Seconds())
}

func (m *Metrics) try(service, outcome string) { m.tries.WithLabelValues(service, outcome).Inc() }
