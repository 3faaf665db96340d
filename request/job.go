// Package request takes one request through its stages under one deadline:
// admission, attempts, retries, hedges, and the proof that each stage's result
// belongs to it. Calls of plain services go the same way with a single stage.
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
	// Document is the generation that the whole request sees.
	Document *document.Document
	// Generation is that generation's number.
	Generation uint64
	// Input is the question, or the last user turn of a conversation.
	Input string
	// History is the turns before Input.
	History []Message
	// MaxTokens narrows the generate stages' own bound; zero leaves it.
	MaxTokens int
	Deadline  time.Time
	// Sink gets the generated text as it comes; nil when only the whole
	// answer is wanted.
	Sink Sink
}

// Sink takes generated text as it comes. An error ends the request.
type Sink interface {
	Token(text string) error
}

// Passage is one document that a retrieve stage found.
type Passage struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// Usage counts tokens over all stages.
type Usage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// StageReport tells how one stage went.
type StageReport struct {
	Stage    string        `json:"stage"`
	Upstream string        `json:"upstream,omitempty"`
	Attempts int           `json:"attempts"`
	Skipped  bool          `json:"skipped,omitempty"`
	Took     time.Duration `json:"took_ns"`
}

// Result is a whole answer.
type Result struct {
	Output       string
	FinishReason string
	Passages     []Passage
	Usage        Usage
	Stages       []StageReport
}

// work is what one stage hands to the next.
type work struct {
	embedding    []float64
	passages     []Passage
	output       string
	finishReason string
	usage        Usage
}
