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

// EngineModel is a model that an engine has, or is ordered to load.
type EngineModel struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
	// State is loading or ready. It is ignored in orders.
	State string `json:"state,omitempty"`
}

// Order tells an engine which models to load and which role to take.
type Order struct {
	// Fencing is the fencing number of the sender of the order. It increases
	// with each new sender.
	Fencing int64         `json:"fencing"`
	Models  []EngineModel `json:"models"`
	Role    string        `json:"role,omitempty"`
}

// State is the state that an engine reports.
type State struct {
	Fencing int64         `json:"fencing"`
	Models  []EngineModel `json:"models"`
	Role    string        `json:"role,omitempty"`
	// Orders counts the orders that were applied. Stale counts those among them
	// with an outdated fencing number; an engine that checks fencing refuses
	// these.
	Orders int `json:"orders"`
	Stale  int `json:"stale"`
	// Reversals counts how often an order replaced a model by an older version
	// of it.
	Reversals int `json:"reversals"`
}

// The states of a model on an engine.
const (
	stateLoading = "loading"
	stateReady   = "ready"
)

// modelSet holds the models of an engine and loads new ones. It is safe for
// concurrent use.
type modelSet struct {
	cfg    *EngineConfig
	ctx    context.Context
	cancel context.CancelFunc
	loads  sync.WaitGroup

	mu    sync.Mutex
	state State
}

func newModelSet(cfg *EngineConfig) *modelSet {
	s := &modelSet{cfg: cfg, state: State{Models: []EngineModel{}}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	for _, m := range cfg.Models {
		m.State = stateReady
		s.state.Models = append(s.state.Models, m)
	}
	return s
}

func (s *modelSet) stop() {
	s.cancel()
	s.loads.Wait()
}

func (s *modelSet) snapshot() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.state
	state.Models = append([]EngineModel{}, s.state.Models...)
	return state
}

// canServe reports whether the engine can serve a model. An engine that was
// never given models serves any.
func (s *modelSet) canServe(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.state.Models) == 0 && s.state.Orders == 0 {
		return true
	}
	for _, m := range s.state.Models {
		if m.State == stateReady && m.matches(name) {
			return true
		}
	}
	return false
}

// matches reports whether name is the model's name, name@version or
// name:adapter.
func (m EngineModel) matches(name string) bool {
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

// applyOrder applies an order and returns the new state. It returns false if the
// engine checks fencing and the order's fencing number is outdated.
func (s *modelSet) applyOrder(o Order) (State, bool) {
	s.mu.Lock()
	stale := o.Fencing < s.state.Fencing
	if stale && s.cfg.ChecksFencing {
		s.mu.Unlock()
		return s.snapshot(), false
	}
	s.state.Orders++
	if stale {
		s.state.Stale++
	}
	s.state.Fencing = o.Fencing
	s.state.Role = o.Role
	s.setModels(o.Models)
	s.mu.Unlock()
	return s.snapshot(), true
}

// setModels replaces the models and starts to load the new ones. The caller
// holds mu.
func (s *modelSet) setModels(models []EngineModel) {
	old := map[string]EngineModel{}
	for _, m := range s.state.Models {
		old[m.Name] = m
	}
	s.state.Models = []EngineModel{}
	for _, m := range models {
		previous, existed := old[m.Name]
		m.State = stateReady
		if !existed || previous.Version != m.Version || previous.State != stateReady {
			m.State = stateLoading
			s.startLoading(m)
		}
		if existed && m.Version < previous.Version {
			s.state.Reversals++
		}
		s.state.Models = append(s.state.Models, m)
	}
}

// startLoading downloads a model in the background, with retries until it
// succeeds. The caller holds mu.
func (s *modelSet) startLoading(m EngineModel) {
	s.loads.Add(1)
	go func() {
		defer s.loads.Done()
		for s.download(m) != nil {
			if s.ctx.Err() != nil {
				return
			}
			time.Sleep(s.cfg.LoadRetry)
		}
		s.markReady(m)
	}()
}

// download downloads a model's weights if there is a weight store.
func (s *modelSet) download(m EngineModel) error {
	if s.cfg.WeightsURL == "" {
		return s.ctx.Err()
	}
	url := s.cfg.WeightsURL + "/weights/" + m.Name + "/" + m.Version
	req, err := http.NewRequestWithContext(s.ctx, http.MethodGet, url, nil)
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

// markReady marks a model as ready unless an order has removed it or changed
// its version.
func (s *modelSet) markReady(m EngineModel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.state.Models {
		loaded := &s.state.Models[i]
		if loaded.Name == m.Name && loaded.Version == m.Version {
			loaded.State = stateReady
		}
	}
}

// handleOrder serves POST /admin/orders.
func (s *modelSet) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		server.Refuse(w, http.StatusBadRequest, "not an order")
		return
	}
	state, ok := s.applyOrder(o)
	if !ok {
		server.WriteJSON(w, http.StatusConflict, state)
		return
	}
	server.WriteJSON(w, http.StatusOK, state)
}

// handleState serves GET /admin/state.
func (s *modelSet) handleState(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, s.snapshot())
}
