package placement

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/balance"
	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/link"
	"github.com/galenaseam/galenaseam/ownership"
	"github.com/galenaseam/galenaseam/routing"
)

// The calls between hosts.
const (
	placeMethod link.Method = "placement.Place"
	noteMethod  link.Method = "placement.Note"
)

const (
	// placeTimeout bounds asking the keeper: many times the usual answer, and
	// little against reading a prompt.
	placeTimeout = 120 * time.Millisecond
	// noteTimeout bounds telling the keeper.
	noteTimeout = time.Second
)

// Config is what a Placer is made of.
type Config struct {
	Engines *instance.Table
	// Service describes a service of the configuration in force.
	Service func(name string) (*routing.Service, bool)
	Owners  *ownership.Table
	Caller  link.Caller
	Near    host.DataCentre
	Logger  *slog.Logger
}

// Placer chooses engines, through the keeper of each service's book. It is
// safe for concurrent use.
type Placer struct {
	config Config

	mu    sync.Mutex // guards books
	books map[string]*book
}

// New makes a placer and serves other hosts on the registrar.
func New(config Config, registrar link.Registrar) *Placer {
	p := &Placer{config: config, books: make(map[string]*book)}
	link.HandleTyped(registrar, placeMethod, func(_ context.Context, n Need) (placed, error) { return p.keep(n), nil })
	link.HandleTyped(registrar, noteMethod, func(_ context.Context, n note) (struct{}, error) {
		p.take(n)
		return struct{}{}, nil
	})
	return p
}

// placed is the keeper's answer; no engine is an empty ID.
type placed struct {
	Engine instance.ID   `cbor:"1,keyasint"`
	Wait   time.Duration `cbor:"2,keyasint"`
}

// note tells the keeper how far a request has come.
type note struct {
	Service   string `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint"`
	Ended     bool   `cbor:"3,keyasint"` // else its first event has come
}

// Ticket is a request's place on an engine. Tell it how the request goes.
type Ticket struct {
	Engine instance.Status
	// Wait is about how long the first event takes; 0 when not known.
	Wait   time.Duration
	Keeper string
	placer *Placer
	note   note
}

// Place chooses an engine for a request. found is false when there is none.
func (p *Placer) Place(ctx context.Context, need Need, random *rand.Rand) (t Ticket, found bool) {
	now := time.Now()
	all := p.config.Engines.Service(need.Service, now)
	if len(all) == 0 {
		return Ticket{}, false
	}
	t = Ticket{placer: p, note: note{Service: need.Service, RequestID: need.RequestID}}
	owner, own := p.config.Owners.Owner(need.Service, now)
	t.Keeper = string(owner.ID)
	if own {
		answer := p.keep(need)
		t.Wait = answer.Wait
		t.Engine, found = find(all, answer.Engine)
	} else if answer, err := p.ask(ctx, owner, need); err == nil {
		t.Wait = answer.Wait
		t.Engine, found = find(all, answer.Engine)
	} else if ctx.Err() == nil {
		p.config.Owners.Avoid(owner.ID, now)
		p.config.Logger.Warn("keeper of engines failed", "request", need.RequestID, "service", need.Service,
			"keeper", string(owner.ID), "error", err.Error())
	}
	if found {
		return t, true
	}
	t.Keeper = ""
	t.Engine, found = balance.Engine(all, balance.Need{Prefix: sharedPrefix(need), Near: p.config.Near, Tried: need.Tried}, random)
	return t, found
}

// sharedPrefix names the parts that other requests may share; 0 for none.
func sharedPrefix(need Need) uint64 {
	chain := chainOf(need.Parts)
	if len(chain) < 2 {
		return 0
	}
	return chain[len(chain)-2]
}

func (p *Placer) ask(ctx context.Context, owner host.Info, need Need) (placed, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	return link.CallRepeatable[Need, placed](ctx, p.config.Caller, owner.LinkAddr, placeMethod, need)
}

func find(all []instance.Status, id instance.ID) (instance.Status, bool) {
	for _, s := range all {
		if s.ID == id {
			return s, true
		}
	}
	return instance.Status{}, false
}

// keep chooses by this host's book.
func (p *Placer) keep(need Need) placed {
	service, known := p.config.Service(need.Service)
	if !known || service.Engine == nil {
		return placed{}
	}
	now := time.Now()
	all := p.config.Engines.Service(need.Service, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	limits := Limits{Concurrency: service.Engine.Concurrency, CacheTokens: service.Engine.CacheTokens}
	id, wait, found := p.book(need.Service).place(now, all, limits, need)
	if !found {
		return placed{}
	}
	return placed{Engine: id, Wait: wait}
}

func (p *Placer) book(service string) *book {
	b := p.books[service]
	if b == nil {
		b = newBook()
		p.books[service] = b
	}
	return b
}

// take enters a note in this host's book.
func (p *Placer) take(n note) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.book(n.Service)
	if n.Ended {
		b.end(n.RequestID)
		return
	}
	b.first(time.Now(), n.RequestID)
}

// First tells that the first event has come.
func (t Ticket) First() { t.tell(t.note) }

// End tells that the engine no longer runs the request.
func (t Ticket) End() {
	n := t.note
	n.Ended = true
	t.tell(n)
}

// tell tells the keeper in the background. A keeper that is not told counts the
// request as ended after a while.
func (t Ticket) tell(n note) {
	if t.placer == nil {
		return
	}
	owner, own := t.placer.config.Owners.Owner(n.Service, time.Now())
	if own {
		t.placer.take(n)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), noteTimeout)
		defer cancel()
		_, err := link.CallRepeatable[note, struct{}](ctx, t.placer.config.Caller, owner.LinkAddr, noteMethod, n)
		if err != nil {
			t.placer.config.Logger.Debug("keeper of engines not told", "request", n.RequestID,
				"keeper", string(owner.ID), "error", err.Error())
		}
	}()
}
