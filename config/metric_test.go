package config

import (
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// metricValue returns the value of a gauge or counter.
func metricValue(metric prometheus.Metric) float64 {
	var read dto.Metric
	if err := metric.Write(&read); err != nil {
		return -1
	}
	return read.GetGauge().GetValue() + read.GetCounter().GetValue()
}
