// Package measure counts the work of each model on a host and shares the
// counts between hosts, so that a planner knows the fleet's demand.
package measure

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/host"
	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/planner"
	"github.com/galenaseam/galenaseam/upstream"
)

// Error is the class of every error this package returns.
var Error = errs.Class("measure")

const (
	// topic is the topic of the facts that hosts spread.
	topic member.Topic = "demand"
	// publishEvery is how often a host tells its demand.
	publishEvery = 5 * time.Second
	// factLife is how long another host's demand counts without news.
	factLife = 30 * time.Second
	// halfLife is how fast the averages follow a change.
	halfLife = 10 * time.Second
	// minCalls is how many calls of a version are needed to judge it.
	minCalls = 20
)

// Meter counts attempts by model, and their failures by engine. It is safe for
// concurrent use.
type Meter struct {
	gossip member.Gossip
	now    func() time.Time

	countsMu sync.Mutex // guards what follows
	models   map[string]*load
	engines  map[engineModel]*calls
	heard    map[heardKey]heardLoad
}

// load is the average number of attempts that run at once.
type load struct {
	running int
	average float64
	updated time.Time
}

// engineModel names one model on one engine.
type engineModel struct {
	engine upstream.ID
	model  string
}

// calls counts ended attempts, old ones with less weight.
type calls struct {
	ended   float64
	failed  float64
	updated time.Time
}

// heardKey names what another host told.
type heardKey struct {
	host  host.ID
	model string
}

// heardLoad is another host's average.
type heardLoad struct {
	average float64
	at      time.Time
}

// New makes a Meter and takes in other hosts' facts.
func New(gossip member.Gossip, now func() time.Time) *Meter {
	m := &Meter{
		gossip:  gossip,
		now:     now,
		models:  make(map[string]*load),
		engines: make(map[engineModel]*calls),
		heard:   make(map[heardKey]heardLoad),
	}
	gossip.Subscribe(topic, m.hear)
	return m
}

// Began counts an attempt in. Work without a model is not counted.
func (m *Meter) Began(model string) {
	if model == "" {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	l := m.loadOf(model)
	l.move(m.now())
	l.running++
}

// Ended counts an attempt out and says whether the engine failed it.
func (m *Meter) Ended(model string, engine upstream.ID, failed bool) {
	if model == "" {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	l := m.loadOf(model)
	l.move(now)
	l.running--
	key := engineModel{engine: engine, model: model}
	c := m.engines[key]
	if c == nil {
		c = &calls{updated: now}
		m.engines[key] = c
	}
	c.add(now, failed)
}

// loadOf returns a model's load. countsMu is held.
func (m *Meter) loadOf(model string) *load {
	l := m.models[model]
	if l == nil {
		l = &load{updated: m.now()}
		m.models[model] = l
	}
	return l
}

// keep is the weight that an average keeps after a time.
func keep(elapsed time.Duration) float64 { return math.Exp2(-float64(elapsed) / float64(halfLife)) }

// move brings the average up to now.
func (l *load) move(now time.Time) {
	weight := keep(now.Sub(l.updated))
	l.average = l.average*weight + float64(l.running)*(1-weight)
	l.updated = now
}

// add counts one ended attempt.
func (c *calls) add(now time.Time, failed bool) {
	weight := keep(now.Sub(c.updated))
	c.ended = c.ended*weight + 1
	c.failed *= weight
	if failed {
		c.failed++
	}
	c.updated = now
}

// Run tells the other hosts this host's demand until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(publishEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := m.publish(); err != nil {
				return err
			}
		}
	}
}

// publish spreads one fact for each model.
func (m *Meter) publish() error {
	for model, average := range m.own() {
		payload, err := cbor.Marshal(average)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := m.gossip.Publish(topic, model, payload); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// own returns this host's averages and forgets what is long gone.
func (m *Meter) own() map[string]float64 {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	averages := make(map[string]float64, len(m.models))
	for model, l := range m.models {
		l.move(now)
		averages[model] = l.average
	}
	for key, h := range m.heard {
		if now.Sub(h.at) > factLife {
			delete(m.heard, key)
		}
	}
	for key, c := range m.engines {
		if c.ended*keep(now.Sub(c.updated)) < 1 && now.Sub(c.updated) > factLife {
			delete(m.engines, key)
		}
	}
	return averages
}

// hear takes in another host's demand. What can't be read is ignored.
func (m *Meter) hear(f member.Fact) {
	var average float64
	if err := cbor.Unmarshal(f.Payload, &average); err != nil || math.IsNaN(average) || average < 0 {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	m.heard[heardKey{host: f.From, model: f.Key}] = heardLoad{average: average, at: m.now()}
}

// Demand returns the fleet's demand of a model when one copy runs a number of
// attempts at once.
func (m *Meter) Demand(model string, perCopy int) planner.Demand {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	total := 0.0
	if l := m.models[model]; l != nil {
		l.move(now)
		total = l.average
	}
	for key, h := range m.heard {
		if key.model == model && now.Sub(h.at) <= factLife {
			total += h.average
		}
	}
	return planner.Demand{Model: model, Copies: total / float64(max(perCopy, 1))}
}

// Failures returns the share of failed calls for each version, as far as this
// host has called it enough. version tells which version of a model an engine
// holds.
func (m *Meter) Failures(version func(engine upstream.ID, model string) (string, bool)) []planner.Failures {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	type named struct{ model, version string }
	sums := make(map[named]calls)
	for key, c := range m.engines {
		held, ok := version(key.engine, key.model)
		if !ok {
			continue
		}
		name := named{key.model, held}
		sum := sums[name]
		sum.ended += c.ended
		sum.failed += c.failed
		sums[name] = sum
	}
	var out []planner.Failures
	for name, sum := range sums {
		if sum.ended >= minCalls {
			out = append(out, planner.Failures{Model: name.model, Version: name.version, Share: sum.failed / sum.ended})
		}
	}
	return out
}
