package model

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// embeddingSize is the dimension of an embedding.
const embeddingSize = 8

// defaultTopK is how many documents a retriever returns if the request sets no
// top_k.
const defaultTopK = 10

// PoolConfig holds the settings of an encoder, retriever or reranker.
type PoolConfig struct {
	server.UpstreamConfig
	// Duration is how long a call runs.
	Duration time.Duration
}

// EmbeddingRequest asks for the embeddings of texts.
type EmbeddingRequest struct {
	Model string `json:"model"`
	Input Inputs `json:"input"`
}

// Inputs is a list of texts to embed. In JSON a single text may be a plain
// string.
type Inputs []string

// UnmarshalJSON decodes a string or a list of strings.
func (in *Inputs) UnmarshalJSON(data []byte) error {
	var one string
	if json.Unmarshal(data, &one) == nil {
		*in = Inputs{one}
		return nil
	}
	return json.Unmarshal(data, (*[]string)(in))
}

// EmbeddingResponse holds the embeddings in the order of the texts.
type EmbeddingResponse struct {
	Object string      `json:"object"`
	Model  string      `json:"model"`
	Data   []Embedding `json:"data"`
	Usage  Usage       `json:"usage"`
}

// Embedding is one vector.
type Embedding struct {
	Object    string    `json:"object"`
	Index     int       `json:"index"`
	Embedding []float64 `json:"embedding"`
}

// RetrieveRequest asks for the documents nearest to a query.
type RetrieveRequest struct {
	Query     string    `json:"query"`
	Embedding []float64 `json:"embedding"`
	TopK      int       `json:"top_k"`
	Workspace string    `json:"workspace"`
}

// RetrieveResponse holds the documents found, best first.
type RetrieveResponse struct {
	Workspace string              `json:"workspace"`
	Documents []RetrievedDocument `json:"documents"`
}

// RetrievedDocument is one document of a workspace.
type RetrievedDocument struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// RerankRequest asks to rank documents by their relevance to a query.
type RerankRequest struct {
	Model     string   `json:"model,omitempty"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n,omitempty"`
}

// RerankResponse holds the most relevant documents, best first.
type RerankResponse struct {
	Results []RerankResult `json:"results"`
}

// RerankResult is the score of one document. Index is its position in the
// request.
type RerankResult struct {
	Index          int     `json:"index"`
	RelevanceScore float64 `json:"relevance_score"`
}

// StartEncoder serves POST /v1/embeddings.
func StartEncoder(cfg PoolConfig) (*server.Upstream, error) {
	return startServer(cfg, "/v1/embeddings", func(req EmbeddingRequest) (any, string) {
		if len(req.Input) == 0 {
			return nil, "no input"
		}
		resp := EmbeddingResponse{Object: "list", Model: req.Model}
		for i, text := range req.Input {
			resp.Data = append(resp.Data, Embedding{Object: "embedding", Index: i, Embedding: Embed(text)})
			resp.Usage.PromptTokens += len(Tokens(text))
		}
		resp.Usage.TotalTokens = resp.Usage.PromptTokens
		return resp, ""
	})
}

// StartRetriever serves POST /v1/retrieve.
func StartRetriever(cfg PoolConfig) (*server.Upstream, error) {
	return startServer(cfg, "/v1/retrieve", func(req RetrieveRequest) (any, string) {
		if req.Workspace == "" {
			return nil, "no workspace"
		}
		return RetrieveResponse{Workspace: req.Workspace, Documents: Retrieve(req.Workspace, req.Query, req.TopK)}, ""
	})
}

// StartReranker serves POST /v1/rerank.
func StartReranker(cfg PoolConfig) (*server.Upstream, error) {
	return startServer(cfg, "/v1/rerank", func(req RerankRequest) (any, string) {
		return RerankResponse{Results: Rerank(req.Query, req.Documents, req.TopN)}, ""
	})
}

// startServer starts an upstream that serves POST on one path. answer returns
// the response to a request, or an error message if the request is invalid.
func startServer[Req any](cfg PoolConfig, path string, answer func(Req) (any, string)) (*server.Upstream, error) {
	work := func(w http.ResponseWriter, call *server.Call) {
		if call.Request.URL.Path != path || call.Request.Method != http.MethodPost {
			server.Refuse(w, http.StatusNotFound, "no such path")
			return
		}
		var req Req
		if err := json.Unmarshal(call.Body, &req); err != nil {
			server.Refuse(w, http.StatusBadRequest, "malformed request")
			return
		}
		result, errorMessage := answer(req)
		if errorMessage != "" {
			server.Refuse(w, http.StatusBadRequest, errorMessage)
			return
		}
		if call.Slots.Acquire(call.Request.Context(), 0) != nil {
			return
		}
		defer call.Slots.Release()
		w.Header().Set(server.HeaderRan, "yes")
		if call.Wait(cfg.Duration) != nil {
			return
		}
		server.WriteJSON(w, http.StatusOK, result)
	}
	return server.StartUpstream(cfg.UpstreamConfig, work, nil, nil)
}

// Embed returns the embedding of a text, which depends only on the text.
func Embed(text string) []float64 {
	vector := make([]float64, embeddingSize)
	for i := range vector {
		digest := xxh3.HashStringSeed(text, uint64(i))
		vector[i] = float64(digest)/float64(math.MaxUint64)*2 - 1
	}
	return vector
}

// Retrieve returns the documents of a workspace for a query. They are generated
// and depend only on the workspace and the query.
func Retrieve(workspace, query string, topK int) []RetrievedDocument {
	if topK <= 0 {
		topK = defaultTopK
	}
	documents := make([]RetrievedDocument, topK)
	for i := range documents {
		digest := xxh3.HashStringSeed(workspace+"\n"+query, uint64(i))
		documents[i] = RetrievedDocument{
			ID:    fmt.Sprintf("%s-doc-%08x", workspace, uint32(digest)),
			Text:  fmt.Sprintf("Document %08x of workspace %s.", uint32(digest), workspace),
			Score: 1 / float64(i+1),
		}
	}
	return documents
}

// Rerank ranks documents by a score that depends only on the query and the
// document.
func Rerank(query string, documents []string, topN int) []RerankResult {
	results := make([]RerankResult, len(documents))
	for i, text := range documents {
		digest := xxh3.HashString(query + "\n" + text)
		results[i] = RerankResult{Index: i, RelevanceScore: float64(digest) / float64(math.MaxUint64)}
	}
	slices.SortStableFunc(results, func(a, b RerankResult) int {
		switch {
		case a.RelevanceScore > b.RelevanceScore:
			return -1
		case a.RelevanceScore < b.RelevanceScore:
			return 1
		}
		return 0
	})
	if topN > 0 && topN < len(results) {
		results = results[:topN]
	}
	return results
}
