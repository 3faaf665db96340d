// Package request runs one request through its stages under one deadline:
// admission, attempts, retries, hedges, and the check that each stage's result
// belongs to the request. A call to a plain service runs as a single stage.
package request

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

// Message is one turn of a conversation.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Job is one request for a pipeline.
type Job struct {
	ID        string
	Workspace string
	Pipeline  document.Pipeline
	// Document is the configuration that the request uses from start to end.
	Document *document.Document
	// Generation is the number of that configuration.
	Generation uint64
	// Input is the question, or the last user turn of a conversation.
	Input string
	// History is the turns before Input.
	History []Message
	// MaxTokens lowers the token limit of the generate stages; zero keeps it.
	MaxTokens int
	Deadline  time.Time
	// Sink receives the generated text as it arrives; nil when only the
	// complete answer is wanted.
	Sink Sink
}

// Sink receives generated text as it arrives. An error ends the request.
type Sink interface {
	Token(text string) error
}

// Passage is one document that a retrieve stage found.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Usage is the number of tokens over all stages.
type Usage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// StageReport describes how one stage ran.
type StageReport struct {
	Stage    string        `json:"stage"`
	Upstream string        `json:"upstream,omitempty"`
	Attempts int           `json:"attempts"`
	Skipped  bool          `json:"skipped,omitempty"`
	Took     time.Duration `json:"took_ns"`
}

// Result is a complete answer.
type Result struct {
	Output       string
	FinishReason string
	Passages     []Passage
	Usage        Usage
	Stages       []StageReport
}

// pipelineState is the data that one stage passes to the next.
type pipelineState struct {
	embedding    []float64
	passages     []Passage
	output       string
	finishReason string
	usage        Usage
}
