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

// pipelineAnswer is the complete answer of a pipeline.
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
func (f *Frontend) pipeline(w http.ResponseWriter, r *http.Request, c requestInfo) *problem.Problem {
	pipeline, ok := c.current.Document.Pipeline(r.PathValue("pipeline"))
	if !ok || !pipeline.AllowsWorkspace(c.workspace.Name) {
		return problem.New(http.StatusNotFound, "unknown_pipeline", "no such pipeline for this workspace", problem.No)
	}
	var body pipelineRequest
	if p := readJSON(r, &body, true); p != nil {
		return p
	}
	job, p := f.buildJob(r, c, pipeline, body)
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
	writeAnswer(w, c, answerOf(job, result))
	return nil
}

// buildJob validates the body and builds the job.
func (f *Frontend) buildJob(r *http.Request, c requestInfo, pipeline document.Pipeline, body pipelineRequest) (request.Job, *problem.Problem) {
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
	deadline, p := requestDeadline(r, c.arrived, pipelineDeadline(c.current.Document, pipeline))
	if p != nil {
		return request.Job{}, p
	}
	return request.Job{
		ID:         c.id,
		Workspace:  c.workspace.Name,
		Pipeline:   pipeline,
		Document:   c.current.Document,
		Generation: c.current.Generation,
		Input:      body.Input,
		History:    body.History,
		MaxTokens:  body.MaxTokens,
		Deadline:   deadline,
	}, nil
}

// validRole reports whether a message may have the role.
func validRole(role string) bool {
	return role == "system" || role == "user" || role == "assistant"
}

// pipelineDeadline returns the pipeline's own deadline, or that of its class.
func pipelineDeadline(doc *document.Document, pipeline document.Pipeline) time.Duration {
	if pipeline.Deadline > 0 {
		return pipeline.Deadline.Std()
	}
	class, _ := doc.Class(pipeline.Class)
	return class.Deadline.Std()
}

// wantsStream reports whether the caller accepts server-sent events.
func wantsStream(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Accept"), "text/event-stream")
}

// answerOf builds the complete answer of a pipeline.
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

// writeAnswer sends a complete answer as JSON.
func writeAnswer(w http.ResponseWriter, c requestInfo, answer any) {
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
	setWriteDeadline(w)
	w.WriteHeader(http.StatusOK)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}

// problemOf returns err as a problem. Other errors become a problem of the cause
// "internal", without their text.
func problemOf(err error) *problem.Problem {
	if p, ok := err.(*problem.Problem); ok { //nolint:errorlint // the runner returns problems unwrapped
		return p
	}
	return problem.New(http.StatusInternalServerError, "internal", "the request failed", problem.Unknown)
}
