package upstream

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type tableMetrics struct {
	upstreams       *prometheus.GaugeVec
	pollErrors      prometheus.Counter
	probes          prometheus.Counter
	malformedClaims prometheus.Counter
}

func newTableMetrics(registerer prometheus.Registerer) *tableMetrics {
	factory := promauto.With(registerer)
	return &tableMetrics{
		upstreams: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenaseam_upstreams",
			Help: "Known upstreams, by state.",
		}, []string{"state"}),
		pollErrors: factory.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_upstream_list_errors_total",
			Help: "Reads of the host list that failed.",
		}),
		probes: factory.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_upstream_probes_total",
			Help: "Probes made.",
		}),
		malformedClaims: factory.NewCounter(prometheus.CounterOpts{
			Name: "galenaseam_upstream_malformed_claims_total",
			Help: "Claims of other hosts that could not be read.",
		}),
	}
}
