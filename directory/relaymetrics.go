package directory

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

// Reasons for which a host avoids a watcher, as a metric's label.
const (
	watcherSilent = "silent"
	watcherStale  = "stale"
	watcherOldEra = "former_era"
)

// relayMetrics are the metrics of what hosts pass on to each other.
type relayMetrics struct {
	avoidedWatchers *prometheus.CounterVec
	sentConfigBytes prometheus.Counter
}

func newRelayMetrics(registerer prometheus.Registerer) relayMetrics {
	factory := promauto.With(registerer)
	return relayMetrics{
		avoidedWatchers: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_store_watchers_avoided_total", Help: "Times that this host looked for another watcher, by reason: silent, stale or former_era.",
		}, []string{"reason"}),
		sentConfigBytes: factory.NewCounter(prometheus.CounterOpts{
			Name: "seam_configuration_sent_bytes_total", Help: "Bytes of configurations sent to other hosts.",
		}),
	}
}

func registerAge(registerer prometheus.Registerer, age func(time.Time) time.Duration) {
	promauto.With(registerer).NewGaugeFunc(prometheus.GaugeOpts{
		Name: "seam_store_copy_age_seconds", Help: "Time since the store confirmed, here or to the host that this one follows, that no changes were lacking.",
	}, func() float64 { return age(time.Now()).Seconds() })
}
