package dispatch

import (
	"time"

	"github.com/galenaseam/galenaseam/policy"
	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label "outcome" of requests.
const (
	outcomeInTime = "in_time"
	outcomeLate   = "late"
	outcomeFailed = "failed"
)

// metrics counts decisions, and reads the costs and the pools' state on every
// scrape.
type metrics struct {
	rt         *Runtime
	admissions *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	queueWait  *prometheus.HistogramVec
	stageTime  *prometheus.HistogramVec

	poolInFlight *prometheus.Desc
	poolLimit    *prometheus.Desc
	poolQueued   *prometheus.Desc
	poolSetAside *prometheus.Desc
	costSeconds  *prometheus.Desc
	costTokens   *prometheus.Desc
	costMoney    *prometheus.Desc
	costWasted   *prometheus.Desc
}

func newMetrics(rt *Runtime) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		opts := prometheus.CounterOpts{Namespace: "galenaseam", Subsystem: "dispatch", Name: name, Help: help}
		return prometheus.NewCounterVec(opts, labels)
	}
	histogram := func(name, help string, labels ...string) *prometheus.HistogramVec {
		opts := prometheus.HistogramOpts{
			Namespace: "galenaseam", Subsystem: "dispatch", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}
		return prometheus.NewHistogramVec(opts, labels)
	}
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("galenaseam_dispatch_"+name, help, labels, nil)
	}
	cost := []string{"stage", "class", "pipeline", "workspace"}
	return &metrics{
		rt:           rt,
		admissions:   counter("admitted_total", "Requests admitted.", "class"),
		refusals:     counter("refused_total", "Refusals at admission or in a queue.", "class", "stage", "cause"),
		requests:     counter("requests_total", "Admitted requests that ended.", "class", "outcome"),
		attempts:     counter("attempts_total", "Attempts that ended.", "stage", "class", "outcome", "hedge"),
		queueWait:    histogram("queue_wait_seconds", "Time from asking for a slot to getting it.", "stage", "class"),
		stageTime:    histogram("attempt_seconds", "Time of successful attempts.", "stage", "class"),
		poolInFlight: desc("pool_in_flight", "Calls of this host on a pool.", "pool"),
		poolLimit:    desc("pool_limit", "Calls that this host may keep on a pool.", "pool"),
		poolQueued:   desc("pool_queued", "Calls that wait for a pool.", "pool"),
		poolSetAside: desc("pool_set_aside", "Upstreams of a pool that are set aside.", "pool"),
		costSeconds:  desc("cost_upstream_seconds_total", "Time on upstreams.", cost...),
		costTokens:   desc("cost_tokens_total", "Tokens.", append(cost[:4:4], "kind")...),
		costMoney:    desc("cost_money_total", "Priced cost, in the document's unit.", cost...),
		costWasted:   desc("cost_wasted_seconds_total", "Time on upstreams that helped no caller.", cost...),
	}
}

func (m *metrics) register(registerer prometheus.Registerer) error {
	if registerer == nil {
		return nil
	}
	all := []prometheus.Collector{m.admissions, m.refusals, m.requests, m.attempts, m.queueWait, m.stageTime, m}
	for _, collector := range all {
		if err := registerer.Register(collector); err != nil {
			return err
		}
	}
	return nil
}

func (m *metrics) admitted(class string) { m.admissions.WithLabelValues(class).Inc() }

func (m *metrics) refused(class string, r *Refusal) {
	m.refusals.WithLabelValues(class, r.Stage, string(r.Cause)).Inc()
}

func (m *metrics) started(a *policy.Attempt) {
	m.queueWait.WithLabelValues(a.Call.StageName(), a.Call.Request.Class.Name).Observe(a.Waited().Seconds())
}

func (m *metrics) ended(now time.Time, a *policy.Attempt, o Outcome) {
	stage, class := a.Call.StageName(), a.Call.Request.Class.Name
	hedge := "no"
	if a.Hedge {
		hedge = "yes"
	}
	m.attempts.WithLabelValues(stage, class, o.Failure.String(), hedge).Inc()
	if o.Failure == Succeeded {
		m.stageTime.WithLabelValues(stage, class).Observe(now.Sub(a.Started).Seconds())
	}
}

func (m *metrics) finished(r *policy.Request, f Result) {
	outcome := outcomeFailed
	switch {
	case f.Complete && f.InTime:
		outcome = outcomeInTime
	case f.Complete:
		outcome = outcomeLate
	}
	m.requests.WithLabelValues(r.Class.Name, outcome).Inc()
}

// Describe sends the descriptions of the metrics that Collect reads.
func (m *metrics) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		m.poolInFlight, m.poolLimit, m.poolQueued, m.poolSetAside,
		m.costSeconds, m.costTokens, m.costMoney, m.costWasted,
	} {
		ch <- d
	}
}

// Collect reads the pools' state and the costs.
func (m *metrics) Collect(ch chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int, pool string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), pool)
	}
	for _, s := range m.rt.Status() {
		gauge(m.poolInFlight, s.InFlight, s.Pool)
		gauge(m.poolLimit, s.Limit, s.Pool)
		gauge(m.poolQueued, s.Queued, s.Pool)
		gauge(m.poolSetAside, len(s.SetAside), s.Pool)
	}
	for _, row := range m.rt.Costs() {
		m.collectCost(ch, row)
	}
}

func (m *metrics) collectCost(ch chan<- prometheus.Metric, row policy.CostRow) {
	labels := []string{row.Stage, row.Class, row.Pipeline, row.Workspace}
	total := func(d *prometheus.Desc, value float64, more ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, value, append(labels[:4:4], more...)...)
	}
	total(m.costSeconds, row.UpstreamSeconds)
	total(m.costTokens, float64(row.InputTokens), "input")
	total(m.costTokens, float64(row.OutputTokens), "output")
	total(m.costTokens, float64(row.CachedTokens), "cached")
	total(m.costMoney, row.Money)
	total(m.costWasted, row.WastedSeconds)
}
