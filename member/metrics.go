package member

import (
	"github.com/galenaseam/galenaseam/host"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

type metrics struct {
	members       *prometheus.GaugeVec
	awareness     prometheus.Gauge
	facts         prometheus.Gauge
	queued        prometheus.Gauge
	sent          prometheus.Counter
	sentBytes     prometheus.Counter
	receivedBytes prometheus.Counter
	sendErrors    prometheus.Counter
	rejected      *prometheus.CounterVec
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Name: "galenaseam_member_" + name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return factory.NewGauge(prometheus.GaugeOpts{Name: "galenaseam_member_" + name, Help: help})
	}
	return &metrics{
		members: factory.NewGaugeVec(prometheus.GaugeOpts{
			Name: "galenaseam_members",
			Help: "Hosts that this one knows, by state.",
		}, []string{"state"}),
		awareness:     gauge("awareness", "How far the host doubts its own link, from 0 to 8."),
		facts:         gauge("facts", "Facts of all hosts that are held."),
		queued:        gauge("queued_news", "Records and facts waiting to be passed on."),
		sent:          counter("sent_datagrams_total", "Datagrams sent."),
		sentBytes:     counter("sent_bytes_total", "Bytes of datagrams sent, without IP headers."),
		receivedBytes: counter("received_bytes_total", "Bytes of datagrams received, without IP headers."),
		sendErrors:    counter("send_errors_total", "Datagrams that could not be sent."),
		rejected: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "galenaseam_member_rejected_datagrams_total",
			Help: "Datagrams dropped, by cause.",
		}, []string{"cause"}),
	}
}

// observe updates the gauges from the core, whose lock must be held.
func (m *metrics) observe(c *core) {
	m.awareness.Set(float64(c.prober.awareness))
	m.facts.Set(float64(len(c.facts.byKey)))
	m.queued.Set(float64(len(c.queue.items)))
}

// observeMembers counts the members of a new view.
func (m *metrics) observeMembers(members []host.Member) {
	var counts [host.Dead + 1]int
	for i := range members {
		counts[members[i].State]++
	}
	for state, count := range counts {
		m.members.WithLabelValues(host.State(state).String()).Set(float64(count))
	}
}
