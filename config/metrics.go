package config

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// The names under which metrics are registered.
const (
	metricsNamespace = "galenaseam"
	metricsSubsystem = "config"
)

// generationName names a generation in a difference.
func generationName(record Record) string { return fmt.Sprintf("generation-%d", record.Generation) }

// register registers collectors unless there is nowhere to.
func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer != nil {
		registerer.MustRegister(collectors...)
	}
}

// writerMetrics counts a Writer's decisions.
type writerMetrics struct {
	decisions *prometheus.CounterVec
}

func newWriterMetrics(registerer prometheus.Registerer) *writerMetrics {
	m := &writerMetrics{decisions: counters("changes_total", "Changes of the document by outcome.", "outcome")}
	register(registerer, m.decisions)
	return m
}

// decided counts one decision.
func (m *writerMetrics) decided(err error) { m.decisions.WithLabelValues(causeOf(err)).Inc() }

// syncerMetrics is what a Syncer tells of itself.
type syncerMetrics struct {
	generation prometheus.Gauge
	floor      prometheus.Gauge
	ready      prometheus.Gauge
	watching   prometheus.Gauge
	behind     prometheus.Gauge
	applied    prometheus.Counter
	delay      prometheus.Histogram
	refused    *prometheus.CounterVec
	failures   *prometheus.CounterVec
	storeCalls *prometheus.CounterVec
	peerCalls  *prometheus.CounterVec
}

func newSyncerMetrics(registerer prometheus.Registerer) *syncerMetrics {
	m := &syncerMetrics{
		generation: gauge("generation", "The generation in force on this host."),
		floor:      gauge("floor_generation", "The newest generation this host has heard of."),
		ready:      gauge("ready", "1 when the host has asked enough peers and serves."),
		watching:   gauge("watching", "1 when this host watches the store's head."),
		behind:     gauge("store_behind", "1 when the store's head is older than what this host serves."),
		applied: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem,
			Name: "applied_total", Help: "Generations put in force on this host."}),
		delay: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem,
			Name: "in_force_seconds", Help: "Time from acceptance to in force here, by the two hosts' clocks.",
			Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 10, 30, 120}}),
		refused:    counters("heads_refused_total", "Heads that were not followed, by cause.", "cause"),
		failures:   counters("fetch_failures_total", "Generations that could not be fetched, by where the head came from.", "from"),
		storeCalls: counters("store_calls_total", "Calls to the store, by kind.", "call"),
		peerCalls:  counters("peer_calls_total", "Calls to peers, by kind.", "call"),
	}
	register(registerer, m.generation, m.floor, m.ready, m.watching, m.behind, m.applied, m.delay,
		m.refused, m.failures, m.storeCalls, m.peerCalls)
	return m
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func counters(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, []string{label})
}
