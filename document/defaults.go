package document

// The defaults of keys that are absent from a document.
const (
	defaultGroup       = "default"
	defaultMinCopies   = 1
	defaultConcurrency = 1
	defaultMaxSetAside = 0.3 // fraction of a pool's upstreams
	defaultRetryBudget = 0.1 // fraction of a class's calls
	defaultMaxTokens   = 512
	defaultTopK        = 10
	defaultShare       = 1.0
)

// SetDefaults sets the defaults of a Model's keys.
func (m *Model) SetDefaults() {
	m.Group = defaultGroup
	m.MinCopies = defaultMinCopies
}

// SetDefaults sets the defaults of a Pool's keys.
func (p *Pool) SetDefaults() {
	p.Concurrency = defaultConcurrency
	p.MaxSetAside = defaultMaxSetAside
}

// SetDefaults sets the defaults of a Class's keys.
func (c *Class) SetDefaults() {
	c.Objective = ObjectiveAttainment
	c.RetryBudget = defaultRetryBudget
}

// SetDefaults sets the defaults of a Workspace's keys.
func (w *Workspace) SetDefaults() {
	w.Share = defaultShare
}

// fillDerivedDefaults sets the defaults that depend on other keys or sections.
// Sections reused from a previous document have them already and are not written
// to, since other goroutines may be reading them.
func (d *Document) fillDerivedDefaults() {
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
