package planner

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of a Runner.
type metrics struct {
	leading prometheus.Gauge
	orders  *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer, group string) *metrics {
	labels := prometheus.Labels{"group": group}
	m := &metrics{
		leading: prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "galenaseam", Subsystem: "planner",
			Name: "leading", Help: "1 when this host plans for the group.", ConstLabels: labels}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "galenaseam", Subsystem: "planner",
			Name: "orders_total", Help: "Orders to engines by outcome.", ConstLabels: labels}, []string{"outcome"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.leading, m.orders)
	}
	return m
}

// countOrder counts one order by its outcome.
func (m *metrics) countOrder(err error) {
	outcome := "taken"
	switch {
	case errors.Is(err, ErrStaleOrder):
		outcome = "refused_stale"
	case err != nil:
		outcome = "failed"
	}
	m.orders.WithLabelValues(outcome).Inc()
}
