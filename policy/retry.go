package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

const (
	// maxBudget is the most retries that a budget can accumulate.
	maxBudget = 10.0
	// initialBudget lets a class with little traffic retry at all.
	initialBudget = 2.0
	// defaultRetryShare applies to classes without a configured budget.
	defaultRetryShare = 0.1
	// costFirstRetryFactor reduces the retry share of classes whose objective is
	// cost.
	costFirstRetryFactor = 0.5
	// minBackoff is the shortest wait before a retry. The random part that is
	// added doubles per attempt up to maxBackoff.
	minBackoff = 2 * time.Millisecond
	maxBackoff = 100 * time.Millisecond
)

// retryBudget accumulates retries and hedges as a share of the first attempts.
type retryBudget struct{ tokens float64 }

func newRetryBudget() *retryBudget { return &retryBudget{tokens: initialBudget} }

func (b *retryBudget) earn(share float64) { b.tokens = min(b.tokens+share, maxBudget) }

// retryBudgets holds a budget per class, and one per pool over all classes. The
// pool's budget bounds the extra load that retries put on a failing pool.
type retryBudgets struct {
	settings Settings
	byClass  map[string]*retryBudget
	byPool   map[string]*retryBudget
}

func newRetryBudgets(settings Settings) *retryBudgets {
	return &retryBudgets{
		settings: settings,
		byClass:  make(map[string]*retryBudget),
		byPool:   make(map[string]*retryBudget),
	}
}

func budgetOf(m map[string]*retryBudget, key string) *retryBudget {
	b := m[key]
	if b == nil {
		b = newRetryBudget()
		m[key] = b
	}
	return b
}

func classRetryShare(class *document.Class) float64 {
	share := class.RetryBudget
	if share <= 0 {
		share = defaultRetryShare
	}
	if class.Objective == document.ObjectiveCost {
		share *= costFirstRetryFactor
	}
	return share
}

// earn credits the budgets for a first attempt.
func (b *retryBudgets) earn(pool string, class *document.Class) {
	budgetOf(b.byClass, class.Name).earn(classRetryShare(class))
	budgetOf(b.byPool, pool).earn(b.settings.PoolRetryShare)
}

// spend takes one attempt from both budgets. If either is empty, it takes
// nothing and returns false.
func (b *retryBudgets) spend(pool string, class *document.Class) bool {
	if !b.settings.RetryBudgets {
		return true
	}
	byClass := budgetOf(b.byClass, class.Name)
	byPool := budgetOf(b.byPool, pool)
	if byClass.tokens < 1 || byPool.tokens < 1 {
		return false
	}
	byClass.tokens--
	byPool.tokens--
	return true
}

// maxUnsent bounds the attempts of one stage that reached no upstream. When upstreams fail one
// after the other, a host learns of each a little later than it chooses it.
const maxUnsent = 8

// sent returns how many attempts of a stage may have reached an upstream.
func (r *Request) sent(stage int) int { return r.attempts[stage] - r.unsent[stage] }

// MayRetry reports whether to repeat a stage after a failure, and how long to
// wait first. A retry is charged to the budgets, and the failed attempt counts
// towards MaxAttempts, unless it was not sent.
func (c *Core) MayRetry(now time.Time, r *Request, stage int, f Failure) (time.Duration, bool) {
	if !f.blamesUpstream() || (f.mayHaveRun() && !r.Idempotent) {
		return 0, false
	}
	if f == NotSent {
		r.unsent[stage]++
	}
	if r.sent(stage) >= c.settings.MaxAttempts || r.unsent[stage] > maxUnsent {
		return 0, false
	}
	wait := c.backoff(r.attempts[stage])
	if now.Add(wait).After(c.latestStart(r, stage)) {
		return 0, false
	}
	if f == NotSent {
		// The attempt put no load on the pool, so its retry costs no budget.
		return wait, true
	}
	if !c.budgets.spend(r.Stages[stage].Pool, &r.Class) {
		c.explanations.retry(now, r, stage, f, false)
		return 0, false
	}
	c.explanations.retry(now, r, stage, f, true)
	return wait, true
}

func (c *Core) backoff(attempts int) time.Duration {
	span := min(minBackoff<<min(attempts, 6), maxBackoff)
	return minBackoff + time.Duration(c.rand.Int64N(int64(span)))
}
