// Package metrics holds the host's request metrics: histograms by class and
// workspace, refusals by cause, and the state of the host.
package metrics

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/request"
)

// OtherTenant is the value of the label tenant for workspaces without their own
// series. Only workspaces marked large in the document have their own, so that the
// number of series stays bounded for any number of workspaces.
const OtherTenant = "other"

// maxTenants bounds the number of workspaces with their own series.
const maxTenants = 100

// requestBuckets are the upper bounds of the time histograms, in seconds.
var requestBuckets = []float64{.005, .01, .025, .05, .1, .25, .5, .75, 1, 1.5, 2, 3, 4, 5, 7.5, 10, 30, 60}

// Metrics holds the collectors. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	tenants  atomic.Pointer[tenants]
	requests *prometheus.HistogramVec
	stages   *prometheus.HistogramVec
	ended    *prometheus.CounterVec
	inTime   *prometheus.CounterVec
	refused  *prometheus.CounterVec
	tokens   *prometheus.CounterVec
	inFlight prometheus.Gauge
	ready    prometheus.Gauge
}

// tenants holds the names of the workspaces with their own series.
type tenants struct {
	named map[string]struct{}
}

// New creates the collectors and registers them, along with those of the Go
// runtime and the process.
func New() *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: newHistogram("request_seconds", "Time from arrival to the end of a request.", "class", "tenant", "target"),
		stages:   newHistogram("stage_seconds", "Time of one stage with its attempts.", "stage", "class"),
		ended:    newCounter("requests_total", "Requests that ended, by cause; ok is a whole answer.", "class", "tenant", "cause"),
		inTime:   newCounter("requests_in_time_total", "Requests answered whole before their deadline.", "class", "tenant"),
		refused:  newCounter("refusals_total", "Requests refused before any stage, by cause.", "cause"),
		tokens:   newCounter("tokens_total", "Tokens, by direction.", "class", "direction"),
		inFlight: newGauge("requests_in_flight", "Callers' requests that are being served."),
		ready:    newGauge("ready", "1 when the host takes new work."),
	}
	m.tenants.Store(&tenants{})
	m.registry.MustRegister(
		m.requests, m.stages, m.ended, m.inTime, m.refused, m.tokens, m.inFlight, m.ready,
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// namespace is the prefix of the names of all metrics here.
const namespace = "galenaseam"

func newHistogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help, Buckets: requestBuckets,
	}, labels)
}

func newCounter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

// Registry returns the registry, in which other packages register their collectors
// and from which the operators' interface gathers.
func (m *Metrics) Registry() *prometheus.Registry { return m.registry }

// Configure sets which workspaces have their own series: those marked large in the
// document, up to maxTenants.
func (m *Metrics) Configure(doc *document.Document) {
	next := &tenants{named: make(map[string]struct{})}
	for _, w := range doc.Workspaces {
		if w.Large && len(next.named) < maxTenants {
			next.named[w.Name] = struct{}{}
		}
	}
	m.tenants.Store(next)
}

// Tenant returns the value of the label tenant for a workspace.
func (m *Metrics) Tenant(workspace string) string {
	if _, ok := m.tenants.Load().named[workspace]; ok {
		return workspace
	}
	return OtherTenant
}

// Observe records the result of a request.
func (m *Metrics) Observe(o request.Observation) {
	tenant := m.Tenant(o.Workspace)
	m.requests.WithLabelValues(o.Class, tenant, o.Target).Observe(o.Took.Seconds())
	m.ended.WithLabelValues(o.Class, tenant, o.Cause).Inc()
	if o.InTime {
		m.inTime.WithLabelValues(o.Class, tenant).Inc()
	}
	for _, s := range o.Stages {
		if !s.Skipped {
			m.stages.WithLabelValues(s.Stage, o.Class).Observe(s.Took.Seconds())
		}
	}
	m.tokens.WithLabelValues(o.Class, "input").Add(float64(o.Usage.InputTokens))
	m.tokens.WithLabelValues(o.Class, "output").Add(float64(o.Usage.OutputTokens))
}

// CountRefusal counts a request that was refused before any stage.
func (m *Metrics) CountRefusal(cause string) { m.refused.WithLabelValues(cause).Inc() }

// WatchWrongAnswers exports a count of the answers that were discarded because
// they did not belong to their call.
func (m *Metrics) WatchWrongAnswers(count func() int64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Namespace: namespace, Name: "wrong_answers_total",
		Help: "Answers of upstreams that did not belong to their call, and were discarded.",
	}, func() float64 { return float64(count()) }))
}

// SetReady sets whether the host accepts new work.
func (m *Metrics) SetReady(ready bool) {
	value := 0.0
	if ready {
		value = 1
	}
	m.ready.Set(value)
}

// TrackInFlight counts a request as in flight until the returned function is called.
func (m *Metrics) TrackInFlight() func() {
	m.inFlight.Inc()
	return m.inFlight.Dec
}
