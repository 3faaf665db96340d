package measure

import (
	"context"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/galenaseam/galenaseam/member"
	"github.com/galenaseam/galenaseam/planner"
	"github.com/galenaseam/galenaseam/upstream"
)

// modelsTopic is the topic of the facts about which models engines serve.
const modelsTopic member.Topic = "models"

// modelReady is how an engine marks a model that it can serve.
const modelReady = "ready"

// Models shares between hosts what the planning host reads back from engines.
// It is safe for concurrent use.
type Models struct {
	gossip member.Gossip
	report func(upstream.ID, []string)

	heldMu sync.Mutex // guards held
	held   map[upstream.ID][]planner.EngineModel
}

// NewModels makes a Models. report is told, on every host, which models an
// engine can serve.
func NewModels(gossip member.Gossip, report func(upstream.ID, []string)) *Models {
	m := &Models{gossip: gossip, report: report, held: make(map[upstream.ID][]planner.EngineModel)}
	gossip.Subscribe(modelsTopic, m.hear)
	return m
}

// hear takes in what another host read back. What can't be read is ignored.
func (m *Models) hear(f member.Fact) {
	var names []string
	if err := cbor.Unmarshal(f.Payload, &names); err == nil {
		m.report(upstream.ID(f.Key), names)
	}
}

// Version tells which version of a model an engine held when it was last read.
func (m *Models) Version(engine upstream.ID, model string) (string, bool) {
	m.heldMu.Lock()
	defer m.heldMu.Unlock()
	for _, h := range m.held[engine] {
		if h.Name == model {
			return h.Version, true
		}
	}
	return "", false
}

// Watch wraps an engine so that what is read back from it is shared.
func (m *Models) Watch(engine planner.Engine) planner.Engine {
	return &watched{Engine: engine, models: m}
}

// watched is an engine whose states are shared.
type watched struct {
	planner.Engine
	models *Models
}

// Order gives an order and shares the state that the engine answers with.
func (w *watched) Order(ctx context.Context, order planner.Order) (planner.EngineState, error) {
	state, err := w.Engine.Order(ctx, order)
	if err == nil {
		w.models.read(w.ID(), state.Models)
	}
	return state, err
}

// State reads the engine's state back and shares it.
func (w *watched) State(ctx context.Context) (planner.EngineState, error) {
	state, err := w.Engine.State(ctx)
	if err == nil {
		w.models.read(w.ID(), state.Models)
	}
	return state, err
}

// read keeps an engine's state and tells the other hosts of a change.
func (m *Models) read(engine upstream.ID, held []planner.EngineModel) {
	names := readyNames(held)
	m.heldMu.Lock()
	changed := !slices.Equal(readyNames(m.held[engine]), names)
	_, known := m.held[engine]
	m.held[engine] = held
	m.heldMu.Unlock()
	m.report(engine, names)
	if known && !changed {
		return
	}
	// A fact that is too large leaves the other hosts to learn by refusals.
	if payload, err := cbor.Marshal(names); err == nil {
		_ = m.gossip.Publish(modelsTopic, string(engine), payload)
	}
}

// readyNames lists the models that can be served.
func readyNames(held []planner.EngineModel) []string {
	names := []string{}
	for _, h := range held {
		if h.State == modelReady {
			names = append(names, h.Name)
		}
	}
	slices.Sort(names)
	return names
}
