package claim

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the package's Prometheus metrics.
type metrics struct {
	verdicts    *prometheus.CounterVec
	latency     prometheus.Histogram
	writes      prometheus.Counter
	entries     prometheus.Counter
	commit      prometheus.Histogram
	storeErrors prometheus.Counter
	takeovers   prometheus.Counter
	losses      prometheus.Counter
	recovery    prometheus.Histogram
	checkpoints prometheus.Counter
	unsettled   prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) (*metrics, error) {
	m := &metrics{
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_claim_verdicts_total", Help: "Decisions on non-idempotent requests, by verdict.",
		}, []string{"verdict"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenaseam_claim_seconds", Help: "Time from the request for a claim to the decision, joins left out.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		writes:      newCounter("galenaseam_claim_store_writes_total", "Batches written to the claim logs."),
		entries:     newCounter("galenaseam_claim_entries_total", "Claims, outcomes and releases written to the claim logs."),
		storeErrors: newCounter("galenaseam_claim_store_errors_total", "Calls on the store for claims that failed."),
		takeovers:   newCounter("galenaseam_claim_takeovers_total", "Shards that this host took over."),
		losses:      newCounter("galenaseam_claim_losses_total", "Shards that another host took from this one."),
		checkpoints: newCounter("galenaseam_claim_checkpoints_total", "Checkpoints of claim logs."),
		commit: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenaseam_claim_commit_seconds", Help: "Time of one successful batch write.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		recovery: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "galenaseam_claim_recovery_seconds", Help: "Time of one takeover.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 13),
		}),
		unsettled: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "galenaseam_claim_unsettled", Help: "Attempts of this host whose end is not durable.",
		}),
	}
	return m, m.register(r)
}

func newCounter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

func (m *metrics) register(r prometheus.Registerer) error {
	all := []prometheus.Collector{
		m.verdicts, m.latency, m.writes, m.entries, m.commit, m.storeErrors,
		m.takeovers, m.losses, m.recovery, m.checkpoints, m.unsettled,
	}
	for _, c := range all {
		if err := r.Register(c); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

func (m *metrics) observeCommit(entries int, took time.Duration) {
	m.writes.Inc()
	m.entries.Add(float64(entries))
	m.commit.Observe(took.Seconds())
}

func (m *metrics) observeTakeover(took time.Duration) {
	m.takeovers.Inc()
	m.recovery.Observe(took.Seconds())
}
