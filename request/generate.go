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

// generateStep streams generated text from an engine. When a stream breaks after
// text was forwarded, the next attempt asks another engine to continue from that
// text.
type generateStep struct {
	run       *pipelineRun
	stage     document.Stage
	maxTokens int
	// text is what was forwarded so far, and tokens counts its pieces. Only the
	// attempt that committed accesses them, and attempts that committed never
	// overlap, so no lock guards them.
	text   strings.Builder
	tokens int
}

// chatRequest is the body of a chat completion. ContinueFrom is an extension of
// the engines that resumes a broken answer: the part already received.
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
	body, err := json.Marshal(s.requestBody())
	if err != nil {
		return nil, dispatch.Outcome{}, Error.Wrap(err)
	}
	call.Path = "/v1/chat/completions"
	call.Body = body
	call.Header = http.Header{"Content-Type": {"application/json"}, "Accept": {"text/event-stream"}}
	end, err := s.run.runner.cfg.Client.Stream(ctx, call, func(text string) error { return s.forward(text, commit) })
	outcome := dispatch.Outcome{
		InputTokens:  end.InputTokens,
		OutputTokens: end.OutputTokens,
		CachedTokens: end.CachedTokens,
		FirstToken:   end.FirstToken,
	}
	if err != nil {
		return nil, outcome, err
	}
	return commitResult(commit, outcome, func() { s.apply(end) })
}

// forward commits the attempt and passes one piece of text to the sink. It fails
// when another attempt committed first.
func (s *generateStep) forward(text string, commit func() bool) error {
	if !commit() {
		return Error.New("another attempt answered first")
	}
	s.text.WriteString(text)
	s.tokens++
	if s.run.job.Sink == nil {
		return nil
	}
	return s.run.job.Sink.Token(text)
}

// apply stores the complete text as the result of the stage.
func (s *generateStep) apply(end attempt.StreamEnd) {
	state := &s.run.state
	state.output = s.text.String()
	state.finishReason = end.FinishReason
	state.usage.InputTokens += end.InputTokens
	state.usage.OutputTokens += s.tokens
	state.usage.CachedTokens += end.CachedTokens
}

// requestBody builds the completion request. It continues from the text already
// forwarded, if there is any.
func (s *generateStep) requestBody() chatRequest {
	class, _ := s.run.job.Document.Class(s.run.job.Pipeline.Class)
	req := chatRequest{
		Model:         s.stage.Model,
		Messages:      s.messages(),
		MaxTokens:     s.maxTokens,
		Stream:        true,
		StreamOptions: streamOptions{IncludeUsage: true},
		Priority:      class.Priority,
	}
	if s.tokens > 0 {
		req.ContinueFrom = &continueFrom{Text: s.text.String(), Tokens: s.tokens}
	}
	return req
}

// messages returns the prompt: the retrieved passages as a system message, the
// earlier turns, and the input.
func (s *generateStep) messages() []Message {
	var messages []Message
	if len(s.run.state.passages) > 0 {
		messages = append(messages, Message{Role: "system", Content: strings.Join(passageTexts(s.run.state.passages), "\n")})
	}
	messages = append(messages, s.run.job.History...)
	return append(messages, Message{Role: "user", Content: s.run.job.Input})
}
