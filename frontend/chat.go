package frontend

import (
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// chatRequest holds the supported members of an OpenAI chat completion request.
// Other members are ignored, so that existing clients work.
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

// chatUsage holds token counts in the OpenAI format.
type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chatChoice is a choice in a complete answer, which has a message, or in a chunk,
// which has a delta.
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

// chatAnswer is a complete answer or a chunk of a stream.
type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

// chatError is an error event in the OpenAI format that holds a problem.
type chatError struct {
	Error problem.Problem `json:"error"`
}

// chat serves POST /v1/chat/completions.
func (f *Frontend) chat(w http.ResponseWriter, r *http.Request, c requestInfo) *problem.Problem {
	var body chatRequest
	if p := readJSON(r, &body, false); p != nil {
		return p
	}
	pipeline, ok := c.current.Document.ChatPipeline(body.Model)
	if !ok || !pipeline.AllowsWorkspace(c.workspace.Name) {
		return problem.New(http.StatusNotFound, "unknown_model", "no such model for this workspace", problem.No)
	}
	input, p := pipelineRequestFromChat(body)
	if p != nil {
		return p
	}
	job, p := f.buildJob(r, c, pipeline, input)
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
	writeAnswer(w, c, chatCompletion(job, body.Model, result))
	return nil
}

// pipelineRequestFromChat converts a conversation to a pipeline's input, which is
// the last message, and history.
func pipelineRequestFromChat(body chatRequest) (pipelineRequest, *problem.Problem) {
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

// chatCompletion builds a complete chat answer.
func chatCompletion(job request.Job, model string, result request.Result) chatAnswer {
	answer := newChatAnswer(job.ID, model, "chat.completion")
	answer.Choices = []chatChoice{{
		Message:      &request.Message{Role: "assistant", Content: result.Output},
		FinishReason: &result.FinishReason,
	}}
	answer.Usage = usageOf(result)
	return answer
}

// newChatAnswer returns an answer or chunk without choices.
func newChatAnswer(id, model, object string) chatAnswer {
	return chatAnswer{ID: "chatcmpl-" + id, Object: object, Created: time.Now().Unix(), Model: model}
}

// usageOf returns a result's token counts in the OpenAI format.
func usageOf(result request.Result) *chatUsage {
	u := result.Usage
	return &chatUsage{
		PromptTokens:     u.InputTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.InputTokens + u.OutputTokens,
	}
}

// chatSink streams generated text as chat chunks.
type chatSink struct {
	stream *eventStream
	id     string
	model  string
}

// Token writes one chunk. The first one also names the role.
func (s *chatSink) Token(text string) error {
	delta := &chatDelta{Content: text}
	if !s.stream.started {
		delta.Role = "assistant"
	}
	chunk := newChatAnswer(s.id, s.model, "chat.completion.chunk")
	chunk.Choices = []chatChoice{{Delta: delta}}
	return s.stream.sendJSON("", chunk)
}

// streamChat runs a job and streams its answer as chunks. Only a complete answer
// ends with the event [DONE].
func (f *Frontend) streamChat(w http.ResponseWriter, r *http.Request, job request.Job, body chatRequest) *problem.Problem {
	stream := &eventStream{w: w}
	job.Sink = &chatSink{stream: stream, id: job.ID, model: body.Model}
	result, err := f.cfg.Runner.RunPipeline(r.Context(), job)
	if err != nil {
		return f.failChatStream(stream, problemOf(err), job.ID)
	}
	last := newChatAnswer(job.ID, body.Model, "chat.completion.chunk")
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

// failChatStream is failStream for the OpenAI format.
func (f *Frontend) failChatStream(stream *eventStream, p *problem.Problem, id string) *problem.Problem {
	if !stream.started {
		return p
	}
	f.cfg.OnRefusal(p.Cause)
	out := *p
	out.RequestID = id
	_ = stream.sendJSON("", chatError{Error: out})
	return nil
}
