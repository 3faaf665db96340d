package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/transport"
)

// evacuationMetric tells which data centres are evacuated. It implements
// prometheus.Collector.
type evacuationMetric struct {
	instances *instance.Table
	evacuated *prometheus.Desc
}

func newEvacuationMetric(instances *instance.Table) *evacuationMetric {
	return &evacuationMetric{instances: instances, evacuated: prometheus.NewDesc(
		"seam_data_centre_evacuated", "1 while the operators evacuate the data centre, otherwise 0.", []string{"data_centre"}, nil)}
}

// Describe implements prometheus.Collector.
func (m *evacuationMetric) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- m.evacuated
}

// Collect implements prometheus.Collector.
func (m *evacuationMetric) Collect(metrics chan<- prometheus.Metric) {
	for dc, evacuated := range m.instances.DataCentres() {
		value := 0.0
		if evacuated {
			value = 1
		}
		metric, err := prometheus.NewConstMetric(m.evacuated, prometheus.GaugeValue, value, string(dc))
		if err != nil {
			continue // the name is not valid UTF-8
		}
		metrics <- metric
	}
}

// onEvacuation logs that an evacuation has begun or ended.
func (h *Host) onEvacuation(c instance.Change) {
	h.logger.Info("data centre "+c.Kind, "data_centre", string(c.DataCentre), "upstreams", c.Upstreams, "in_flight", c.InFlight)
}

// isEvacuated reports whether a call must not be sent because the upstream's data centre is
// evacuated. Calls that take no slot serve work that has run there already.
func (h *Host) isEvacuated(c *transport.Call) bool {
	return !c.TakesNoSlot && h.instances.IsCallEvacuated(c.Upstream, c.Addr)
}
