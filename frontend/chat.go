package frontend

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// chatRequest is the part of an OpenAI chat completion request that is served.
// Members that are not served are ignored, so that existing clients work.
type chatRequest struct {
	Model               string            `json:"model"`
	Messages            []request.Message `json:"messages"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
	Stream              bool              `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// chatUsage counts tokens in the OpenAI shape.
type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chatChoice is one choice of a whole answer or of a chunk.
type chatChoice struct {
	Index        int              `json:"index"`
	Message      *request.Message `json:"message,omitempty"`
	Delta        *chatDelta       `json:"delta,omitempty"`
	FinishReason *string          `json:"finish_reason"`
}

type chatDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chatAnswer is a whole answer or a chunk.
type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatError is an error event in the OpenAI shape, with the problem inside.
type chatError struct {
	Error problem.Problem `json:"error"`
}

// chat serves POST /v1/chat/completions.
func (f *Frontend) chat(w http.ResponseWriter, r *http.Request, c caller) *problem.Problem {
	var body chatRequest
	if p := readJSON(r, &body, false); p != nil {
		return p
	}
	line, ok := c.current.Document.ChatPipeline(body.Model)
	if !ok || !line.Offers(c.workspace.Name) {
		return problem.New(http.StatusNotFound, "unknown_model", "no such model for this workspace", problem.No)
	}
	input, p := bodyOfChat(body)
	if p != nil {
		return p
	}
	job, p := f.job(r, c, line, input)
	if p != nil {
		return p
	}
	if body.Stream {
		return f.streamChat(w, r, job, body)
	}
	result, err := f.cfg.Runner.RunPipeline(r.Context(), job)
	if err != nil {
		return problemOf(err)
	}
	writeJSON(w, c, wholeChat(job, body.Model, result))
	return nil
}

// bodyOfChat turns a conversation into a pipeline's input and history.
func bodyOfChat(body chatRequest) (pipelineRequest, *problem.Problem) {
	last := len(body.Messages) - 1
	if last < 0 || body.Messages[last].Role != "user" {
		return pipelineRequest{}, malformed("the last message must have the role user")
	}
	maxTokens := body.MaxCompletionTokens
	if maxTokens == 0 {
		maxTokens = body.MaxTokens
	}
	return pipelineRequest{
		Input:     body.Messages[last].Content,
		History:   body.Messages[:last],
		MaxTokens: maxTokens,
	}, nil
}

// wholeChat builds a whole chat answer.
func wholeChat(job request.Job, model string, result request.Result) chatAnswer {
	answer := newChat(job.ID, model, "chat.completion")
	answer.Choices = []chatChoice{{
		Message:      &request.Message{Role: "assistant", Content: result.Output},
		FinishReason: &result.FinishReason,
	}}
	answer.Usage = usageOf(result)
	return answer
}

// newChat starts an answer or a chunk.
func newChat(id, model, object string) chatAnswer {
	return chatAnswer{ID: "chatcmpl-" + id, Object: object, Created: time.Now().Unix(), Model: model}
}

// usageOf counts a result's tokens in the OpenAI shape.
func usageOf(result request.Result) *chatUsage {
	u := result.Usage
	return &chatUsage{
		PromptTokens:     u.InputTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.InputTokens + u.OutputTokens,
	}
}

// chatSink writes generated text as chunks.
type chatSink struct {
	stream *eventStream
	id     string
	model  string
}

// Token writes one chunk.
func (s *chatSink) Token(text string) error {
	delta := &chatDelta{Content: text}
	if !s.stream.started {
		delta.Role = "assistant"
	}
	chunk := newChat(s.id, s.model, "chat.completion.chunk")
	chunk.Choices = []chatChoice{{Delta: delta}}
	return s.stream.sendJSON("", chunk)
}

// streamChat runs a job and writes its answer as chunks. Only a whole answer
// ends with the closing event.
func (f *Frontend) streamChat(w http.ResponseWriter, r *http.Request, job request.Job, body chatRequest) *problem.Problem {
	stream := &eventStream{w: w}
	job.Sink = &chatSink{stream: stream, id: job.ID, model: body.Model}
	result, err := f.cfg.Runner.RunPipeline(r.Context(), job)
	if err != nil {
		return f.endBrokenChat(stream, problemOf(err), job.ID)
	}
	last := newChat(job.ID, body.Model, "chat.completion.chunk")
	last.Choices = []chatChoice{{Delta: &chatDelta{}, FinishReason: &result.FinishReason}}
	if body.StreamOptions.IncludeUsage {
		last.Usage = usageOf(result)
	}
	if err := stream.sendJSON("", last); err != nil {
		return nil
	}
	_ = stream.send("", []byte("[DONE]"))
	return nil
}

// endBrokenChat is endBroken in the OpenAI shape.
func (f *Frontend) endBrokenChat(stream *eventStream, p *problem.Problem, id string) *problem.Problem {
	if !stream.started {
		return p
	}
	f.cfg.Refused(p.Cause)
	out := *p
	out.RequestID = id
	_ = stream.sendJSON("", chatError{Error: out})
	return nil
}
