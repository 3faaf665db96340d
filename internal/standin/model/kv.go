package model

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// KVBlocks lists blocks of KV cache that are transferred between engines.
type KVBlocks struct {
	Blocks []uint64 `json:"blocks"`
	Tokens int      `json:"tokens"`
}

// CacheEvents is a list of cache events. Sequence numbers can be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	var req ChatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		server.Refuse(w, http.StatusBadRequest, "not a chat request")
		return
	}
	held := e.cache.cachedPrefix(Blocks(req.Model, Prompt(req.Messages)))
	server.WriteJSON(w, http.StatusOK, KVBlocks{Blocks: held, Tokens: len(held) * blockTokens})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	var blocks KVBlocks
	if err := json.NewDecoder(r.Body).Decode(&blocks); err != nil {
		server.Refuse(w, http.StatusBadRequest, "not a list of blocks")
		return
	}
	e.cache.insert(blocks.Blocks)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	server.WriteJSON(w, http.StatusOK, CacheEvents{Events: e.cache.eventsSince(since)})
}
