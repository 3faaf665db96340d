package placement

import "github.com/prometheus/client_golang/prometheus"

// metrics are kept by the host that chooses the engines of a service.
type metrics struct {
	holders *prometheus.HistogramVec
	reread  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	m := &metrics{
		holders: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "seam_prompt_segment_engines", Help: "Engines that hold the shared segment of a prompt, counted for each prompt by the host that chooses its engine.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}, []string{"service"}),
		reread: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_prompt_tokens_reread_total", Help: "Tokens of shared segments that were read although another engine had them, as estimated by the host that chooses the engines.",
		}, []string{"service"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.holders, m.reread)
	}
	return m
}

// observer returns a function that records the placements of a service.
func (m *metrics) observer(service string) func(holders, reread int) {
	histogram, counter := m.holders.WithLabelValues(service), m.reread.WithLabelValues(service)
	return func(holders, reread int) {
		if holders > 0 {
			histogram.Observe(float64(holders))
		}
		counter.Add(float64(reread))
	}
}
