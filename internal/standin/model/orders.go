package model

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// Loaded is a model that an engine is told to hold.
type Loaded struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// State is loading or ready. It is ignored in orders.
	State string `json:"state,omitempty"`
}

// Order tells an engine which models to hold and which role to play.
type Order struct {
	// Fencing grows with each new giver of orders.
	Fencing int64    `json:"fencing"`
	Models  []Loaded `json:"models"`
	Role    string   `json:"role,omitempty"`
}

// State is what an engine says about itself.
type State struct {
	Fencing int64    `json:"fencing"`
	Models  []Loaded `json:"models"`
	Role    string   `json:"role,omitempty"`
	// Orders counts the orders taken, Stale those with an old fencing number
	// that an engine without a check took all the same.
	Orders int `json:"orders"`
	Stale  int `json:"stale"`
	// Reversals counts the models whose version went back by an order.
	Reversals int `json:"reversals"`
}

// The states of a model on an engine.
const (
	stateLoading = "loading"
	stateReady   = "ready"
)

// catalogue is the models that an engine holds. It is safe for concurrent use.
type catalogue struct {
	cfg    *EngineConfig
	ctx    context.Context
	cancel context.CancelFunc
	loads  sync.WaitGroup

	mu    sync.Mutex
	state State
}

func newCatalogue(cfg *EngineConfig) *catalogue {
	c := &catalogue{cfg: cfg, state: State{Models: []Loaded{}}}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for _, m := range cfg.Models {
		m.State = stateReady
		c.state.Models = append(c.state.Models, m)
	}
	return c
}

func (c *catalogue) stop() {
	c.cancel()
	c.loads.Wait()
}

func (c *catalogue) snapshot() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.state
	state.Models = append([]Loaded{}, c.state.Models...)
	return state
}

// serves says whether the engine can answer for a model. An engine that was
// given no models answers for all.
func (c *catalogue) serves(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.state.Models) == 0 && c.state.Orders == 0 {
		return true
	}
	for _, m := range c.state.Models {
		if m.State == stateReady && m.answersTo(name) {
			return true
		}
	}
	return false
}

// answersTo matches the model's name, name@version, or name:adapter.
func (m Loaded) answersTo(name string) bool {
	if name == m.Name || name == m.Name+"@"+m.Version {
		return true
	}
	for _, adapter := range m.Adapters {
		if name == m.Name+":"+adapter {
			return true
		}
	}
	return false
}

// order takes an order, unless its fencing number is old and is checked.
func (c *catalogue) order(o Order) (State, bool) {
	c.mu.Lock()
	stale := o.Fencing < c.state.Fencing
	if stale && c.cfg.ChecksFencing {
		c.mu.Unlock()
		return c.snapshot(), false
	}
	c.state.Orders++
	if stale {
		c.state.Stale++
	}
	c.state.Fencing = o.Fencing
	c.state.Role = o.Role
	c.replace(o.Models)
	c.mu.Unlock()
	return c.snapshot(), true
}

// replace sets the models and starts loading the new ones. The caller holds mu.
func (c *catalogue) replace(models []Loaded) {
	old := map[string]Loaded{}
	for _, m := range c.state.Models {
		old[m.Name] = m
	}
	c.state.Models = []Loaded{}
	for _, m := range models {
		have, held := old[m.Name]
		m.State = stateReady
		if !held || have.Version != m.Version || have.State != stateReady {
			m.State = stateLoading
			c.load(m)
		}
		if held && m.Version < have.Version {
			c.state.Reversals++
		}
		c.state.Models = append(c.state.Models, m)
	}
}

// load fetches a model in the background. The caller holds mu.
func (c *catalogue) load(m Loaded) {
	c.loads.Add(1)
	go func() {
		defer c.loads.Done()
		for c.fetch(m) != nil {
			if c.ctx.Err() != nil {
				return
			}
			time.Sleep(c.cfg.LoadRetry)
		}
		c.ready(m)
	}()
}

// fetch downloads a model's weights, if there is a weight store.
func (c *catalogue) fetch(m Loaded) error {
	if c.cfg.WeightsURL == "" {
		return c.ctx.Err()
	}
	url := c.cfg.WeightsURL + "/weights/" + m.Name + "/" + m.Version
	req, err := http.NewRequestWithContext(c.ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return server.Error.New("weight store: %s", resp.Status)
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// ready marks a model as loaded if it is still wanted.
func (c *catalogue) ready(m Loaded) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.state.Models {
		held := &c.state.Models[i]
		if held.Name == m.Name && held.Version == m.Version {
			held.State = stateReady
		}
	}
}

// handleOrder serves POST /admin/orders.
func (c *catalogue) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		server.Refuse(w, http.StatusBadRequest, "not an order")
		return
	}
	state, ok := c.order(o)
	if !ok {
		server.WriteJSON(w, http.StatusConflict, state)
		return
	}
	server.WriteJSON(w, http.StatusOK, state)
}

// handleState serves GET /admin/state.
func (c *catalogue) handleState(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, c.snapshot())
}
