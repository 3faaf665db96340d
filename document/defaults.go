package document

// The values of keys that a document leaves out.
const (
	defaultGroup       = "default"
	defaultMinCopies   = 1
	defaultConcurrency = 1
	defaultMaxSetAside = 0.3 // share of a pool
	defaultRetryBudget = 0.1 // share of a class's calls
	defaultMaxTokens   = 512
	defaultTopK        = 10
	defaultShare       = 1.0
)

// SetDefaults fills in what a Model has when its keys are absent.
func (m *Model) SetDefaults() {
	m.Group = defaultGroup
	m.MinCopies = defaultMinCopies
}

// SetDefaults fills in what a Pool has when its keys are absent.
func (p *Pool) SetDefaults() {
	p.Concurrency = defaultConcurrency
	p.MaxSetAside = defaultMaxSetAside
}

// SetDefaults fills in what a Class has when its keys are absent.
func (c *Class) SetDefaults() {
	c.Weigh = WeighAttainment
	c.RetryBudget = defaultRetryBudget
}

// SetDefaults fills in what a Workspace has when its keys are absent.
func (w *Workspace) SetDefaults() {
	w.Share = defaultShare
}

// fillDerived sets the defaults that depend on other keys or sections. It
// writes nothing to sections that were filled before: others may read them.
func (d *Document) fillDerived() {
	for i := range d.Stages {
		stage := &d.Stages[i]
		if stage.Kind == KindGenerate && stage.MaxTokens == 0 {
			stage.MaxTokens = defaultMaxTokens
		}
		if (stage.Kind == KindRetrieve || stage.Kind == KindRerank) && stage.TopK == 0 {
			stage.TopK = defaultTopK
		}
	}
	for i := range d.Pipelines {
		pipeline := &d.Pipelines[i]
		class, ok := d.Class(pipeline.Class)
		if ok && pipeline.Deadline == 0 {
			pipeline.Deadline = class.Deadline
		}
	}
}
