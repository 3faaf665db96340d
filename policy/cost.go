package policy

import (
	"cmp"
	"slices"
	"time"
)

// CostKey identifies what a cost was spent on. Workspace is the name of a large
// workspace, or "other".
type CostKey struct {
	Stage     string `json:"stage"`
	Class     string `json:"class"`
	Pipeline  string `json:"pipeline"`
	Workspace string `json:"workspace"`
}

// Cost is the resources that attempts used, and their price.
type Cost struct {
	Attempts        int64   `json:"attempts"`
	UpstreamSeconds float64 `json:"upstream_seconds"`
	InputTokens     int64   `json:"input_tokens"`
	OutputTokens    int64   `json:"output_tokens"`
	CachedTokens    int64   `json:"cached_tokens"`
	// Money is in the currency of the document's prices.
	Money float64 `json:"money"`
	// WastedSeconds and WastedMoney are the parts that gave no caller an answer
	// in time: lost hedges, failed and cancelled attempts, and requests that
	// failed or missed their deadline.
	WastedSeconds float64 `json:"wasted_seconds"`
	WastedMoney   float64 `json:"wasted_money"`
}

// CostRow is one row of the cost table.
type CostRow struct {
	CostKey
	Cost
}

// charge is the cost of one attempt.
type charge struct {
	key     CostKey
	seconds float64
	money   float64
}

// ledger sums costs by key.
type ledger struct {
	rows map[CostKey]*Cost
}

func newLedger() *ledger { return &ledger{rows: make(map[CostKey]*Cost)} }

func (l *ledger) row(key CostKey) *Cost {
	row := l.rows[key]
	if row == nil {
		row = &Cost{}
		l.rows[key] = row
	}
	return row
}

func (l *ledger) addWaste(c charge) {
	row := l.row(c.key)
	row.WastedSeconds += c.seconds
	row.WastedMoney += c.money
}

// charge adds the cost of an attempt that ended.
func (c *Core) charge(a *Attempt, o Outcome, elapsed time.Duration) {
	if !o.Failure.mayHaveRun() {
		return
	}
	r := a.Call.Request
	stage := r.Stages[a.Call.Stage]
	key := CostKey{
		Stage: stage.Name, Class: r.Class.Name, Pipeline: r.pipelineOrService(),
		Workspace: r.docIndex.workspaceLabel(r.Workspace),
	}
	price := r.docIndex.prices[stage.Pool]
	spent := charge{key: key, seconds: elapsed.Seconds()}
	uncached := max(o.InputTokens-o.CachedTokens, 0)
	spent.money = price.PerSecond*spent.seconds +
		price.PerInputToken*float64(uncached) +
		price.PerOutputToken*float64(o.OutputTokens)
	row := c.costs.row(key)
	row.Attempts++
	row.UpstreamSeconds += spent.seconds
	row.InputTokens += int64(o.InputTokens)
	row.OutputTokens += int64(o.OutputTokens)
	row.CachedTokens += int64(o.CachedTokens)
	row.Money += spent.money
	if o.Failure != Succeeded || r.done {
		c.costs.addWaste(spent)
		return
	}
	r.charges = append(r.charges, spent)
}

// pipelineOrService returns the name of the pipeline or the service that the
// request calls.
func (r *Request) pipelineOrService() string {
	if r.Pipeline != "" {
		return r.Pipeline
	}
	return r.Service
}

// recordWaste counts the cost of the successful attempts as wasted if the
// request failed or was late.
func (c *Core) recordWaste(r *Request, f Result) {
	if f.Complete && f.InTime {
		return
	}
	for _, spent := range r.charges {
		c.costs.addWaste(spent)
	}
}

// Costs returns all rows, sorted by key.
func (c *Core) Costs() []CostRow {
	rows := make([]CostRow, 0, len(c.costs.rows))
	for key, cost := range c.costs.rows {
		rows = append(rows, CostRow{CostKey: key, Cost: *cost})
	}
	slices.SortFunc(rows, func(a, b CostRow) int {
		return cmp.Or(
			cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Pipeline, b.Pipeline), cmp.Compare(a.Workspace, b.Workspace),
		)
	})
	return rows
}
