package config

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
)

// Namespace and subsystem of the metrics.
const (
	metricsNamespace = "galenaseam"
	metricsSubsystem = "config"
)

// generationName labels a generation in a diff.
func generationName(record Record) string { return fmt.Sprintf("generation-%d", record.Generation) }

// register registers collectors if there is a registerer.
func register(registerer prometheus.Registerer, collectors ...prometheus.Collector) {
	if registerer != nil {
		registerer.MustRegister(collectors...)
	}
}

// writerMetrics counts the outcomes of changes.
type writerMetrics struct {
	outcomes *prometheus.CounterVec
}

func newWriterMetrics(registerer prometheus.Registerer) *writerMetrics {
	m := &writerMetrics{outcomes: newCounterVec("changes_total", "Changes of the document by outcome.", "outcome")}
	register(registerer, m.outcomes)
	return m
}

// countOutcome counts one outcome.
func (m *writerMetrics) countOutcome(err error) { m.outcomes.WithLabelValues(outcomeOf(err)).Inc() }

// syncerMetrics holds the metrics of a Syncer.
type syncerMetrics struct {
	generation    prometheus.Gauge
	floor         prometheus.Gauge
	ready         prometheus.Gauge
	watching      prometheus.Gauge
	storeBehind   prometheus.Gauge
	applied       prometheus.Counter
	inForceDelay  prometheus.Histogram
	headsRefused  *prometheus.CounterVec
	fetchFailures *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	peerCalls     *prometheus.CounterVec
}

func newSyncerMetrics(registerer prometheus.Registerer) *syncerMetrics {
	m := &syncerMetrics{
		generation:  newGauge("generation", "The generation in force on this host."),
		floor:       newGauge("floor_generation", "The newest generation this host has heard of."),
		ready:       newGauge("ready", "1 when the host has asked enough peers and serves."),
		watching:    newGauge("watching", "1 when this host watches the store's head."),
		storeBehind: newGauge("store_behind", "1 when the store's head is older than what this host serves."),
		applied: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem,
			Name: "applied_total", Help: "Generations put in force on this host."}),
		inForceDelay: prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: metricsNamespace, Subsystem: metricsSubsystem,
			Name: "in_force_seconds", Help: "Time from acceptance to in force here, by the two hosts' clocks.",
			Buckets: []float64{0.05, 0.1, 0.25, 0.5, 1, 2, 3, 4, 6, 10, 30, 120}}),
		headsRefused:  newCounterVec("heads_refused_total", "Heads that were not followed, by cause.", "cause"),
		fetchFailures: newCounterVec("fetch_failures_total", "Generations that could not be fetched, by where the head came from.", "from"),
		storeCalls:    newCounterVec("store_calls_total", "Calls to the store, by kind.", "call"),
		peerCalls:     newCounterVec("peer_calls_total", "Calls to peers, by kind.", "call"),
	}
	register(registerer, m.generation, m.floor, m.ready, m.watching, m.storeBehind, m.applied, m.inForceDelay,
		m.headsRefused, m.fetchFailures, m.storeCalls, m.peerCalls)
	return m
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	})
}

func newCounterVec(name, help, label string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
	}, []string{label})
}
