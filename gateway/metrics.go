package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics counts requests and attempts by outcome.
type Metrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	attempts *prometheus.CounterVec
	aborted  *prometheus.CounterVec
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
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_upstream_tries_total", Help: "Sendings to upstreams by service and outcome.",
		}, []string{"service", "outcome"}),
		aborted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_requests_aborted_total", Help: "Requests whose connection was closed without a complete answer, by route and outcome.",
		}, []string{"route", "outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.requests, m.latency, m.attempts, m.aborted)
	}
	return m
}

func (m *Metrics) observeRequest(route, workspace, outcome string, took time.Duration) {
	m.requests.WithLabelValues(route, outcome).Inc()
	m.latency.WithLabelValues(workspace).Observe(took.Seconds())
}

func (m *Metrics) countAttempt(service, outcome string) {
	m.attempts.WithLabelValues(service, outcome).Inc()
}

func (m *Metrics) countAborted(route, outcome string) {
	m.aborted.WithLabelValues(route, outcome).Inc()
}
