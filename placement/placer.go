package placement

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/workload"
)

// Methods that hosts call on each other.
const (
	placeMethod link.Method = "placement.Place"
	noteMethod  link.Method = "placement.Note"
)

const (
	// placeTimeout bounds a call to the owner. It is many times the usual
	// duration, but short compared with reading a prompt.
	placeTimeout = 120 * time.Millisecond
	// noteTimeout bounds a progress note to the owner.
	noteTimeout = time.Second
)

// Config configures a Placer.
type Config struct {
	Engines *instance.Table
	// Service returns a service of the current configuration.
	Service func(name string) (*routing.Service, bool)
	Owners  *ownership.Table
	Caller  link.Caller
	// Fleet is nil if no host is asked for its recent choices.
	Fleet host.View
	// Workload is nil if the load that engines report is ignored.
	Workload *workload.Table
	// DataCentre is the local data centre. Engines in it are preferred when this
	// host chooses by itself.
	DataCentre host.DataCentre
	Logger     *slog.Logger
	// Registerer may be nil.
	Registerer prometheus.Registerer
}

// Placer chooses engines by asking the owner of each service. It is safe for
// concurrent use.
type Placer struct {
	config  Config
	metrics *metrics
	recent  *recentChoices

	mu       sync.Mutex // guards trackers
	trackers map[string]*tracker
}

// New creates a placer and registers the methods that other hosts call.
func New(config Config, registrar link.Registrar) *Placer {
	p := &Placer{config: config, trackers: make(map[string]*tracker), recent: newRecentChoices(), metrics: newMetrics(config.Registerer)}
	link.HandleTyped(registrar, placeMethod, func(_ context.Context, n Need) (placeReply, error) { return p.placeLocally(n), nil })
	link.HandleTyped(registrar, recentMethod, func(_ context.Context, r recentRequest) (recentAnswer, error) {
		return recentAnswer{p.recent.newest(time.Now(), r.Service)}, nil
	})
	link.HandleTyped(registrar, noteMethod, func(_ context.Context, n progressNote) (struct{}, error) {
		p.applyNote(n)
		return struct{}{}, nil
	})
	return p
}

// placeReply is the answer to placement.Place. Engine is empty if there is
// none.
type placeReply struct {
	Engine instance.ID   `cbor:"1,keyasint"`
	Wait   time.Duration `cbor:"2,keyasint"`
	// Full means that every engine that may be chosen is cold and has got what it takes now.
	// Wait is then when the first takes another request.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// progressNote tells the owner of a service about the progress of a request.
type progressNote struct {
	Service   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Ended     bool   `cbor:"3,keyasint"` // the request ended; otherwise its first event arrived
	// Pace is what the engine has just reported to the sender; 0 if nothing.
	Pace float64 `cbor:"4,keyasint,omitempty"`
}

// Ticket is a request that was placed on an engine. Call
// ReportFirstEvent and ReportEnd to report its progress.
type Ticket struct {
	Engine instance.Status
	// Wait estimates the time to the first event; 0 if unknown.
	Wait time.Duration
	// Owner is the ID of the owner that chose the engine; "" if this host
	// chose without it.
	Owner  string
	placer *Placer
	note   progressNote
}

// Place chooses an engine for a request. found is false if there is none. The
// owner's choice is taken only if it is an engine of the required version here too. If the
// owner says that only cold engines without room are left, there is none: their owners would
// refuse the request one after the other.
func (p *Placer) Place(ctx context.Context, need Need, random *rand.Rand) (t Ticket, found bool) {
	if t, found = p.choose(ctx, need, random); found {
		p.recent.add(time.Now(), need, t.Engine.Process())
	}
	return t, found
}

// choose is Place without the record of the choice.
func (p *Placer) choose(ctx context.Context, need Need, random *rand.Rand) (t Ticket, found bool) {
	now := time.Now()
	if len(instance.OfVersion(p.config.Engines.Service(need.Service, now), need.Version)) == 0 {
		return Ticket{}, false
	}
	need.Tried = append(slices.Clone(need.Tried), p.config.Engines.Withheld(need.Service, now)...)
	t = Ticket{placer: p, note: progressNote{Service: need.Service, RequestID: need.RequestID}}
	owner, own := p.config.Owners.Owner(need.Service, now)
	t.Owner = string(owner.ID)
	full := false
	if !own {
		p.cede(need.Service)
	}
	if own {
		reply := p.placeLocally(need)
		t.Wait, full = reply.Wait, reply.Full
		t.Engine, found = p.findEngine(need, reply.Engine)
	} else if reply, err := p.placeRemotely(ctx, owner, need); err == nil {
		t.Wait, full = reply.Wait, reply.Full
		t.Engine, found = p.findEngine(need, reply.Engine)
	} else if ctx.Err() == nil {
		p.config.Owners.Avoid(owner.ID, now)
		p.config.Logger.Warn("placement owner failed", "request", need.RequestID, "service", need.Service,
			"keeper", string(owner.ID), "error", err.Error())
	}
	if found {
		return t, true
	}
	if full {
		return Ticket{}, false
	}
	t.Owner = ""
	all := p.config.Engines.Service(need.Service, time.Now())
	t.Engine, found = balance.ChooseEngine(all, p.aloneNeed(need), random)
	return t, found
}

// aloneNeed returns what a request needs if this host chooses its engine without the owner.
func (p *Placer) aloneNeed(need Need) balance.Need {
	return balance.Need{Prefix: sharedPrefix(need), PreferredDataCentre: p.config.DataCentre, Tried: need.Tried, Version: need.Version}
}

// sharedPrefix returns the hash of all parts of a prompt but the last. Other
// requests may share these parts. It returns 0 if there are none.
func sharedPrefix(need Need) uint64 {
	return sharedHash(prefixChain(need.Parts))
}

// placeRemotely asks the owner of a service to choose an engine.
func (p *Placer) placeRemotely(ctx context.Context, owner host.Info, need Need) (placeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return link.CallIdempotent[Need, placeReply](ctx, p.config.Caller, owner.LinkAddr, placeMethod, need)
}

// findEngine returns an engine that the owner has chosen. ok is false if this
// host must not send it new work, or it has another software version here.
func (p *Placer) findEngine(need Need, id instance.ID) (found instance.Status, ok bool) {
	for _, s := range p.config.Engines.Service(need.Service, time.Now()) {
		if s.ID == id && s.HasVersion(need.Version) {
			return s, true
		}
	}
	return instance.Status{}, false
}

// placeLocally chooses an engine by the load and caches that this host tracks. An
// engine that is paused for this host may be chosen, since the request may be
// another host's.
func (p *Placer) placeLocally(need Need) placeReply {
	service, known := p.config.Service(need.Service)
	if !known || service.Engine == nil {
		return placeReply{}
	}
	now := time.Now()
	all := p.config.Engines.ServiceOfFleet(need.Service, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tracker(need.Service)
	if p.recallDue(t, now) {
		go p.recall(need.Service)
	}
	id, wait, found := t.place(now, all, limitsOf(service), need)
	if !found {
		return placeReply{Wait: wait, Full: wait > 0}
	}
	return placeReply{Engine: id, Wait: wait}
}

// limitsOf returns the capacity of an engine of a service.
func limitsOf(service *routing.Service) Limits {
	return Limits{Concurrency: service.Engine.Concurrency, CacheTokens: service.Engine.CacheTokens, WarmupPerSecond: service.WarmupPerSecond}
}

// tracker returns the tracker of a service and creates it if needed. The caller
// holds mu.
func (p *Placer) tracker(service string) *tracker {
	t := p.trackers[service]
	if t == nil {
		t = p.newTracker()
		t.observe = p.metrics.observer(service)
		p.trackers[service] = t
	}
	return t
}

// newTracker returns an empty tracker that uses the load that engines report.
func (p *Placer) newTracker() *tracker {
	t := newTracker()
	if p.config.Workload == nil {
		t.rereadWeight, t.byDemand = 0, false
	}
	t.pace = p.config.Workload.Pace
	return t
}

// applyNote updates the tracked load of an engine.
func (p *Placer) applyNote(n progressNote) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.tracker(n.Service)
	if process, runs := t.engineOf(n.RequestID); runs && n.Pace > 0 {
		p.config.Workload.ReportPace(instance.Entry{ID: process.ID, StartTime: process.StartTime, Service: n.Service}, n.Pace, time.Now())
	}
	if n.Ended {
		t.end(n.RequestID)
		return
	}
	t.firstEvent(time.Now(), n.RequestID)
}

// ReportFirstEvent reports that the first event has arrived.
func (t Ticket) ReportFirstEvent() { t.notify(t.note) }

// ReportEnd reports that the engine no longer runs the request.
func (t Ticket) ReportEnd() {
	n := t.note
	n.Ended = true
	t.notify(n)
}

// minNotedWeight is the weight of a report from which its pace is passed on: it arrived with
// the answer that the note is about.
const minNotedWeight = 0.8

// notify sends a note to the owner in the background. If a note is lost, the
// owner counts the request as ended after a timeout.
func (t Ticket) notify(n progressNote) {
	if t.placer == nil {
		return
	}
	owner, own := t.placer.config.Owners.Owner(n.Service, time.Now())
	if own {
		t.placer.applyNote(n)
		return
	}
	if s := t.placer.config.Workload.State(t.Engine.Process(), time.Now()); s.Weight > minNotedWeight {
		n.Pace = s.Pace
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		_, err := link.CallIdempotent[progressNote, struct{}](ctx, t.placer.config.Caller, owner.LinkAddr, noteMethod, n)
		if err != nil {
			t.placer.config.Logger.Debug("failed to report progress to placement owner", "request", n.RequestID,
				"keeper", string(owner.ID), "error", err.Error())
		}
	}()
}
