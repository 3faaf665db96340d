package staging

import "github.com/prometheus/client_golang/prometheus"

// gathererMetrics counts the calls to stage servers.
type gathererMetrics struct {
	pieces *prometheus.HistogramVec
}

func newGathererMetrics(registerer prometheus.Registerer) *gathererMetrics {
	m := &gathererMetrics{
		pieces: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "seam_stage_call_pieces", Help: "Pieces in one call to a stage server.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}, []string{"service"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.pieces)
	}
	return m
}

// observeCall records the number of pieces in one call.
func (m *gathererMetrics) observeCall(service string, pieces int) {
	m.pieces.WithLabelValues(service).Observe(float64(pieces))
}
