package edge

import (
	"log/slog"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/transport"
)

// setWarmups applies how the upstreams of each service of a configuration warm up.
func (h *Host) setWarmups(t *routing.Table) {
	warmups := make(map[string]instance.Warmup)
	for _, s := range t.Services() {
		if s.InvalidWarmup {
			h.cold.reportInvalid("configuration", s.Name, "")
		}
		if s.WarmupPerSecond > 0 {
			warmups[s.Name] = instance.Warmup{Time: s.WarmupTime, PerSecond: s.WarmupPerSecond}
		}
	}
	h.instances.SetWarmups(warmups)
}

// onWarmup records what the sender of an answer says about being cold.
func (h *Host) onWarmup(sender instance.Process, notice call.Notice, now time.Time) {
	if notice.InvalidWarmup {
		entry, _ := h.instances.Lookup(sender.ID)
		h.cold.reportInvalid("answer", entry.Service, string(sender.ID))
	}
	h.instances.MarkCold(sender, notice.WarmupLeft, now)
}

// expectCold prepares for granting requests to a process if it is cold.
func (h *Host) expectCold(p instance.Process) {
	if perSecond, cold := h.instances.Cold(p, time.Now()); cold {
		h.throttle.Expect(map[instance.ID]float64{p.ID: perSecond})
	}
}

// checkCold reports the cold upstreams, and prepares for granting requests to those that were
// warm at the last check.
func (h *Host) checkCold(now time.Time) {
	counts := make(map[string]int)
	expected := make(map[instance.ID]bool)
	for service, cold := range h.instances.ColdUpstreams(now) {
		counts[service] = len(cold)
		for id := range cold {
			expected[id] = true
		}
		maps.DeleteFunc(cold, func(id instance.ID, _ float64) bool { return h.cold.expected[id] })
		h.throttle.Expect(cold)
	}
	h.cold.expected = expected
	h.cold.report(counts)
}

// coldGrant is the right to send one call to a cold upstream. slot is nil unless the upstream
// is brittle too.
type coldGrant struct {
	slot      transport.Grant
	expiresAt time.Time
}

// HasExpired reports whether the call may no longer be sent.
func (g *coldGrant) HasExpired() bool { return time.Now().After(g.expiresAt) }

// Answered implements transport.Grant.
func (g *coldGrant) Answered(r *http.Response) {
	if g.slot != nil {
		g.slot.Answered(r)
	}
}

// End implements transport.Grant.
func (g *coldGrant) End() {
	if g.slot != nil {
		g.slot.End()
	}
}

// maxInvalidSources bounds the sources of invalid warm-ups that are remembered. Those beyond it are
// counted and not logged.
const maxInvalidSources = 1024

// coldMonitor reports which services have cold upstreams, and invalid statements about them.
type coldMonitor struct {
	logger  *slog.Logger
	counts  *prometheus.GaugeVec
	invalid *prometheus.CounterVec

	// cold are the services with cold upstreams at the last report, and expected the cold
	// upstreams at the last check. Only the goroutine that checks uses them: finding the owners
	// of all cold upstreams each second would cost a large fleet too much.
	cold     map[string]bool
	expected map[instance.ID]bool

	mu     sync.Mutex // guards logged
	logged map[warmupSource]bool
}

// warmupSource is what stated an invalid warm-up.
type warmupSource struct{ kind, service, upstream string }

func newColdMonitor(logger *slog.Logger, registerer prometheus.Registerer) *coldMonitor {
	m := &coldMonitor{
		logger: logger, logged: make(map[warmupSource]bool), cold: make(map[string]bool),
		counts: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "seam_cold_upstreams", Help: "Upstreams that this host takes for cold, by service.",
		}, []string{"service"}),
		invalid: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "seam_invalid_warmups_total", Help: "Warm-ups out of bounds that were ignored or capped, by what stated them.",
		}, []string{"source"}),
	}
	registerer.MustRegister(m.counts, m.invalid)
	return m
}

// reportInvalid counts an invalid warm-up, and logs it once for each source.
func (m *coldMonitor) reportInvalid(kind, service, upstream string) {
	m.invalid.WithLabelValues(kind).Inc()
	source := warmupSource{kind, service, upstream}
	m.mu.Lock()
	first := !m.logged[source] && len(m.logged) < maxInvalidSources
	if first {
		m.logged[source] = true
	}
	m.mu.Unlock()
	if first {
		m.logger.Warn("warm-up out of bounds ignored or capped", "source", kind, "service", service, "upstream", upstream)
	}
}

// report publishes how many upstreams are cold, and logs when a service's first one becomes
// cold and when its last one is warm.
func (m *coldMonitor) report(counts map[string]int) {
	for service := range m.cold {
		if counts[service] == 0 {
			delete(m.cold, service)
			m.logger.Info("upstreams warm", "service", service)
		}
	}
	m.counts.Reset()
	for service, n := range counts {
		m.counts.WithLabelValues(service).Set(float64(n))
		if n > 0 && !m.cold[service] {
			m.cold[service] = true
			m.logger.Info("upstreams cold", "service", service, "upstreams", n)
		}
	}
}
