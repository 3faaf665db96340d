package request

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/galenaseam/galenaseam/attempt"
	"github.com/galenaseam/galenaseam/dispatch"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/problem"
	"github.com/galenaseam/galenaseam/upstream"
)

// Error is the class of every error this package returns that is not a
// *problem.Problem.
var Error = errs.Class("request")

// Config holds the dependencies of a Runner.
type Config struct {
	Dispatcher dispatch.Dispatcher
	Upstreams  upstream.View
	Client     *attempt.Client
	// Guard recognises requests that crash upstreams.
	Guard Guard
	// Meter counts the attempts of each model; nil counts nothing.
	Meter Meter
	// Claims keeps non-idempotent calls from running twice.
	Claims Claims
	Logger *slog.Logger
	// Observe is called with the result of each request; may be nil.
	Observe func(Observation)
}

// Meter counts the attempts of each model. Implementations are safe for
// concurrent use.
type Meter interface {
	Began(model string)
	// Ended records the end of an attempt; failed is true when the engine is
	// to blame for its failure.
	Ended(model string, engine upstream.ID, failed bool)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Began(string)                    {}
func (noMeter) Ended(string, upstream.ID, bool) {}

// Observation describes a request that ended, for metrics.
type Observation struct {
	Workspace string
	Class     string
	Target    string
	// Cause is "ok" or the cause of the problem.
	Cause  string
	InTime bool
	Took   time.Duration
	Stages []StageReport
	Usage  Usage
}

// Runner runs requests through their stages. It is safe for concurrent use.
type Runner struct {
	cfg Config
}

// New makes a Runner.
func New(cfg Config) *Runner {
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Observation) {}
	}
	return &Runner{cfg: cfg}
}

// RunPipeline runs a job through its pipeline. It returns the complete answer or
// a *problem.Problem. When it fails, the Sink may already have received part of
// the text.
func (r *Runner) RunPipeline(ctx context.Context, job Job) (Result, error) {
	started := time.Now()
	run := &pipelineRun{runner: r, job: job, callID: newCallID(job.ID)}
	result, err := run.run(ctx)
	r.observePipeline(job, run, result, err, started)
	return result, err
}

// observePipeline reports the end of a job to the metrics and the log.
func (r *Runner) observePipeline(job Job, run *pipelineRun, result Result, err error, started time.Time) {
	now := time.Now()
	observation := Observation{
		Workspace: job.Workspace,
		Class:     job.Pipeline.Class,
		Target:    job.Pipeline.Name,
		Cause:     causeOf(err),
		InTime:    err == nil && !now.After(job.Deadline),
		Took:      now.Sub(started),
		Stages:    run.reports,
		Usage:     result.Usage,
	}
	r.cfg.Observe(observation)
	r.cfg.Logger.Info("request",
		"request_id", job.ID, "workspace", job.Workspace, "class", observation.Class, "pipeline", observation.Target,
		"cause", observation.Cause, "in_time", observation.InTime, "took_ms", observation.Took.Milliseconds(), "generation", job.Generation)
}

// pipelineRun is the state of one running job.
type pipelineRun struct {
	runner  *Runner
	job     Job
	callID  string
	ticket  dispatch.Ticket
	guarded *guardedRequest
	ran     problem.Ran
	state   pipelineState
	reports []StageReport
}

// run asks the guard about the job, admits it and runs every stage.
func (p *pipelineRun) run(ctx context.Context) (Result, error) {
	p.ran = problem.No
	ctx, cancel := context.WithDeadline(ctx, p.job.Deadline)
	defer cancel()
	guarded, err := p.runner.screen(ctx, pipelineDigest(p.job.Workspace, p.job.Pipeline.Name, []byte(p.job.Input)))
	if err != nil {
		return Result{}, err
	}
	p.guarded = guarded
	var result Result
	if err = p.screenHistory(ctx); err == nil {
		result, err = p.runAdmitted(ctx)
	}
	guarded.finish(err == nil)
	return result, err
}

// runAdmitted has the dispatcher admit the job and then runs its stages.
func (p *pipelineRun) runAdmitted(ctx context.Context) (Result, error) {
	arrival := p.arrival()
	var err error
	p.ticket, err = p.runner.cfg.Dispatcher.Admit(ctx, arrival)
	if err != nil {
		return Result{}, p.toProblem(ctx, err)
	}
	err = p.runStages(ctx, arrival.Stages)
	succeeded := err == nil
	p.ticket.Finish(dispatch.Result{Complete: succeeded, InTime: succeeded && !time.Now().After(p.job.Deadline)})
	if err != nil {
		return Result{}, p.toProblem(ctx, err)
	}
	return p.result(), nil
}

// runStages runs every stage in order.
func (p *pipelineRun) runStages(ctx context.Context, needs []dispatch.StageNeed) error {
	for index, need := range needs {
		if err := p.runStage(ctx, index, need); err != nil {
			return err
		}
	}
	return nil
}

// runStage runs one stage, or its declared fallback.
func (p *pipelineRun) runStage(ctx context.Context, index int, need dispatch.StageNeed) error {
	if need.Fallback != nil && p.ticket.Fallback(index) {
		if need.Fallback.Skip {
			p.reports = append(p.reports, StageReport{Stage: need.Name, Skipped: true})
			return nil
		}
		need = p.stageNeed(need.Fallback.Stage)
	}
	if need.Kind == document.KindRerank && len(p.state.passages) == 0 {
		p.reports = append(p.reports, StageReport{Stage: need.Name, Skipped: true}) // there is nothing to order
		return nil
	}
	run := newStageRun(p, index, need)
	started := time.Now()
	err := run.run(ctx)
	report := StageReport{Stage: need.Name, Attempts: run.attempts, Took: time.Since(started)}
	if err == nil {
		report.Upstream = string(run.winner)
	}
	p.reports = append(p.reports, report)
	return err
}

// result returns the complete answer.
func (p *pipelineRun) result() Result {
	return Result{
		Output:       p.state.output,
		FinishReason: p.state.finishReason,
		Passages:     p.state.passages,
		Usage:        p.state.usage,
		Stages:       p.reports,
	}
}

// arrival returns the job's description for the dispatcher.
func (p *pipelineRun) arrival() dispatch.Arrival {
	class, _ := p.job.Document.Class(p.job.Pipeline.Class)
	arrival := dispatch.Arrival{
		RequestID:   p.job.ID,
		Workspace:   p.job.Workspace,
		Class:       class,
		Pipeline:    p.job.Pipeline.Name,
		Idempotent:  true,
		InputTokens: estimateTokens(p.job.Input, p.job.History),
		Prefix:      prefixDigests(p.job.Workspace, p.job.History, p.job.Input),
		Deadline:    p.job.Deadline,
		Document:    p.job.Document,
	}
	for _, name := range p.job.Pipeline.Stages {
		arrival.Stages = append(arrival.Stages, p.stageNeed(name))
	}
	return arrival
}

// stageNeed returns the description of the named stage for the dispatcher.
func (p *pipelineRun) stageNeed(name string) dispatch.StageNeed {
	stage, _ := p.job.Document.Stage(name)
	return newStageNeed(stage, p.job.MaxTokens)
}

// newStageNeed converts a declared stage into its description for the dispatcher.
// A maxTokens over zero lowers the stage's token limit.
func newStageNeed(stage document.Stage, maxTokens int) dispatch.StageNeed {
	need := dispatch.StageNeed{
		Name:      stage.Name,
		Pool:      stage.Pool,
		Kind:      stage.Kind,
		Model:     stage.Model,
		Typical:   stage.TypicalDuration.Std(),
		MaxTokens: stage.MaxTokens,
		Fallback:  stage.Fallback,
	}
	if maxTokens > 0 && maxTokens < need.MaxTokens {
		need.MaxTokens = maxTokens
	}
	return need
}

// newCallID returns the ID under which upstreams see a request. Callers choose
// request IDs and may use one twice, but an answer must match one request only.
func newCallID(requestID string) string { return requestID + "~" + uuid.NewString() }
