package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/gateway"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/internal/sleep"
	"github.com/galenaseam/galenaseam/throttle"
	"github.com/galenaseam/galenaseam/transport"
)

// noticeMetrics counts what upstreams say about themselves in their answers.
type noticeMetrics struct {
	notices *prometheus.CounterVec
}

func newNoticeMetrics(registerer prometheus.Registerer) *noticeMetrics {
	m := &noticeMetrics{notices: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "seam_upstream_notices_total", Help: "Changes of upstreams that their answers told of, by service and kind.",
	}, []string{"service", "kind"})}
	registerer.MustRegister(m.notices)
	return m
}

func (m *noticeMetrics) count(c instance.Change) {
	if c.Source == instance.SourceAnswer {
		m.notices.WithLabelValues(c.Service, c.Kind).Inc()
	}
}

// onUpstreamAnswer records what the sender of an answer says about itself.
func (h *Host) onUpstreamAnswer(c *transport.Call, r *http.Response) {
	notice := h.platform.Codec.DecodeNotice(r)
	sender, known := c.Upstream, c.Upstream.ID != ""
	if !known || notice.WrongUpstream {
		sender, known = h.instances.ProcessAt(c.Addr, c.Upstream.ID)
	}
	if !known {
		return
	}
	now := time.Now()
	if notice.Leaving {
		h.instances.MarkLeaving(sender, now)
	}
	if until := now.Add(notice.Pause); notice.Pause > 0 && h.instances.Pause(sender, until, now) {
		h.shared.Pause(sender, until, now)
	}
	// An informational answer without a limit withdraws none: the final one may name it.
	isFinal := r.StatusCode >= http.StatusOK
	if (notice.Limited || isFinal) && h.instances.SetLimit(sender, notice.Limit, notice.Limited, c.SentAt, now) {
		h.shared.Limit(sender, notice.Limit, notice.Limited, now)
	}
	h.onWarmup(sender, notice, now)
	if entry, listed := h.instances.Lookup(sender.ID); listed && notice.Brittle {
		h.brittle.Named(entry.Service, notice.MaxRejections, now)
	}
	h.recordLoad(sender, notice, now)
}

// recordLoad records the load that an upstream reports. A malformed report is logged once a
// process.
func (h *Host) recordLoad(sender instance.Process, notice call.Notice, now time.Time) {
	if !notice.HasLoad && !notice.MalformedLoad {
		return
	}
	entry, listed := h.instances.Lookup(sender.ID)
	if !listed || !entry.StartTime.Equal(sender.StartTime) {
		return
	}
	if notice.HasLoad {
		h.workload.Report(entry, notice.Load, now)
		return
	}
	if h.workload.ReportMalformed(entry, now) {
		h.logger.Warn("upstream reports a malformed load", "upstream", string(entry.ID), "service", entry.Service, "addr", entry.Addr.String())
	}
}

const (
	// learnInterval is how often a host that has started looks for another one to learn from.
	learnInterval = 20 * time.Millisecond
	// maxLearnAsks bounds how many hosts are asked. Hosts of the build before, and those that
	// have just started, answer at once that they know nothing; of 2,336, as many as there is
	// time for would be asked.
	maxLearnAsks = 4
	// learnTimeout bounds how long a host that has found the others waits for their notices
	// before it is ready.
	learnTimeout = 200 * time.Millisecond
)

// learnNotices asks another host for the limits and pauses of upstreams as soon as one is known.
// It gives up once the host has found the others and nobody is left to ask, or after
// learnTimeout from then on.
func (h *Host) learnNotices(ctx context.Context) error {
	defer func() {
		h.noticesLearned.Store(true)
		h.shared.SetInformed()
	}()
	ctx, giveUp := context.WithCancel(ctx)
	defer giveUp()
	go func() {
		for !h.owners.Formed(time.Now()) && sleep.For(ctx, learnInterval) == nil {
		}
		_ = sleep.For(ctx, learnTimeout) // ends early only if learnNotices has ended
		giveUp()
	}()
	asked := make(map[host.ID]bool)
	for ctx.Err() == nil && len(asked) < maxLearnAsks {
		if peer, found := peerToLearnFrom(h.members.Members(), h.info.ID, asked); found {
			asked[peer.ID] = true
			if h.shared.Learn(ctx, peer) {
				return nil
			}
			continue
		}
		if h.owners.Formed(time.Now()) || sleep.For(ctx, learnInterval) != nil {
			return nil
		}
	}
	return nil
}

// peerToLearnFrom returns a random host that is alive and was not asked. Hosts that start
// together would otherwise all ask the same one.
func peerToLearnFrom(members []host.Member, self host.ID, asked map[host.ID]bool) (host.Info, bool) {
	if len(asked) >= maxLearnAsks {
		return host.Info{}, false
	}
	for _, i := range rand.Perm(len(members)) {
		if m := members[i]; m.ID != self && m.State == host.Alive && !asked[m.ID] {
			return m.Info, true
		}
	}
	return host.Info{}, false
}

// acquireCall takes the right to send a call to an upstream that names a limit, is cold or is
// brittle.
func (h *Host) acquireCall(ctx context.Context, c *transport.Call) (transport.Grant, bool) {
	process := c.Upstream
	if process.ID == "" {
		var known bool
		if process, known = h.instances.ProcessAt(c.Addr, ""); !known {
			return nil, true
		}
	}
	expiresAt, granted := h.acquireLimited(ctx, process)
	if !granted {
		return nil, false
	}
	var slot transport.Grant
	if !c.TakesNoSlot {
		if slot, granted = h.acquireSlot(ctx, process); !granted {
			return nil, false
		}
	}
	if !expiresAt.IsZero() {
		return &coldGrant{slot: slot, expiresAt: expiresAt}, true
	}
	return slot, true
}

// acquireSlot takes a slot of an upstream if it is brittle.
func (h *Host) acquireSlot(ctx context.Context, process instance.Process) (transport.Grant, bool) {
	entry, listed := h.instances.Lookup(process.ID)
	if !listed {
		return nil, true
	}
	maxRejections, brittle := h.brittle.MaxRejections(entry.Service, time.Now())
	if !brittle {
		return nil, true
	}
	slot := h.throttle.TakeSlot(ctx, throttle.Room{Process: process, Slots: entry.Slots, MaxRejections: maxRejections})
	if slot == nil {
		return nil, false
	}
	return slotGrant{slot, h.platform.Codec}, true
}

// slotGrant is a slot of a brittle upstream that a call takes.
type slotGrant struct {
	slot  *throttle.Slot
	codec gateway.Codec
}

// Answered implements transport.Grant.
func (g slotGrant) Answered(r *http.Response) {
	if r.StatusCode == http.StatusServiceUnavailable && g.codec.DecodeAnswer(r).NotRun {
		g.slot.Rejected()
		return
	}
	g.slot.Accepted()
}

// End implements transport.Grant.
func (g slotGrant) End() { g.slot.End() }

// acquireLimited takes the right to send a call to an upstream that names a limit or is cold.
// If it is not granted, the upstream gets no request of this host for a while. expiresAt is
// until when the call may be sent; zero if that is not bounded.
func (h *Host) acquireLimited(ctx context.Context, process instance.Process) (expiresAt time.Time, granted bool) {
	now := time.Now()
	r := h.instances.Restraint(process, now)
	if !r.Limited && r.WarmupPerSecond == 0 {
		return time.Time{}, true
	}
	wait, granted := h.throttle.Acquire(ctx, throttle.Limit{
		Process: process, PerSecond: r.PerSecond, NamedAt: r.NamedAt, Unlimited: !r.Limited, WarmupPerSecond: r.WarmupPerSecond,
	})
	if !granted {
		h.instances.Throttle(process, time.Now().Add(wait))
	}
	if r.WarmupPerSecond > 0 {
		expiresAt = now.Add(throttle.GrantLifetime)
	}
	return expiresAt, granted
}

// admitCall reports whether a call may be sent: not to an upstream that has asked
// this host for a pause or is at its limit, that is leaving or was removed, or whose data centre is
// evacuated. Calls that take no slot serve work that has run there already.
func (h *Host) admitCall(c *transport.Call) bool {
	return (c.TakesNoSlot || h.instances.MayGetCall(c.Upstream)) && !h.isEvacuated(c) && !h.instances.IsPaused(c.Upstream, c.Addr, time.Now())
}
