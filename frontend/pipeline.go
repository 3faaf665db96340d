package frontend

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/request"
)

// pipelineRequest is the body of POST /v1/pipelines/{pipeline}.
type pipelineRequest struct {
	Input     string            `json:"input"`
	History   []request.Message `json:"history,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// pipelineAnswer is the whole answer of a pipeline.
type pipelineAnswer struct {
	RequestID    string                `json:"request_id"`
	Pipeline     string                `json:"pipeline"`
	Workspace    string                `json:"workspace"`
	Output       string                `json:"output"`
	FinishReason string                `json:"finish_reason,omitempty"`
	Passages     []request.Passage     `json:"passages,omitempty"`
	Usage        request.Usage         `json:"usage"`
	Stages       []request.StageReport `json:"stages"`
}

// pipeline serves POST /v1/pipelines/{pipeline}.
func (f *Frontend) pipeline(w http.ResponseWriter, r *http.Request, c caller) *problem.Problem {
	line, ok := c.current.Document.Pipeline(r.PathValue("pipeline"))
	if !ok || !line.Offers(c.workspace.Name) {
		return problem.New(http.StatusNotFound, "unknown_pipeline", "no such pipeline for this workspace", problem.No)
	}
	var body pipelineRequest
	if p := readJSON(r, &body, true); p != nil {
		return p
	}
	job, p := f.job(r, c, line, body)
	if p != nil {
		return p
	}
	if wantsStream(r) {
		return f.streamPipeline(w, r, job)
	}
	result, err := f.cfg.Runner.RunPipeline(r.Context(), job)
	if err != nil {
		return problemOf(err)
	}
	writeJSON(w, c, answerOf(job, result))
	return nil
}

// job checks the body and makes the job.
func (f *Frontend) job(r *http.Request, c caller, line document.Pipeline, body pipelineRequest) (request.Job, *problem.Problem) {
	if strings.TrimSpace(body.Input) == "" {
		return request.Job{}, malformed("input must not be empty")
	}
	if body.MaxTokens < 0 {
		return request.Job{}, malformed("max_tokens must not be negative")
	}
	for _, m := range body.History {
		if !validRole(m.Role) {
			return request.Job{}, malformed("history has a role other than system, user and assistant")
		}
	}
	deadline, p := deadlineOf(r, c.arrived, contractDeadline(c.current.Document, line))
	if p != nil {
		return request.Job{}, p
	}
	return request.Job{
		ID:         c.id,
		Workspace:  c.workspace.Name,
		Pipeline:   line,
		Document:   c.current.Document,
		Generation: c.current.Generation,
		Input:      body.Input,
		History:    body.History,
		MaxTokens:  body.MaxTokens,
		Deadline:   deadline,
	}, nil
}

// validRole says whether a conversation may have the role.
func validRole(role string) bool {
	return role == "system" || role == "user" || role == "assistant"
}

// contractDeadline is the pipeline's own deadline, or its class's.
func contractDeadline(doc *document.Document, line document.Pipeline) time.Duration {
	if line.Deadline > 0 {
		return line.Deadline.Std()
	}
	class, _ := doc.Class(line.Class)
	return class.Deadline.Std()
}

// wantsStream says whether the caller asked for server-sent events.
func wantsStream(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "text/event-stream")
}

// answerOf builds the whole answer.
func answerOf(job request.Job, result request.Result) pipelineAnswer {
	return pipelineAnswer{
		RequestID:    job.ID,
		Pipeline:     job.Pipeline.Name,
		Workspace:    job.Workspace,
		Output:       result.Output,
		FinishReason: result.FinishReason,
		Passages:     result.Passages,
		Usage:        result.Usage,
		Stages:       result.Stages,
	}
}

// writeJSON sends a whole answer.
func writeJSON(w http.ResponseWriter, c caller, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		problem.New(http.StatusInternalServerError, "internal", "the answer can't be encoded", problem.Yes).Write(w, c.id)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderGeneration, strconv.FormatUint(c.current.Generation, 10))
	header.Set(problem.RanHeader, string(problem.Yes))
	boundWrite(w)
	w.WriteHeader(http.StatusOK)
	// A write error means that the caller has gone.
	_, _ = w.Write(body)
}

// problemOf returns the problem in err.
func problemOf(err error) *problem.Problem {
	if p, ok := err.(*problem.Problem); ok { //nolint:errorlint // the runner returns problems unwrapped
		return p
	}
	return problem.New(http.StatusInternalServerError, "internal", "the request failed", problem.Unknown)
}
