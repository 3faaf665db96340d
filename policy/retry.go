package policy

import (
	"time"

	"github.com/galenaseam/galenaseam/document"
)

const (
	// budgetCap is the most retries that a budget saves up.
	budgetCap = 10.0
	// budgetFloor is what every budget starts with, so that a quiet class can
	// retry at all.
	budgetFloor = 2.0
	// defaultRetryShare serves classes that declare no budget.
	defaultRetryShare = 0.1
	// costRetryPart is the part of its share that a class which puts cost
	// first may spend.
	costRetryPart = 0.5
	// leastBackoff and mostBackoff bound the wait before a retry.
	leastBackoff = 2 * time.Millisecond
	mostBackoff  = 100 * time.Millisecond
)

// budget saves up a share of the first attempts for retries and hedges.
type budget struct{ tokens float64 }

func newBudget() *budget { return &budget{tokens: budgetFloor} }

func (b *budget) earn(share float64) { b.tokens = min(b.tokens+share, budgetCap) }

// retryBudgets holds the budgets by class, and by pool over all classes, so
// that a failing pool never gets more than a set multiple of its load.
type retryBudgets struct {
	settings Settings
	byClass  map[string]*budget
	byPool   map[string]*budget
}

func newRetryBudgets(settings Settings) *retryBudgets {
	return &retryBudgets{
		settings: settings,
		byClass:  make(map[string]*budget),
		byPool:   make(map[string]*budget),
	}
}

func budgetOf(m map[string]*budget, key string) *budget {
	b := m[key]
	if b == nil {
		b = newBudget()
		m[key] = b
	}
	return b
}

func classShare(class *document.Class) float64 {
	share := class.RetryBudget
	if share <= 0 {
		share = defaultRetryShare
	}
	if class.Weigh == document.WeighCost {
		share *= costRetryPart
	}
	return share
}

// earn counts a first attempt.
func (b *retryBudgets) earn(pool string, class *document.Class) {
	budgetOf(b.byClass, class.Name).earn(classShare(class))
	budgetOf(b.byPool, pool).earn(b.settings.PoolRetryShare)
}

// spend takes one attempt from both budgets, or nothing from either.
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

// MayRetry says whether a stage may be tried again after a failure, and how
// long to wait first. It spends budget when it says yes, unless nothing
// was sent.
func (c *Core) MayRetry(now time.Time, r *Request, stage int, f Failure) (time.Duration, bool) {
	if !f.blamesUpstream() || (f.ran() && !r.Idempotent) {
		return 0, false
	}
	if r.attempts[stage] >= c.settings.MaxAttempts {
		return 0, false
	}
	wait := c.backoff(r.attempts[stage])
	if now.Add(wait).After(c.latestStart(r, stage)) {
		return 0, false
	}
	if f == NotSent {
		// It put no load on the pool, so it spends nothing.
		return wait, true
	}
	if !c.budgets.spend(r.Stages[stage].Pool, &r.Class) {
		c.log.retry(now, r, stage, f, false)
		return 0, false
	}
	c.log.retry(now, r, stage, f, true)
	return wait, true
}

func (c *Core) backoff(attempts int) time.Duration {
	most := min(leastBackoff<<min(attempts, 6), mostBackoff)
	return leastBackoff + time.Duration(c.rand.Int64N(int64(most)))
}
