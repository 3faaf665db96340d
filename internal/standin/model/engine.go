// Package model holds stand-ins for the four kinds of model servers: engines
// that generate text, encoders, retrievers and rerankers. Each answer follows
// from its own request alone, so that a caller can tell it from any other.
//
// Beyond the OpenAI shape, a chat request may carry continue_from, the text and
// the number of tokens that an earlier stream of the same request already gave:
// the answer starts after them. An engine also serves:
//
//	POST /v1/kv/export    a chat request; answers the digests of its cached blocks
//	POST /v1/kv/import    {"blocks": [...]}; takes blocks into the cache
//	GET  /v1/cache/events ?since=N; changes of the cache, late and with gaps
//	POST /admin/orders    an Order
//	GET  /admin/state     a State
package model

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// EngineConfig is the settings of an engine.
type EngineConfig struct {
	server.UpstreamConfig
	// FirstToken is the time to the first token without any prompt.
	FirstToken time.Duration
	// PerPromptToken is the time for each prompt token that is not cached.
	PerPromptToken time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// CacheBlocks is how many blocks of prompt prefixes the engine keeps.
	CacheBlocks int
	// CacheEventLag is how late cache events can be seen.
	CacheEventLag time.Duration
	// CacheEventGap hides each event whose number is a multiple; 0 hides none.
	CacheEventGap int64
	// Models are the models held at the start; none means any.
	Models []Loaded
	// ChecksFencing refuses orders with an old fencing number.
	ChecksFencing bool
	// WeightsURL is the weight store; empty means that models load at once.
	WeightsURL string
	// LoadRetry is the pause before a failed download is tried again.
	LoadRetry time.Duration
}

// defaultCacheBlocks is used when the settings name no size.
const defaultCacheBlocks = 512

// defaultLoadRetry is used when the settings name no pause.
const defaultLoadRetry = 200 * time.Millisecond

// Engine is a running stand-in.
type Engine struct {
	*server.Upstream
	cfg    EngineConfig
	cache  *prefixCache
	models *catalogue
}

// StartEngine serves an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	if cfg.LoadRetry == 0 {
		cfg.LoadRetry = defaultLoadRetry
	}
	e := &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks, cfg.CacheEventLag, cfg.CacheEventGap)}
	e.models = newCatalogue(&e.cfg)
	admin := map[string]http.HandlerFunc{
		"POST /admin/orders":   e.models.handleOrder,
		"GET /admin/state":     e.models.handleState,
		"GET /v1/cache/events": e.handleEvents,
		"POST /v1/kv/export":   e.handleExport,
		"POST /v1/kv/import":   e.handleImport,
	}
	u, err := server.StartUpstream(cfg.UpstreamConfig, e.work, admin, e.cache.share)
	if err != nil {
		e.models.stop()
		return nil, err
	}
	e.Upstream = u
	return e, nil
}

// Stop ends the engine.
func (e *Engine) Stop() {
	e.models.stop()
	e.Upstream.Stop()
}

// State returns what the engine says about itself.
func (e *Engine) State() State { return e.models.snapshot() }

// work serves the calls that run on the engine.
func (e *Engine) work(w http.ResponseWriter, call *server.Call) {
	if call.Request.URL.Path != "/v1/chat/completions" || call.Request.Method != http.MethodPost {
		server.Refuse(w, http.StatusNotFound, "no such path")
		return
	}
	e.chat(w, call)
}
