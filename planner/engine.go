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

// maxStateBytes bounds an engine's answer.
const maxStateBytes = 1 << 20

// stateReady is how an engine marks a model that it can serve.
const stateReady = "ready"

// Held is one model on an engine.
type Held struct {
	Name     string   `json:"name" cbor:"1,keyasint"`
	Version  string   `json:"version" cbor:"2,keyasint"`
	Adapters []string `json:"adapters,omitempty" cbor:"3,keyasint,omitempty"`
	// State is "loading" or "ready"; empty in orders.
	State string `json:"state,omitempty" cbor:"-"`
}

// same says whether two entries are for the same weights and adapters.
func (h Held) same(other Held) bool {
	return h.Name == other.Name && h.Version == other.Version && slices.Equal(h.Adapters, other.Adapters)
}

// Order tells an engine everything it is to hold. Orders are absolute, so that
// giving one again changes nothing.
type Order struct {
	Fencing int64  `json:"fencing"`
	Models  []Held `json:"models"`
	Role    string `json:"role,omitempty"`
}

// State is what an engine says of itself.
type State struct {
	Fencing int64  `json:"fencing"`
	Models  []Held `json:"models"`
	Role    string `json:"role,omitempty"`
}

// held returns one model of a state.
func (s State) held(name string) (Held, bool) {
	for _, h := range s.Models {
		if h.Name == name {
			return h, true
		}
	}
	return Held{}, false
}

// Engine is one engine that takes orders. Implementations are safe for
// concurrent use.
type Engine interface {
	ID() upstream.ID
	// Order gives an order. It returns ErrStaleOrder when the engine refused
	// it; any other error leaves open whether it took effect.
	Order(ctx context.Context, order Order) (State, error)
	// State reads back what the engine holds.
	State(ctx context.Context) (State, error)
}

// HTTPEngine is an engine behind its HTTP interface: POST /admin/orders and
// GET /admin/state.
type HTTPEngine struct {
	id     upstream.ID
	base   string
	client *http.Client
}

// NewHTTPEngine makes the client of one engine. base is its URL without a path.
func NewHTTPEngine(id upstream.ID, base string, client *http.Client) *HTTPEngine {
	return &HTTPEngine{id: id, base: base, client: client}
}

// ID implements Engine.
func (e *HTTPEngine) ID() upstream.ID { return e.id }

// Order implements Engine.
func (e *HTTPEngine) Order(ctx context.Context, order Order) (State, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return State{}, Error.Wrap(err)
	}
	return e.do(ctx, http.MethodPost, "/admin/orders", body)
}

// State implements Engine.
func (e *HTTPEngine) State(ctx context.Context) (State, error) {
	return e.do(ctx, http.MethodGet, "/admin/state", nil)
}

// do makes one call and reads the engine's state from the answer.
func (e *HTTPEngine) do(ctx context.Context, method, path string, body []byte) (State, error) {
	request, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return State{}, Error.Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := e.client.Do(request)
	if err != nil {
		return State{}, Error.Wrap(err)
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusConflict:
		return State{}, Error.Wrap(ErrStaleOrder)
	default:
		return State{}, Error.New("engine %s: %s", e.id, response.Status)
	}
	var state State
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, Error.Wrap(err)
}
