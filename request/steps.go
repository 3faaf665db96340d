package request

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
)

// newStep returns the step for the stage's kind.
func newStep(run *pipelineRun, need dispatch.StageNeed) step {
	stage, _ := run.job.Document.Stage(need.Name)
	switch need.Kind {
	case document.KindEncode:
		return &encodeStep{run: run, stage: stage}
	case document.KindRetrieve:
		return &retrieveStep{run: run, stage: stage}
	case document.KindRerank:
		return &rerankStep{run: run, stage: stage}
	default:
		return &generateStep{run: run, stage: stage, maxTokens: need.MaxTokens}
	}
}

// postJSON posts one JSON body and decodes the JSON answer.
func postJSON(ctx context.Context, client *attempt.Client, call attempt.Call, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return Error.Wrap(err)
	}
	call.Body = body
	call.Header = http.Header{"Content-Type": {"application/json"}, "Accept": {"application/json"}}
	answer, err := client.Do(ctx, call)
	if err != nil {
		return err
	}
	if failed := attempt.StatusFailure(answer); failed != nil {
		return failed
	}
	if err := json.Unmarshal(answer.Body, out); err != nil {
		return &attempt.Failed{Failure: dispatch.WrongAnswer, Cause: Error.Wrap(err)}
	}
	return nil
}

// commitResult commits a checked result. It fails when another attempt committed
// first.
func commitResult(commit func() bool, outcome dispatch.Outcome, apply func()) (func(), dispatch.Outcome, error) {
	if !commit() {
		return nil, outcome, errSuperseded()
	}
	return apply, outcome, nil
}

// errSuperseded is the failure of an attempt when another one committed first.
func errSuperseded() error {
	return &attempt.Failed{Failure: dispatch.Cancelled, Cause: Error.New("another attempt answered first")}
}

// wrongAnswer returns the failure for an answer that does not match its request.
func wrongAnswer(detail string) error {
	return &attempt.Failed{Failure: dispatch.WrongAnswer, Cause: Error.New("%s", detail)}
}

// encodeStep turns the input into an embedding.
type encodeStep struct {
	run   *pipelineRun
	stage document.Stage
}

type embeddingsRequest struct {
	Model string `json:"model,omitempty"`
	Input string `json:"input"`
}

type embeddingsAnswer struct {
	Data []struct {
		Index     int       `json:"index"`
		Embedding []float64 `json:"embedding"`
	} `json:"data"`
	Usage struct {
		PromptTokens int `json:"prompt_tokens"`
	} `json:"usage"`
}

func (s *encodeStep) attempt(ctx context.Context, call attempt.Call, commit func() bool) (func(), dispatch.Outcome, error) {
	call.Path = "/v1/embeddings"
	var answer embeddingsAnswer
	in := embeddingsRequest{Model: s.stage.Model, Input: s.run.job.Input}
	if err := postJSON(ctx, s.run.runner.cfg.Client, call, in, &answer); err != nil {
		return nil, dispatch.Outcome{}, err
	}
	if len(answer.Data) != 1 || len(answer.Data[0].Embedding) == 0 {
		return nil, dispatch.Outcome{}, wrongAnswer("embeddings answer does not hold exactly one embedding")
	}
	outcome := dispatch.Outcome{InputTokens: answer.Usage.PromptTokens}
	return commitResult(commit, outcome, func() { s.run.state.embedding = answer.Data[0].Embedding })
}

// retrieveStep finds the workspace's documents closest to the embedding.
type retrieveStep struct {
	run   *pipelineRun
	stage document.Stage
}

type retrieveRequest struct {
	Workspace string    `json:"workspace"`
	Query     string    `json:"query"`
	Embedding []float64 `json:"embedding,omitempty"`
	TopK      int       `json:"top_k"`
}

type retrieveAnswer struct {
	Workspace string    `json:"workspace"`
	Documents []Passage `json:"documents"`
}

func (s *retrieveStep) attempt(ctx context.Context, call attempt.Call, commit func() bool) (func(), dispatch.Outcome, error) {
	call.Path = "/v1/retrieve"
	var answer retrieveAnswer
	in := retrieveRequest{
		Workspace: s.run.job.Workspace,
		Query:     s.run.job.Input,
		Embedding: s.run.state.embedding,
		TopK:      s.stage.TopK,
	}
	if err := postJSON(ctx, s.run.runner.cfg.Client, call, in, &answer); err != nil {
		return nil, dispatch.Outcome{}, err
	}
	if answer.Workspace != "" && answer.Workspace != s.run.job.Workspace {
		return nil, dispatch.Outcome{}, wrongAnswer("retrieve answer belongs to another workspace")
	}
	return commitResult(commit, dispatch.Outcome{}, func() { s.run.state.passages = answer.Documents })
}

// rerankStep orders the passages by relevance and keeps the top ones.
type rerankStep struct {
	run   *pipelineRun
	stage document.Stage
}

type rerankRequest struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"`
}

type rerankAnswer struct {
	Results []struct {
		Index          int     `json:"index"`
		RelevanceScore float64 `json:"relevance_score"`
	} `json:"results"`
}

func (s *rerankStep) attempt(ctx context.Context, call attempt.Call, commit func() bool) (func(), dispatch.Outcome, error) {
	call.Path = "/v1/rerank"
	passages := s.run.state.passages
	in := rerankRequest{Model: s.stage.Model, Query: s.run.job.Input, Documents: passageTexts(passages), TopN: s.stage.TopK}
	var answer rerankAnswer
	if err := postJSON(ctx, s.run.runner.cfg.Client, call, in, &answer); err != nil {
		return nil, dispatch.Outcome{}, err
	}
	kept, err := reorder(passages, answer)
	if err != nil {
		return nil, dispatch.Outcome{}, err
	}
	return commitResult(commit, dispatch.Outcome{}, func() { s.run.state.passages = kept })
}

// passageTexts returns the texts of the passages.
func passageTexts(passages []Passage) []string {
	out := make([]string, 0, len(passages))
	for _, p := range passages {
		out = append(out, p.Text)
	}
	return out
}

// reorder applies a rerank answer to the passages. It rejects the whole answer if
// an index is out of range or occurs twice.
func reorder(passages []Passage, answer rerankAnswer) ([]Passage, error) {
	seen := make([]bool, len(passages))
	kept := make([]Passage, 0, len(answer.Results))
	for _, r := range answer.Results {
		if r.Index < 0 || r.Index >= len(passages) || seen[r.Index] {
			return nil, wrongAnswer("rerank answer has an index that is out of range or repeated")
		}
		seen[r.Index] = true
		passage := passages[r.Index]
		passage.Score = r.RelevanceScore
		kept = append(kept, passage)
	}
	return kept, nil
}
