// Package model contains stand-ins for the four kinds of model servers: engines
// that generate text, encoders, retrievers and rerankers. Each answer depends
// only on its own request, so that a caller can detect the answer to another
// one.
//
// In addition to the OpenAI API, a chat request may contain continue_from: the
// text and the number of tokens that an earlier stream of the same request
// delivered. The answer then starts after them. An engine also serves:
//
//	POST /v1/kv/export    a chat request; returns the digests of its cached blocks
//	POST /v1/kv/import    {"blocks": [...]}; adds blocks to the cache
//	GET  /v1/cache/events ?since=N; changes of the cache, delayed and with gaps
//	POST /admin/orders    an Order
//	GET  /admin/state     a State
package model

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// EngineConfig holds the settings of an engine.
type EngineConfig struct {
	server.UpstreamConfig
	// FirstToken is the time to the first token for an empty or fully cached
	// prompt.
	FirstToken time.Duration
	// PerPromptToken is added to FirstToken for each prompt token that is not
	// cached.
	PerPromptToken time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// CacheBlocks is how many blocks of prompt prefixes the engine caches.
	CacheBlocks int
	// CacheEventLag is the delay after which a cache event is returned.
	CacheEventLag time.Duration
	// CacheEventGap hides each cache event whose sequence number is a multiple
	// of it; 0 hides none.
	CacheEventGap int64
	// Models are loaded at the start. If there are none, the engine serves any
	// model until its first order.
	Models []EngineModel
	// ChecksFencing makes the engine refuse orders with an outdated fencing
	// number.
	ChecksFencing bool
	// WeightsURL is the base URL of the weight store. If it is empty, models
	// are ready without a download.
	WeightsURL string
	// LoadRetry is the pause before a failed download is retried.
	LoadRetry time.Duration
}

// defaultCacheBlocks replaces an EngineConfig.CacheBlocks of 0.
const defaultCacheBlocks = 512

// defaultLoadRetry replaces an EngineConfig.LoadRetry of 0.
const defaultLoadRetry = 200 * time.Millisecond

// Engine is a running stand-in for an engine.
type Engine struct {
	*server.Upstream
	cfg    EngineConfig
	cache  *prefixCache
	models *modelSet
}

// StartEngine starts an engine.
func StartEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = defaultCacheBlocks
	}
	if cfg.LoadRetry == 0 {
		cfg.LoadRetry = defaultLoadRetry
	}
	e := &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks, cfg.CacheEventLag, cfg.CacheEventGap)}
	e.models = newModelSet(&e.cfg)
	admin := map[string]http.HandlerFunc{
		"POST /admin/orders":   e.models.handleOrder,
		"GET /admin/state":     e.models.handleState,
		"GET /v1/cache/events": e.handleCacheEvents,
		"POST /v1/kv/export":   e.handleExport,
		"POST /v1/kv/import":   e.handleImport,
	}
	u, err := server.StartUpstream(cfg.UpstreamConfig, e.handleCall, admin, e.cache.useShare)
	if err != nil {
		e.models.stop()
		return nil, err
	}
	e.Upstream = u
	return e, nil
}

// Stop stops the engine.
func (e *Engine) Stop() {
	e.models.stop()
	e.Upstream.Stop()
}

// State returns the state that the engine reports.
func (e *Engine) State() State { return e.models.snapshot() }

// handleCall is the engine's server.WorkFunc. It serves chat requests only.
func (e *Engine) handleCall(w http.ResponseWriter, call *server.Call) {
	if call.Request.URL.Path != "/v1/chat/completions" || call.Request.Method != http.MethodPost {
		server.Refuse(w, http.StatusNotFound, "no such path")
		return
	}
	e.handleChat(w, call)
}
