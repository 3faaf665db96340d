package staging

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// gathererMetrics counts the calls to stage servers.
type gathererMetrics struct {
	pieces      *prometheus.HistogramVec
	overloaded  *prometheus.GaugeVec
	refused     *prometheus.CounterVec
	lostAnswers *prometheus.CounterVec
}

func newGathererMetrics(registerer prometheus.Registerer) *gathererMetrics {
	m := &gathererMetrics{
		pieces: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "seam_stage_call_pieces", Help: "Pieces in one call to a stage server.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 8),
		}, []string{"service"}),
		overloaded: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "seam_stage_overloaded", Help: "1 while the queue of a stage service is ordered by priority because of overload, on the gatherer.",
		}, []string{"service"}),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_stage_refused_total", Help: "Requests refused for lack of capacity of a stage service, by class, by reason, and at arrival of the request or at the queue.",
		}, []string{"service", "class", "reason", "at"}),
		lostAnswers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_stage_answers_lost_total", Help: "Calls to stage servers that ended because the server was idle and had not answered.",
		}, []string{"service"}),
	}
	if registerer != nil {
		registerer.MustRegister(m.pieces, m.overloaded, m.refused, m.lostAnswers)
	}
	return m
}

// observeCall records the number of pieces in one call.
func (m *gathererMetrics) observeCall(service string, pieces int) {
	m.pieces.WithLabelValues(service).Observe(float64(pieces))
}

// setOverloaded records in which order a service's queue is served.
func (m *gathererMetrics) setOverloaded(service string, overloaded bool) {
	value := 0.0
	if overloaded {
		value = 1
	}
	m.overloaded.WithLabelValues(service).Set(value)
}

// countRefused counts a request that is refused. m may be nil.
func (m *gathererMetrics) countRefused(service string, priority int, reason, at string) {
	if m != nil {
		m.refused.WithLabelValues(service, strconv.Itoa(classOf(priority)), reason, at).Inc()
	}
}
