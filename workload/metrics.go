package workload

import "github.com/prometheus/client_golang/prometheus"

// metrics count reports and the errors of estimates, by service: upstreams may be
// hundreds.
type metrics struct {
	reports *prometheus.CounterVec
	errors  *prometheus.HistogramVec
}

func newMetrics() *metrics {
	return &metrics{
		reports: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_upstream_load_reports_total", Help: "Reports of upstreams about their load, by service and whether they are valid.",
		}, []string{"service", "result"}),
		errors: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "seam_cost_estimate_ratio", Help: "Measured duration of a call divided by the estimated one.",
			Buckets: []float64{0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 4},
		}, []string{"service"}),
	}
}

func (m *metrics) all() []prometheus.Collector { return []prometheus.Collector{m.reports, m.errors} }

func (m *metrics) observeError(service string, ratio float64) {
	m.errors.WithLabelValues(service).Observe(ratio)
}

var (
	paceDesc = prometheus.NewDesc("seam_upstream_pace", "How long work takes relative to the usual, as reported by the upstreams of a service.",
		[]string{"service", "statistic"}, nil)
	loadDesc = prometheus.NewDesc("seam_upstream_reported_load", "Requests running and waiting, and slots, in the last reports of the upstreams of a service.",
		[]string{"service", "kind"}, nil)
)

// loadCollector collects the reported load of each service when metrics are read.
type loadCollector struct{ table *Table }

// Describe implements prometheus.Collector.
func (c *loadCollector) Describe(descs chan<- *prometheus.Desc) {
	descs <- paceDesc
	descs <- loadDesc
}

// serviceLoad is the reported load of a service.
type serviceLoad struct {
	running, waiting, slots int
	paces, maxPace          float64
	paced                   int
}

// Collect implements prometheus.Collector.
func (c *loadCollector) Collect(collected chan<- prometheus.Metric) {
	for service, l := range c.table.loads() {
		for kind, n := range map[string]int{"running": l.running, "waiting": l.waiting, "slots": l.slots} {
			collected <- prometheus.MustNewConstMetric(loadDesc, prometheus.GaugeValue, float64(n), service, kind)
		}
		if l.paced > 0 {
			collected <- prometheus.MustNewConstMetric(paceDesc, prometheus.GaugeValue, l.paces/float64(l.paced), service, "mean")
			collected <- prometheus.MustNewConstMetric(paceDesc, prometheus.GaugeValue, l.maxPace, service, "max")
		}
	}
}

// loads returns the reported load of each service that has upstreams which report one.
func (t *Table) loads() map[string]*serviceLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[string]*serviceLoad)
	for _, u := range t.upstreams {
		if u.reportedAt.IsZero() {
			continue
		}
		l := all[u.service]
		if l == nil {
			l = &serviceLoad{}
			all[u.service] = l
		}
		l.running += u.load.Running
		l.waiting += u.load.Waiting
		l.slots += u.load.Slots
		if u.pace > 0 {
			l.paces += u.pace
			l.maxPace = max(l.maxPace, u.pace)
			l.paced++
		}
	}
	return all
}
