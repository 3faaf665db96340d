package directory

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/galenaseam/galenaseam/infra"
)

// eraMetrics are the metrics of the store's era.
type eraMetrics struct {
	era   prometheus.Gauge
	rises prometheus.Counter
}

func newEraMetrics(registerer prometheus.Registerer) eraMetrics {
	factory := promauto.With(registerer)
	return eraMetrics{
		era: factory.NewGauge(prometheus.GaugeOpts{
			Name: "seam_store_era", Help: "Era of the store that this host's data is from.",
		}),
		rises: factory.NewCounter(prometheus.CounterOpts{
			Name: "seam_store_era_rises_total", Help: "Times that the store came back from an older copy and was read again.",
		}),
	}
}

// enterEra notes the era of news that is about to be applied. current is false
// if the news is of a former era and must be dropped. rose is true if it is the
// first news after the store came back from a copy. source tells where it is
// from. The caller holds applying.
//
// Upstreams that are missing in a new era may only be missing in the copy, so
// removeUpstream keeps them for a while.
func (d *Directory) enterEra(asOf infra.Position, source string, now time.Time) (rose, current bool) {
	d.mu.Lock()
	before := d.asOf
	isFirst := before == infra.Position{}
	rose = asOf.Era > before.Era && !isFirst
	if rose {
		d.eraRoseAt = now
	}
	d.mu.Unlock()
	switch {
	case asOf == infra.Position{}:
		return false, isFirst
	case asOf.Era < before.Era:
		d.config.Logger.Info("news of a former store era dropped", "source", source,
			"era", asOf.Era, "as_of", asOf.Revision, "current_era", before.Era, "current_as_of", before.Revision)
		return false, false
	case rose:
		d.eraMetrics.rises.Inc()
		d.config.Logger.Warn("store came back from a copy, everything is read again", "source", source,
			"old_era", before.Era, "old_as_of", before.Revision, "era", asOf.Era, "as_of", asOf.Revision,
			"upstreams_known", len(d.config.Instances.Entries()))
	}
	if rose || isFirst {
		d.config.Instances.BeginEra(asOf)
	}
	d.eraMetrics.era.Set(float64(asOf.Era))
	return rose, true
}
