package policy

import (
	"cmp"
	"slices"
	"time"
)

// CostKey says what a cost was for. Workspace is a large workspace's name, or
// "other".
type CostKey struct {
	Stage     string `json:"stage"`
	Class     string `json:"class"`
	Pipeline  string `json:"pipeline"`
	Workspace string `json:"workspace"`
}

// Cost is what work took and what it is worth by the document's prices.
type Cost struct {
	Attempts        int64   `json:"attempts"`
	UpstreamSeconds float64 `json:"upstream_seconds"`
	InputTokens     int64   `json:"input_tokens"`
	OutputTokens    int64   `json:"output_tokens"`
	CachedTokens    int64   `json:"cached_tokens"`
	// Money is in the unit of the document's prices.
	Money float64 `json:"money"`
	// WastedSeconds and WastedMoney are the parts that helped no caller:
	// hedges that lost, failures, cancelled calls and missed deadlines.
	WastedSeconds float64 `json:"wasted_seconds"`
	WastedMoney   float64 `json:"wasted_money"`
}

// CostRow is one line of a snapshot of costs.
type CostRow struct {
	CostKey
	Cost
}

// charge is the part of a cost that one good attempt caused.
type charge struct {
	key     CostKey
	seconds float64
	money   float64
}

// ledger adds up costs.
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

func (l *ledger) waste(c charge) {
	row := l.row(c.key)
	row.WastedSeconds += c.seconds
	row.WastedMoney += c.money
}

// charge prices an attempt that ended.
func (c *Core) charge(a *Attempt, o Outcome, elapsed time.Duration) {
	if !o.Failure.ran() {
		return
	}
	r := a.Call.Request
	stage := r.Stages[a.Call.Stage]
	key := CostKey{
		Stage: stage.Name, Class: r.Class.Name, Pipeline: r.name(),
		Workspace: r.terms.label(r.Workspace),
	}
	price := r.terms.prices[stage.Pool]
	paid := charge{key: key, seconds: elapsed.Seconds()}
	fresh := max(o.InputTokens-o.CachedTokens, 0)
	paid.money = price.PerSecond*paid.seconds +
		price.PerInputToken*float64(fresh) +
		price.PerOutputToken*float64(o.OutputTokens)
	row := c.costs.row(key)
	row.Attempts++
	row.UpstreamSeconds += paid.seconds
	row.InputTokens += int64(o.InputTokens)
	row.OutputTokens += int64(o.OutputTokens)
	row.CachedTokens += int64(o.CachedTokens)
	row.Money += paid.money
	if o.Failure != Succeeded || r.done {
		c.costs.waste(paid)
		return
	}
	r.spent = append(r.spent, paid)
}

// name is the pipeline, or the service, that the request goes through.
func (r *Request) name() string {
	if r.Pipeline != "" {
		return r.Pipeline
	}
	return r.Service
}

// settleCosts counts the good attempts as wasted when the request failed.
func (c *Core) settleCosts(r *Request, f Final) {
	if f.Whole && f.InTime {
		return
	}
	for _, paid := range r.spent {
		c.costs.waste(paid)
	}
}

// Costs returns every row, ordered by key.
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
