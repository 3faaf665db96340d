package directory

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/infra"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
)

// When the store comes back from a copy, a host needs to know which of the listed upstreams
// have left. What it has not seen itself, it asks other hosts: once after its start, and before
// it applies a listing, about the upstreams in it that it has not seen and that may be from a copy.

const lastStatesMethod link.Method = "directory.LastStates"

const (
	// maxLastStates bounds the IDs in a question and the states in an answer. 1,024 states are
	// about 110 kB, which takes a host with 10 Mbit/s 90 ms.
	maxLastStates = 1024
	// listingWait is the longest time for which a listing of a new era waits for other hosts.
	listingWait = 200 * time.Millisecond
	// urgentAsks is how many hosts are asked while a listing waits, each urgentAskInterval
	// after the one before, or as soon as that has told nothing. Hosts answer within a few
	// milliseconds, so the next one is asked only if one is slow.
	urgentAsks        = 4
	urgentAskInterval = listingWait / urgentAsks
	// maxAsks and askInterval bound the further questions, also those of a host in an era that
	// has not ended: those have time.
	maxAsks     = 6
	askInterval = 500 * time.Millisecond
	// minAskDelay and maxAskDelay bound the time after which a host asks that has started in
	// the store's first era. No copy can have been read then, and hosts that start together
	// have other work.
	minAskDelay = time.Second
	maxAskDelay = 3 * time.Second
	// enoughInformed is how many informed hosts are asked about an upstream that they do not
	// know either. It may be a new one, and every host asks about it after a restore.
	enoughInformed = 2
)

// lastStatesRequest asks for last states of upstreams.
type lastStatesRequest struct {
	// IDs are the upstreams that are asked about; empty means all.
	IDs []instance.ID `cbor:"1,keyasint,omitempty"`
	// Era is the era of the listing that the asking host has read.
	Era int64 `cbor:"2,keyasint"`
}

// lastStatesAnswer holds what the answering host knows.
type lastStatesAnswer struct {
	States []instance.LastState `cbor:"1,keyasint"`
	// Era is the era that the answering host is in.
	Era int64 `cbor:"2,keyasint"`
	// Informed means that the answering host has asked others itself since it started.
	Informed bool `cbor:"3,keyasint"`
}

// serveLastStates answers another host's question.
func (d *Directory) serveLastStates(_ context.Context, request lastStatesRequest) (lastStatesAnswer, error) {
	if len(request.IDs) > maxLastStates {
		return lastStatesAnswer{}, Error.New("asked about %d upstreams, %d are allowed", len(request.IDs), maxLastStates)
	}
	d.mu.Lock()
	answer := lastStatesAnswer{Era: d.asOf.Era, Informed: d.informed}
	d.mu.Unlock()
	answer.States = d.config.Instances.LastStates(request.IDs, request.Era, maxLastStates)
	return answer, nil
}

// inquiry decides which hosts are asked for last states, and when that is enough. It does no
// I/O.
type inquiry struct {
	lastStatesRequest
	// urgent means that a listing waits for the answers.
	urgent   bool
	nextAt   time.Time // when the next host may be asked
	asks     int       // how often a host was asked, or was to be asked and none was left
	tried    map[netip.AddrPort]bool
	pending  int // hosts that have not answered
	informed int // answers of informed hosts
	found    map[instance.ID]bool
	done     bool
}

func newInquiry(request lastStatesRequest, urgent bool, firstAt time.Time) *inquiry {
	return &inquiry{
		lastStatesRequest: request, urgent: urgent, nextAt: firstAt,
		tried: make(map[netip.AddrPort]bool), found: make(map[instance.ID]bool),
	}
}

// next returns the host to ask now, or false if there is none. random returns a number below
// its argument.
func (q *inquiry) next(peers []netip.AddrPort, now time.Time, random func(int) int) (peer netip.AddrPort, found bool) {
	if q.isOver() || now.Before(q.nextAt) {
		return netip.AddrPort{}, false
	}
	interval := askInterval
	if q.isQuick() {
		interval = urgentAskInterval
	} else if !slices.ContainsFunc(peers, func(p netip.AddrPort) bool { return !q.tried[p] }) {
		clear(q.tried) // a host may have become informed, or have learnt of the new era
	}
	peers = slices.DeleteFunc(peers, func(p netip.AddrPort) bool { return q.tried[p] })
	q.nextAt = now.Add(interval)
	q.asks++
	if len(peers) == 0 {
		q.asks = max(q.asks, urgentAsks) // others may appear later, but a listing does not wait for them
		return netip.AddrPort{}, false
	}
	peer = peers[random(len(peers))]
	q.tried[peer] = true
	q.pending++
	return peer, true
}

// isQuick reports whether hosts are still asked while a listing waits.
func (q *inquiry) isQuick() bool { return q.urgent && q.asks < urgentAsks }

// isOver reports whether no further host is to be asked.
func (q *inquiry) isOver() bool { return q.done || q.asks >= maxAsks }

// answered records an answer, nil if the host could not give one.
func (q *inquiry) answered(a *lastStatesAnswer, now time.Time) {
	q.pending--
	if q.isQuick() {
		q.nextAt = now
	}
	if a == nil {
		return
	}
	for _, s := range a.States {
		q.found[s.Entry.ID] = true
	}
	if len(q.IDs) > 0 {
		if a.Informed {
			q.informed++
		}
		unanswered := slices.ContainsFunc(q.IDs, func(id instance.ID) bool { return !q.found[id] })
		q.done = q.done || !unanswered || q.informed >= enoughInformed
		return
	}
	// A host in a former era does not know yet which entries of the copy it would not take.
	q.done = q.done || a.Informed && a.Era >= q.Era
}

// isSettled reports whether a listing need not wait any longer.
func (q *inquiry) isSettled() bool { return q.done || !q.isQuick() && q.pending == 0 }

// inquire makes an inquiry. It calls settled once a listing need not wait any longer, and ends
// when no further host is to be asked and all have answered. Answers are applied as they
// arrive.
func (d *Directory) inquire(ctx context.Context, q *inquiry, listed []netip.AddrPort, settled func()) {
	defer settled()
	started := time.Now()
	answers := make(chan *lastStatesAnswer, maxAsks)
	for {
		now := time.Now()
		if peer, found := q.next(d.livePeers(listed), now, rand.IntN); found {
			d.background.Go(func() { answers <- d.askLastStates(ctx, peer, q.lastStatesRequest) })
			continue
		}
		if q.isSettled() {
			settled()
		}
		if q.isOver() && (q.done || q.pending == 0) {
			break
		}
		wait := askInterval
		if !q.isOver() {
			wait = q.nextAt.Sub(now)
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case answer := <-answers:
			timer.Stop()
			q.answered(answer, time.Now())
		}
	}
	d.config.Logger.Info("other hosts were asked for the last states of upstreams", "era", q.Era, "upstreams", len(q.IDs),
		"asks", q.asks, "informed", q.done, "states", len(q.found), "took_ms", time.Since(started).Milliseconds())
}

// askLastStates asks one host and applies its answer. It returns nil if the host can't answer,
// for example because it is of the build before.
func (d *Directory) askLastStates(ctx context.Context, peer netip.AddrPort, request lastStatesRequest) *lastStatesAnswer {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	answer, err := link.CallTyped[lastStatesRequest, lastStatesAnswer](ctx, d.config.Caller, peer, lastStatesMethod, request)
	if err != nil {
		d.lastStateCalls.WithLabelValues("failed").Inc()
		d.config.Logger.Debug("last states of upstreams not received", "peer", peer.String(), "error", err.Error())
		return nil
	}
	result := "informed"
	if !answer.Informed {
		result = "uninformed"
	}
	d.lastStateCalls.WithLabelValues(result).Inc()
	d.applyLastStates(answer.States)
	return &answer
}

// applyLastStates applies another host's last states of upstreams.
func (d *Directory) applyLastStates(states []instance.LastState) {
	d.applying.Lock()
	defer d.applying.Unlock()
	asOf, changed := d.position(), false
	for _, s := range states[:min(len(states), maxLastStates)] {
		changed = d.config.Instances.Learn(s, asOf) || changed
	}
	if changed {
		d.wakeFollowers()
	}
}

// livePeers returns the addresses of the other hosts that are alive, and of those in a list.
func (d *Directory) livePeers(listed []netip.AddrPort) []netip.AddrPort {
	self := d.config.Fleet.Self()
	peers := slices.Clone(listed)
	for _, m := range d.config.Fleet.Members() {
		if m.State == host.Alive {
			peers = append(peers, m.LinkAddr)
		}
	}
	slices.SortFunc(peers, netip.AddrPort.Compare)
	return slices.DeleteFunc(slices.Compact(peers), func(p netip.AddrPort) bool { return p == self.LinkAddr })
}

// awaitLastStates is called before the listing of upstreams as of a position is applied. It
// starts an inquiry at this host's first listing, and later if some of the listed upstreams are
// unknown and may be from a copy: the first data of an era may have come from another host,
// which left them out. If the store has come back from a copy, it waits until the other hosts
// have answered, for listingWait at most.
func (d *Directory) awaitLastStates(ctx context.Context, listed map[instance.ID]infra.Position, hosts []netip.AddrPort, asOf infra.Position, source string) {
	request, now := lastStatesRequest{Era: asOf.Era}, time.Now()
	d.mu.Lock()
	isFirst := !d.askedAtStart
	d.askedAtStart = true
	d.mu.Unlock()
	if !isFirst {
		if asOf.Era == 0 {
			return
		}
		request.IDs = d.config.Instances.Unseen(listed)
		if len(request.IDs) == 0 {
			return
		}
		if len(request.IDs) > maxLastStates {
			d.config.Logger.Warn("too many upstreams are unknown to ask other hosts about all", "unknown", len(request.IDs), "asked", maxLastStates)
			request.IDs = request.IDs[:maxLastStates]
		}
	}
	urgent := asOf.Era > 0
	if !urgent {
		now = now.Add(minAskDelay + rand.N(maxAskDelay-minAskDelay))
	}
	settled := make(chan struct{})
	var once sync.Once
	d.background.Go(func() {
		d.inquire(ctx, newInquiry(request, urgent, now), hosts, func() { once.Do(func() { close(settled) }) })
		if isFirst {
			d.mu.Lock()
			d.informed = true
			d.mu.Unlock()
		}
	})
	if !urgent {
		return
	}
	timeout := time.NewTimer(listingWait)
	defer timeout.Stop()
	select {
	case <-settled:
	case <-timeout.C:
		d.config.Logger.Warn("other hosts did not tell in time what they know of listed upstreams", "source", source, "era", asOf.Era, "upstreams", len(request.IDs))
	case <-ctx.Done():
	}
}

// awaitLastStatesForStore prepares for a listing read from the store. The hosts in the first one
// become members at once, so that a host that waits is not ready any later.
func (d *Directory) awaitLastStatesForStore(ctx context.Context, items []Item, asOf infra.Position) {
	listed := make(map[instance.ID]infra.Position)
	var hosts []netip.AddrPort
	isFirst := d.position() == infra.Position{}
	for _, item := range items {
		var info host.Info
		if id, ok := d.config.Format.UpstreamID(item.Key); ok {
			listed[id] = item.position()
		} else if isFirst && isHostKey(item.Key) && cbor.Unmarshal(item.Value, &info) == nil && info.LinkAddr.IsValid() {
			hosts = append(hosts, info.LinkAddr)
			d.applyHost(item)
		}
	}
	if len(hosts) > 0 {
		d.hostsChanged()
	}
	d.awaitLastStates(ctx, listed, hosts, asOf, "store")
}

// awaitLastStatesForAnswer prepares for another host's complete answer. The first one needs no
// wait: it is that host's view, which has come about from what it knows.
func (d *Directory) awaitLastStatesForAnswer(ctx context.Context, answer followAnswer) {
	if !answer.Complete || d.position() == (infra.Position{}) {
		return
	}
	listed := make(map[instance.ID]infra.Position, len(answer.Entries))
	for _, e := range answer.Entries {
		listed[e.ID] = e.Position()
	}
	d.awaitLastStates(ctx, listed, nil, answer.position(), "host")
}

func newLastStateCalls(registerer prometheus.Registerer) *prometheus.CounterVec {
	return promauto.With(registerer).NewCounterVec(prometheus.CounterOpts{
		Name: "seam_last_state_calls_total", Help: "Questions to other hosts for the last states of upstreams, by result: informed, uninformed or failed.",
	}, []string{"result"})
}
