package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"

	"github.com/galenaseam/galenaseam/upstream"
)

// maxStateBytes bounds the size of an engine's answer.
const maxStateBytes = 1 << 20

// stateReady is the state of a model that an engine can serve.
const stateReady = "ready"

// EngineModel is one model on an engine: its version, adapters and state.
type EngineModel struct {
	Name     string   `json:"name" cbor:"1,keyasint"`
	Version  string   `json:"version" cbor:"2,keyasint"`
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	// State is "loading" or "ready", and empty in orders.
	State string `json:"state,omitempty" cbor:"-"`
}

// sameWeights reports whether two entries have the same model, version and
// adapters.
func (m EngineModel) sameWeights(other EngineModel) bool {
	return m.Name == other.Name && m.Version == other.Version && slices.Equal(m.Adapters, other.Adapters)
}

// Order lists everything that an engine must hold. It replaces the order before
// it, so repeating an order changes nothing.
type Order struct {
	Fencing int64         `json:"fencing"`
	Models  []EngineModel `json:"models"`
	Role    string        `json:"role,omitempty"`
}

// EngineState is what an engine reports about itself.
type EngineState struct {
	Fencing int64         `json:"fencing"`
	Models  []EngineModel `json:"models"`
	Role    string        `json:"role,omitempty"`
}

// model returns the engine's entry for a model.
func (s EngineState) model(name string) (EngineModel, bool) {
	for _, m := range s.Models {
		if m.Name == name {
			return m, true
		}
	}
	return EngineModel{}, false
}

// Engine is an engine that accepts orders. Implementations are safe for
// concurrent use.
type Engine interface {
	ID() upstream.ID
	// Order sends an order. It returns ErrStaleOrder when the engine refused
	// it as stale; after any other error the order may or may not have taken
	// effect.
	Order(ctx context.Context, order Order) (EngineState, error)
	// State asks the engine what it holds.
	State(ctx context.Context) (EngineState, error)
}

// HTTPEngine controls an engine over HTTP, with POST /admin/orders and
// GET /admin/state.
type HTTPEngine struct {
	id     upstream.ID
	base   string
	client *http.Client
}

// NewHTTPEngine returns a client for one engine. base is its URL without a path.
func NewHTTPEngine(id upstream.ID, base string, client *http.Client) *HTTPEngine {
	return &HTTPEngine{id: id, base: base, client: client}
}

// ID implements Engine.
func (e *HTTPEngine) ID() upstream.ID { return e.id }

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, order Order) (EngineState, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return EngineState{}, Error.Wrap(err)
	}
	return e.do(ctx, http.MethodPost, "/admin/orders", body)
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (EngineState, error) {
	return e.do(ctx, http.MethodGet, "/admin/state", nil)
}

// do makes one call and decodes the engine's state from the response. Status 409
// means that the engine refused a stale order.
func (e *HTTPEngine) do(ctx context.Context, method, path string, body []byte) (EngineState, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return EngineState{}, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return EngineState{}, Error.Wrap(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return EngineState{}, Error.Wrap(ErrStaleOrder)
	default:
		return EngineState{}, Error.New("engine %s answered with status %s", e.id, response.Status)
	}
	var state EngineState
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, Error.Wrap(err)
}
