package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/galenaseam/galenaseam/platform"
	"github.com/galenaseam/galenaseam/platform/platformtest"
)

// Services and route of the case: three stages, each after the one before, and then the model.
const (
	modelService = "model"
	routeHost    = "shop.example"
	answersPath  = "/answers/"
)

// stageNames are the services of the stages, in order.
var stageNames = []string{"encode", "retrieve", "rerank"}

// askedPiece is a piece as a stage server was asked for it.
type askedPiece struct {
	ID      string   `json:"id"`
	Phase   int      `json:"phase"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

// stageServer is a stage server that makes what it is asked for and records it.
type stageServer struct {
	id       string
	listener net.Listener

	mu    sync.Mutex // guards asked
	asked []askedPiece
	at    []time.Time
}

func (s *stageServer) start(store *platformtest.Store, service, zone string) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listener = listener
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.StageRunPath, s.run)
	mux.HandleFunc("POST "+platform.StageFreePath, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"queued":0,"busy":false,"free_mb":30}`)
	})
	go func() { _ = http.Serve(listener, mux) }() //nolint:gosec // callers are the case's own hosts
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": listener.Addr().String(), "zone": zone, "version": "v1", "concurrency": 1,
		"state": "ready", "warmup_left_ms": 0, "seq": 1, "born": time.Now().Add(-time.Minute).UnixMilli(),
	})
	if err != nil {
		return err
	}
	store.Put("servers/"+s.id, entry)
	return nil
}

func (s *stageServer) run(w http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get(wire.ExpectedServer); expected != "" && expected != s.id {
		w.Header().Set(wire.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var call struct {
		Items []askedPiece `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for _, i := range call.Items {
		s.asked, s.at = append(s.asked, i), append(s.at, time.Now())
	}
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	results := make([]map[string]string, 0, len(call.Items))
	for _, i := range call.Items {
		results = append(results, map[string]string{"handle": fmt.Sprintf("%s/%s%d%d", s.listener.Addr(), i.ID, i.Phase, i.Segment)})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(wire.Load, "1,0,1")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": results}) // the host may have left
}

// stagedConfig returns a configuration with one route through all stages.
func stagedConfig() ([]byte, error) {
	var stages, services []map[string]any
	for i, name := range stageNames {
		after := []int{}
		if i > 0 {
			after = []int{i - 1}
		}
		stages = append(stages, map[string]any{"service": name, "after": after, "bytes": 8000})
		services = append(services, map[string]any{"name": name, "max_conns": 720, "segments": map[string]any{
			"concurrency": 1, "queue": 2, "batch": 8, "call_ms": 20, "item_ms": 1, wire.ResultMemory: 36, "handle_s": 4, "link_mbps": 10000,
		}})
	}
	services = append(services, map[string]any{"name": modelService, "max_conns": 720, "engine": map[string]any{"concurrency": 64, "kv_capacity": 557011}})
	return json.Marshal(map[string]any{
		"version": 1, "services": services,
		"routes": []map[string]any{{
			"name": "answers", "host": routeHost, "prefix": answersPath, "type": "stream", "timeout_ms": 10000, "goal_ms": 1700,
			"priority": 0, "service": modelService, "max_attempts": 1, "itl_target_ms": 200, "stages": stages, "resumable": false,
		}},
		"limits":  map[string]any{"max_body_bytes": 1 << 20, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "welders", wire.TenantKeys: []string{"key-0"}}},
	})
}

// startStages starts two servers of each stage.
func startStages(store *platformtest.Store) (servers []*stageServer, err error) {
	for n, service := range stageNames {
		for i := range 2 {
			s := &stageServer{id: fmt.Sprintf("i-%s-%d", service, i)}
			if err := s.start(store, service, zones[(n+i)%len(zones)]); err != nil {
				return servers, err
			}
			servers = append(servers, s)
		}
	}
	return servers, nil
}

// startModels starts two model servers.
func startModels(store *platformtest.Store) (models []*platformtest.Upstream) {
	for i := range 2 {
		u := (&platformtest.Upstream{
			ID: fmt.Sprintf("i-model-%d", i), Service: modelService, Zone: zones[i], Events: 5, EventPause: 5 * time.Millisecond,
			Work: 10 * time.Millisecond, StartTime: time.Now().Add(-time.Minute),
		}).Start()
		u.Register(store, "ready")
		models = append(models, u)
	}
	return models
}

// omittedStage sends requests that omit a stage, and checks that no piece of a stage after
// others is asked for without inputs.
func omittedStage(r *run) (held bool, err error) {
	store := platformtest.NewStore()
	defer store.Close()
	servers, err := startStages(store)
	if err != nil {
		return false, err
	}
	models := startModels(store)
	for _, u := range models {
		defer u.Close()
	}
	config, err := stagedConfig()
	if err != nil {
		return false, err
	}
	store.Put(platform.ConfigKey, config)
	f, err := newFleet(r.dir, 3, store.Addr().String())
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := f.start(r.ctx); err != nil {
		return false, err
	}
	time.Sleep(stableWindow)
	pieces := "1,2,3"
	if r.trouble {
		pieces = "1,0,3"
	}
	for i := range 12 {
		askStaged(r, f.hosts[i%len(f.hosts)], fmt.Sprintf("%016x", i+1), pieces)
	}
	return checkInputs(r, servers, models), nil
}

// checkInputs reports whether each piece of a stage after others was given inputs.
func checkInputs(r *run, servers []*stageServer, models []*platformtest.Upstream) (held bool) {
	held = true
	for _, s := range servers {
		s.mu.Lock()
		for i, p := range s.asked {
			verdict := "allowed"
			if p.Phase > 0 && len(p.Inputs) == 0 {
				held, verdict = false, "BROKEN: a piece of a stage with `after` is given no inputs"
			}
			r.record.noteAt(s.at[i], "%s is asked for piece %d of stage %d of %s: key %q, inputs %v; %s", s.id, p.Segment, p.Phase, p.ID, p.Key, p.Inputs, verdict)
		}
		s.mu.Unlock()
	}
	for _, u := range models {
		for _, run := range u.Runs() {
			r.record.noteAt(run.StartedAt, "%s runs %s with inputs %q", u.ID, run.RequestID, run.Header.Get("Inputs"))
		}
	}
	return held
}

// askStaged sends one request with a number of pieces for each stage.
func askStaged(r *run, h *entryHost, id, pieces string) {
	ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.callerAddr()+answersPath+"1", strings.NewReader("question"))
	if err != nil {
		return
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		wire.RequestID: id, "Deadline-Ms": "5000", "Authorization": "Bearer key-0", "Chunks": pieces, wire.PieceKey: "7c1e07a291bd",
		"Model": "m", wire.Tokens: "600,80", wire.PromptParts: "5c1e07a2:400,91bd3f06:200",
	} {
		request.Header.Set(name, value)
	}
	at := time.Now()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		r.record.noteAt(at, "%s with Chunks: %s sent to %s: %v", id, pieces, h.name, err)
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	r.record.noteAt(at, "%s with Chunks: %s sent to %s: status %d, %d bytes, error %v", id, pieces, h.name, answer.StatusCode, len(body), err)
}
