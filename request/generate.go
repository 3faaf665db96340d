package request

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
)

// generateStep streams text from an engine. When a stream breaks after text
// was passed on, the next attempt asks another engine to go on from that text.
type generateStep struct {
	run       *pipelineRun
	stage     document.Stage
	maxTokens int
	// text and pieces are what was passed on so far. Only the attempt that
	// committed touches them, and attempts that committed never overlap.
	text   strings.Builder
	pieces int
}

// chatRequest is the body of a chat completion. ContinueFrom is the engines'
// extension for resuming: the part of the answer that was already taken.
type chatRequest struct {
	Model         string        `json:"model"`
	Messages      []Message     `json:"messages"`
	MaxTokens     int           `json:"max_tokens,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
	Priority      int           `json:"priority"`
	ContinueFrom  *continueFrom `json:"continue_from,omitempty"`
}

type continueFrom struct {
	Text   string `json:"text"`
	Tokens int    `json:"tokens"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (s *generateStep) attempt(ctx context.Context, call attempt.Call, commit func() bool) (func(), dispatch.Outcome, error) {
	body, err := json.Marshal(s.body())
	if err != nil {
		return nil, dispatch.Outcome{}, Error.Wrap(err)
	}
	call.Path = "/v1/chat/completions"
	call.Body = body
	call.Header = http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	end, err := s.run.runner.cfg.Client.Stream(ctx, call, func(text string) error { return s.pass(text, commit) })
	outcome := dispatch.Outcome{
		InputTokens:  end.InputTokens,
		OutputTokens: end.OutputTokens,
		CachedTokens: end.CachedTokens,
		FirstToken:   end.FirstToken,
	}
	if err != nil {
		return nil, outcome, err
	}
	return settleStep(commit, outcome, func() { s.apply(end) })
}

// pass hands one piece of text on, if this attempt is the one that counts.
func (s *generateStep) pass(text string, commit func() bool) error {
	if !commit() {
		return Error.New("another attempt answered first")
	}
	s.text.WriteString(text)
	s.pieces++
	if s.run.job.Sink == nil {
		return nil
	}
	return s.run.job.Sink.Token(text)
}

// apply stores the whole text as the stage's result.
func (s *generateStep) apply(end attempt.StreamEnd) {
	w := &s.run.work
	w.output = s.text.String()
	w.finishReason = end.FinishReason
	w.usage.InputTokens += end.InputTokens
	w.usage.OutputTokens += s.pieces
	w.usage.CachedTokens += end.CachedTokens
}

// body builds the completion request, going on from text already passed on.
func (s *generateStep) body() chatRequest {
	class, _ := s.run.job.Document.Class(s.run.job.Pipeline.Class)
	req := chatRequest{
		Model:         s.stage.Model,
		Messages:      s.messages(),
		MaxTokens:     s.maxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		Priority:      class.Priority,
	}
	if s.pieces > 0 {
		req.ContinueFrom = &continueFrom{Text: s.text.String(), Tokens: s.pieces}
	}
	return req
}

// messages puts the found passages before the conversation.
func (s *generateStep) messages() []Message {
	var messages []Message
	if len(s.run.work.passages) > 0 {
		messages = append(messages, Message{Role: "system", Content: strings.Join(texts(s.run.work.passages), "\n")})
	}
	messages = append(messages, s.run.job.History...)
	return append(messages, Message{Role: "user", Content: s.run.job.Input})
}
