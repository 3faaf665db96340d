// Package measure measures each model's load and failures on a host. Hosts share
// their load by gossip, so that a planner knows the fleet's demand.
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
	// demandTopic is the gossip topic of each host's average load by model.
	demandTopic member.Topic = "demand"
	// publishInterval is how often a host publishes its demand.
	publishInterval = 5 * time.Second
	// factTTL is how long another host's demand counts after its last update.
	factTTL = 30 * time.Second
	// halfLife is the time after which an average's old value counts half.
	halfLife = 10 * time.Second
	// minCalls is how many calls to a version are needed to report its share of
	// failures.
	minCalls = 20
)

// Meter measures the concurrency of attempts by model, and their failures by
// model and engine. It is safe for concurrent use.
type Meter struct {
	gossip member.Gossip
	now    func() time.Time

	countsMu sync.Mutex // guards the fields below
	loads    map[string]*averageLoad
	calls    map[engineModel]*callCounts
	remote   map[remoteKey]remoteAverage
}

// averageLoad is an exponentially decaying average of how many attempts run at
// once.
type averageLoad struct {
	running int
	average float64
	updated time.Time
}

// engineModel identifies one model on one engine.
type engineModel struct {
	engine upstream.ID
	model  string
}

// callCounts counts ended and failed attempts, with exponential decay.
type callCounts struct {
	ended   float64
	failed  float64
	updated time.Time
}

// remoteKey identifies one model's average from another host.
type remoteKey struct {
	host  host.ID
	model string
}

// remoteAverage is another host's average, with the time it was received.
type remoteAverage struct {
	average    float64
	receivedAt time.Time
}

// New returns a Meter that is subscribed to the other hosts' averages.
func New(gossip member.Gossip, now func() time.Time) *Meter {
	m := &Meter{
		gossip: gossip,
		now:    now,
		loads:  make(map[string]*averageLoad),
		calls:  make(map[engineModel]*callCounts),
		remote: make(map[remoteKey]remoteAverage),
	}
	gossip.Subscribe(demandTopic, m.receive)
	return m
}

// Began records the start of an attempt. Attempts without a model are not
// counted.
func (m *Meter) Began(model string) {
	if model == "" {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	l := m.loadOf(model)
	l.advance(m.now())
	l.running++
}

// Ended records the end of an attempt and whether the engine failed it.
func (m *Meter) Ended(model string, engine upstream.ID, failed bool) {
	if model == "" {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	l := m.loadOf(model)
	l.advance(now)
	l.running--
	key := engineModel{engine: engine, model: model}
	c := m.calls[key]
	if c == nil {
		c = &callCounts{updated: now}
		m.calls[key] = c
	}
	c.add(now, failed)
}

// loadOf returns a model's average load, which it creates if needed. countsMu
// must be held.
func (m *Meter) loadOf(model string) *averageLoad {
	l := m.loads[model]
	if l == nil {
		l = &averageLoad{updated: m.now()}
		m.loads[model] = l
	}
	return l
}

// decay returns the weight that an old value keeps after elapsed.
func decay(elapsed time.Duration) float64 { return math.Exp2(-float64(elapsed) / float64(halfLife)) }

// advance updates the average for the time since its last update.
func (l *averageLoad) advance(now time.Time) {
	weight := decay(now.Sub(l.updated))
	l.average = l.average*weight + float64(l.running)*(1-weight)
	l.updated = now
}

// add records one ended attempt.
func (c *callCounts) add(now time.Time, failed bool) {
	weight := decay(now.Sub(c.updated))
	c.ended = c.ended*weight + 1
	c.failed *= weight
	if failed {
		c.failed++
	}
	c.updated = now
}

// Run publishes this host's demand to the other hosts until ctx ends.
func (m *Meter) Run(ctx context.Context) error {
	ticker := time.NewTicker(publishInterval)
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

// publish gossips one fact for each model.
func (m *Meter) publish() error {
	for model, average := range m.localAverages() {
		payload, err := cbor.Marshal(average)
		if err != nil {
			return Error.Wrap(err)
		}
		if err := m.gossip.Publish(demandTopic, model, payload); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// localAverages returns this host's averages. It also removes expired averages
// of other hosts and decayed call counts.
func (m *Meter) localAverages() map[string]float64 {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	averages := make(map[string]float64, len(m.loads))
	for model, l := range m.loads {
		l.advance(now)
		averages[model] = l.average
	}
	for key, r := range m.remote {
		if now.Sub(r.receivedAt) > factTTL {
			delete(m.remote, key)
		}
	}
	for key, c := range m.calls {
		if c.ended*decay(now.Sub(c.updated)) < 1 && now.Sub(c.updated) > factTTL {
			delete(m.calls, key)
		}
	}
	return averages
}

// receive records another host's demand. Facts that can't be decoded are ignored.
func (m *Meter) receive(f member.Fact) {
	var average float64
	if err := cbor.Unmarshal(f.Payload, &average); err != nil || math.IsNaN(average) || average < 0 {
		return
	}
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	m.remote[remoteKey{host: f.From, model: f.Key}] = remoteAverage{average: average, receivedAt: m.now()}
}

// Demand returns the fleet's demand for a model in copies, if one copy runs
// perCopy attempts at once.
func (m *Meter) Demand(model string, perCopy int) planner.Demand {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	now := m.now()
	total := 0.0
	if l := m.loads[model]; l != nil {
		l.advance(now)
		total = l.average
	}
	for key, r := range m.remote {
		if key.model == model && now.Sub(r.receivedAt) <= factTTL {
			total += r.average
		}
	}
	return planner.Demand{Model: model, Copies: total / float64(max(perCopy, 1))}
}

// Failures returns the share of failed calls for each version to which this host
// has made at least minCalls calls lately. versionOf returns the version of a
// model that an engine holds.
func (m *Meter) Failures(versionOf func(engine upstream.ID, model string) (string, bool)) []planner.Failures {
	m.countsMu.Lock()
	defer m.countsMu.Unlock()
	type modelVersion struct{ model, version string }
	sums := make(map[modelVersion]callCounts)
	for key, c := range m.calls {
		version, ok := versionOf(key.engine, key.model)
		if !ok {
			continue
		}
		held := modelVersion{key.model, version}
		sum := sums[held]
		sum.ended += c.ended
		sum.failed += c.failed
		sums[held] = sum
	}
	var failures []planner.Failures
	for held, sum := range sums {
		if sum.ended >= minCalls {
			failures = append(failures, planner.Failures{Model: held.model, Version: held.version, Share: sum.failed / sum.ended})
		}
	}
	return failures
}
