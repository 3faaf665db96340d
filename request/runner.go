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

// Config is what a Runner works with.
type Config struct {
	Dispatcher dispatch.Dispatcher
	Upstreams  upstream.View
	Client     *attempt.Client
	// Guard watches for requests that crash upstreams.
	Guard Guard
	// Meter counts the attempts of each model; nil counts nothing.
	Meter Meter
	// Claims makes calls that may run only once run once.
	Claims Claims
	Logger *slog.Logger
	// Observe is told how each request ended; nil ignores it.
	Observe func(Observation)
}

// Meter counts the attempts of each model. Implementations are safe for
// concurrent use.
type Meter interface {
	Began(model string)
	// Ended counts an attempt out and says whether the engine failed it.
	Ended(model string, engine upstream.ID, failed bool)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Began(string)                    {}
func (noMeter) Ended(string, upstream.ID, bool) {}

// Observation is how one request ended, for metrics.
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

// Runner takes requests through their stages. It is safe for concurrent use.
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

// RunPipeline takes a job through its pipeline. It returns the whole answer or
// a *problem.Problem; a Sink may by then have had part of the text.
func (r *Runner) RunPipeline(ctx context.Context, job Job) (Result, error) {
	started := time.Now()
	run := &pipelineRun{runner: r, job: job, callID: newCallID(job.ID)}
	result, err := run.do(ctx)
	r.observePipeline(job, run, result, err, started)
	return result, err
}

// observePipeline reports how a job ended.
func (r *Runner) observePipeline(job Job, run *pipelineRun, result Result, err error, started time.Time) {
	now := time.Now()
	seen := Observation{
		Workspace: job.Workspace,
		Class:     job.Pipeline.Class,
		Target:    job.Pipeline.Name,
		Cause:     causeOf(err),
		InTime:    err == nil && !now.After(job.Deadline),
		Took:      now.Sub(started),
		Stages:    run.reports,
		Usage:     result.Usage,
	}
	r.cfg.Observe(seen)
	r.cfg.Logger.Info("request",
		"request_id", job.ID, "workspace", job.Workspace, "class", seen.Class, "pipeline", seen.Target,
		"cause", seen.Cause, "in_time", seen.InTime, "took_ms", seen.Took.Milliseconds(), "generation", job.Generation)
}

// pipelineRun is one job on its way.
type pipelineRun struct {
	runner  *Runner
	job     Job
	callID  string
	ticket  dispatch.Ticket
	guarded *screened
	ran     problem.Ran
	work    work
	reports []StageReport
}

// do admits the job and runs every stage.
func (p *pipelineRun) do(ctx context.Context) (Result, error) {
	p.ran = problem.No
	ctx, cancel := context.WithDeadline(ctx, p.job.Deadline)
	defer cancel()
	guarded, err := p.runner.screen(ctx, digestOf(p.job.Workspace, p.job.Pipeline.Name, []byte(p.job.Input)))
	if err != nil {
		return Result{}, err
	}
	p.guarded = guarded
	result, err := p.admitted(ctx)
	guarded.end(err == nil)
	return result, err
}

// admitted runs the stages once the dispatcher has admitted the job.
func (p *pipelineRun) admitted(ctx context.Context) (Result, error) {
	arrival := p.arrival()
	var err error
	p.ticket, err = p.runner.cfg.Dispatcher.Admit(ctx, arrival)
	if err != nil {
		return Result{}, p.toProblem(ctx, err)
	}
	err = p.stages(ctx, arrival.Stages)
	whole := err == nil
	p.ticket.Finish(dispatch.Final{Complete: whole, InTime: whole && !time.Now().After(p.job.Deadline)})
	if err != nil {
		return Result{}, p.toProblem(ctx, err)
	}
	return p.result(), nil
}

// stages runs every stage in order.
func (p *pipelineRun) stages(ctx context.Context, needs []dispatch.StageNeed) error {
	for index, need := range needs {
		if err := p.stage(ctx, index, need); err != nil {
			return err
		}
	}
	return nil
}

// stage runs one stage, or its declared fallback.
func (p *pipelineRun) stage(ctx context.Context, index int, need dispatch.StageNeed) error {
	if need.Fallback != nil && p.ticket.Fallback(index) {
		if need.Fallback.Skip {
			p.reports = append(p.reports, StageReport{Stage: need.Name, Skipped: true})
			return nil
		}
		need = p.need(need.Fallback.Stage)
	}
	tries := newTries(p, index, need)
	started := time.Now()
	err := tries.run(ctx)
	report := StageReport{Stage: need.Name, Attempts: tries.count, Took: time.Since(started)}
	if err == nil {
		report.Upstream = string(tries.winner)
	}
	p.reports = append(p.reports, report)
	return err
}

// result collects the whole answer.
func (p *pipelineRun) result() Result {
	return Result{
		Output:       p.work.output,
		FinishReason: p.work.finishReason,
		Passages:     p.work.passages,
		Usage:        p.work.usage,
		Stages:       p.reports,
	}
}

// arrival describes the job to the dispatcher.
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
		arrival.Stages = append(arrival.Stages, p.need(name))
	}
	return arrival
}

// need describes one stage to the dispatcher.
func (p *pipelineRun) need(name string) dispatch.StageNeed {
	stage, _ := p.job.Document.Stage(name)
	return stageNeed(stage, p.job.MaxTokens)
}

// stageNeed turns a declared stage into what the dispatcher sees.
func stageNeed(stage document.Stage, maxTokens int) dispatch.StageNeed {
	need := dispatch.StageNeed{
		Name:      stage.Name,
		Pool:      stage.Pool,
		Kind:      stage.Kind,
		Model:     stage.Model,
		Typical:   stage.Typical.Std(),
		MaxTokens: stage.MaxTokens,
		Fallback:  stage.Fallback,
	}
	if maxTokens > 0 && maxTokens < need.MaxTokens {
		need.MaxTokens = maxTokens
	}
	return need
}

// newCallID names a request towards upstreams. Callers may choose the same
// request ID twice; an answer must still match one request alone.
func newCallID(requestID string) string { return requestID + "~" + uuid.NewString() }
