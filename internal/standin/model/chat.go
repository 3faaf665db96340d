package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// ChatRequest is the part of the OpenAI request that the stand-in reads.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Priority  int       `json:"priority,omitempty"`
	// ContinueFrom asks for the rest of an answer, unless it is nil.
	ContinueFrom *ContinueFrom `json:"continue_from,omitempty"`
}

// ContinueFrom is the beginning of an answer that the caller already has.
type ContinueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

// Usage counts the tokens of one call.
type Usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// ChatResponse is the response to a request that does not stream.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

// Choice is the only choice of a ChatResponse.
type Choice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// Chunk is one event of a stream.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *Usage        `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a Chunk.
type ChunkChoice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that an event adds.
type Delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// generation is one answer while it is generated.
type generation struct {
	request      ChatRequest
	prompt       string
	tokens       []string
	finishReason string
	usage        Usage
}

// handleChat serves a chat request.
func (e *Engine) handleChat(w http.ResponseWriter, call *server.Call) {
	var req ChatRequest
	if err := json.Unmarshal(call.Body, &req); err != nil || len(req.Messages) == 0 {
		server.Refuse(w, http.StatusBadRequest, "not a chat request")
		return
	}
	if !e.models.canServe(req.Model) {
		server.Refuse(w, http.StatusNotFound, "model not loaded: "+req.Model)
		return
	}
	prompt := Prompt(req.Messages)
	tokens, truncated := Answer(req.Model, prompt, req.MaxTokens)
	if !hasPrefix(tokens, req.ContinueFrom) {
		server.Refuse(w, http.StatusBadRequest, "continue_from is not the beginning of this answer")
		return
	}
	if call.Slots.Acquire(call.Request.Context(), req.Priority) != nil {
		return
	}
	defer call.Slots.Release()
	g := e.startGeneration(req, prompt, tokens, truncated)
	w.Header().Set(server.HeaderRan, "yes")
	uncached := g.usage.PromptTokens - g.usage.PromptTokensDetails.CachedTokens
	if call.Wait(e.cfg.FirstToken+time.Duration(uncached)*e.cfg.PerPromptToken) != nil {
		return
	}
	if req.Stream {
		e.streamAnswer(w, call, g)
		return
	}
	if call.Wait(time.Duration(len(g.tokens))*e.cfg.PerToken) != nil {
		return
	}
	server.WriteJSON(w, http.StatusOK, g.response())
}

// hasPrefix reports whether the answer begins with what the caller already has.
func hasPrefix(tokens []string, from *ContinueFrom) bool {
	if from == nil {
		return true
	}
	if from.Tokens < 0 || from.Tokens > len(tokens) {
		return false
	}
	return strings.Join(tokens[:from.Tokens], "") == from.Text
}

// startGeneration puts the prompt into the cache and counts the tokens.
func (e *Engine) startGeneration(req ChatRequest, prompt string, tokens []string, truncated bool) *generation {
	if req.ContinueFrom != nil {
		tokens = tokens[req.ContinueFrom.Tokens:]
	}
	hits := e.cache.insert(Blocks(req.Model, prompt))
	g := &generation{request: req, prompt: prompt, tokens: tokens, finishReason: "stop"}
	if truncated {
		g.finishReason = "length"
	}
	promptTokens := len(Tokens(prompt))
	g.usage = Usage{
		PromptTokens: promptTokens, CompletionTokens: len(g.tokens), TotalTokens: promptTokens + len(g.tokens),
		PromptTokensDetails: PromptDetails{CachedTokens: hits * blockTokens},
	}
	return g
}

// id returns an ID that depends only on the model and the prompt.
func (g *generation) id() string {
	return fmt.Sprintf("chatcmpl-%016x", xxh3.HashString(g.request.Model+"\n"+g.prompt))
}

func (g *generation) response() ChatResponse {
	text := Message{Role: "assistant", Content: strings.Join(g.tokens, "")}
	return ChatResponse{
		ID: g.id(), Object: "chat.completion", Created: time.Now().Unix(), Model: g.request.Model,
		Choices: []Choice{{Message: text, FinishReason: g.finishReason}}, Usage: g.usage,
	}
}

// streamAnswer sends the answer as server-sent events, one for each token.
func (e *Engine) streamAnswer(w http.ResponseWriter, call *server.Call, g *generation) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	for i, token := range g.tokens {
		if i > 0 && call.Wait(e.cfg.PerToken) != nil {
			return
		}
		delta := Delta{Content: token}
		if i == 0 {
			delta.Role = "assistant"
		}
		if g.writeEvent(w, g.chunk([]ChunkChoice{{Delta: delta}}, nil)) != nil {
			return
		}
	}
	last := g.chunk([]ChunkChoice{{FinishReason: &g.finishReason}}, &g.usage)
	if g.writeEvent(w, last) != nil {
		return
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n")) // fails only if the caller has disconnected
}

func (g *generation) chunk(choices []ChunkChoice, usage *Usage) Chunk {
	return Chunk{
		ID: g.id(), Object: "chat.completion.chunk", Created: time.Now().Unix(), Model: g.request.Model,
		Choices: choices, Usage: usage,
	}
}

// writeEvent writes one event and flushes it.
func (g *generation) writeEvent(w http.ResponseWriter, c Chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	if flusher, ok := w.(http.Flusher); ok {
		flusher.Flush()
	}
	return nil
}
