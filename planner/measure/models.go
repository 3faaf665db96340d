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

// modelsTopic is the gossip topic of the models that each engine can serve.
const modelsTopic member.Topic = "models"

// stateReady is the state of a model that an engine can serve.
const stateReady = "ready"

// ModelSharing shares with all hosts which models the engines can serve, as read
// by the host that plans for them. It is safe for concurrent use.
type ModelSharing struct {
	gossip member.Gossip
	report func(upstream.ID, []string)

	heldMu sync.Mutex // guards held
	// held is what each engine held when this host last read its state.
	held map[upstream.ID][]planner.EngineModel
}

// NewModelSharing returns a ModelSharing that is subscribed to what other hosts
// share. It calls report with the names of the models that an engine can serve,
// whether this host or another one read them.
func NewModelSharing(gossip member.Gossip, report func(upstream.ID, []string)) *ModelSharing {
	m := &ModelSharing{gossip: gossip, report: report, held: make(map[upstream.ID][]planner.EngineModel)}
	gossip.Subscribe(modelsTopic, m.receive)
	return m
}

// receive reports what another host read from an engine. Facts that can't be
// decoded are ignored.
func (m *ModelSharing) receive(f member.Fact) {
	var names []string
	if err := cbor.Unmarshal(f.Payload, &names); err == nil {
		m.report(upstream.ID(f.Key), names)
	}
}

// Version returns the version of a model that an engine held when this host last
// read its state.
func (m *ModelSharing) Version(engine upstream.ID, model string) (string, bool) {
	m.heldMu.Lock()
	defer m.heldMu.Unlock()
	for _, held := range m.held[engine] {
		if held.Name == model {
			return held.Version, true
		}
	}
	return "", false
}

// Share wraps an engine so that every state it returns is shared.
func (m *ModelSharing) Share(engine planner.Engine) planner.Engine {
	return &sharingEngine{Engine: engine, models: m}
}

// sharingEngine is an engine whose returned states are shared with all hosts.
type sharingEngine struct {
	planner.Engine
	models *ModelSharing
}

// Order sends an order and shares the state that the engine answers with.
func (e *sharingEngine) Order(ctx context.Context, order planner.Order) (planner.EngineState, error) {
	state, err := e.Engine.Order(ctx, order)
	if err == nil {
		e.models.record(e.ID(), state.Models)
	}
	return state, err
}

// State reads the engine's state and shares it.
func (e *sharingEngine) State(ctx context.Context) (planner.EngineState, error) {
	state, err := e.Engine.State(ctx)
	if err == nil {
		e.models.record(e.ID(), state.Models)
	}
	return state, err
}

// record stores and reports an engine's state, and publishes it to the other
// hosts when the models that can be served changed.
func (m *ModelSharing) record(engine upstream.ID, held []planner.EngineModel) {
	names := readyModelNames(held)
	m.heldMu.Lock()
	changed := !slices.Equal(readyModelNames(m.held[engine]), names)
	_, known := m.held[engine]
	m.held[engine] = held
	m.heldMu.Unlock()
	m.report(engine, names)
	if known && !changed {
		return
	}
	// If the fact is too large to publish, the other hosts find out only when
	// an engine refuses a call.
	if payload, err := cbor.Marshal(names); err == nil {
		_ = m.gossip.Publish(modelsTopic, string(engine), payload)
	}
}

// readyModelNames returns the sorted names of the models that can be served.
func readyModelNames(held []planner.EngineModel) []string {
	names := []string{}
	for _, model := range held {
		if model.State == stateReady {
			names = append(names, model.Name)
		}
	}
	slices.Sort(names)
	return names
}
