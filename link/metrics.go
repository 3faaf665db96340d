package link

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Causes of refused connections, used as metric labels.
const (
	refusedUnauthenticated = "unauthenticated"
	refusedBroken          = "broken"
	refusedFull            = "full"
)

type serverMetrics struct {
	connections prometheus.Gauge
	refused     *prometheus.CounterVec
	calls       *prometheus.HistogramVec
}

func newServerMetrics(registerer prometheus.Registerer) *serverMetrics {
	factory := promauto.With(registerer)
	return &serverMetrics{
		connections: factory.NewGauge(prometheus.GaugeOpts{
			Name: "galenaseam_link_connections",
			Help: "Open connections from other hosts.",
		}),
		refused: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_link_refused_connections_total",
			Help: "Connections refused, by cause.",
		}, []string{"cause"}),
		calls: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "galenaseam_link_served_call_seconds",
			Help:    "Time to serve a call of another host, by result.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 4, 8),
		}, []string{"result"}),
	}
}

func (m *serverMetrics) observe(err error, took time.Duration) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.calls.WithLabelValues(result).Observe(took.Seconds())
}
