package policy

import "github.com/galenaseam/galenaseam/document"

const (
	// defaultConcurrency serves pools that the document doesn't describe.
	defaultConcurrency = 8
	defaultMaxSetAside = 0.3
	// maxDocuments is how many generations are in use at once.
	maxDocuments = 4
)

// terms is an index over one generation of the document.
type terms struct {
	document   *document.Document
	pools      map[string]document.Pool
	stages     map[string]document.Stage
	prices     map[string]document.Price
	workspaces map[string]document.Workspace
}

func indexDocument(d *document.Document) *terms {
	t := &terms{
		document:   d,
		pools:      make(map[string]document.Pool),
		stages:     make(map[string]document.Stage),
		prices:     make(map[string]document.Price),
		workspaces: make(map[string]document.Workspace),
	}
	if d == nil {
		return t
	}
	for _, p := range d.Pools {
		t.pools[p.Name] = p
	}
	for _, s := range d.Stages {
		t.stages[s.Name] = s
	}
	for _, p := range d.Prices {
		t.prices[p.Pool] = p
	}
	for _, w := range d.Workspaces {
		if w.Large || (w.Share != 0 && w.Share != 1) {
			t.workspaces[w.Name] = w
		}
	}
	return t
}

// pool returns a pool's description with its defaults.
func (t *terms) pool(name string) document.Pool {
	p, ok := t.pools[name]
	if !ok {
		p = document.Pool{Name: name}
	}
	if p.Concurrency <= 0 {
		p.Concurrency = defaultConcurrency
	}
	if p.MaxSetAside <= 0 {
		p.MaxSetAside = defaultMaxSetAside
	}
	return p
}

// share returns a workspace's weight in fair queues.
func (t *terms) share(workspace string) float64 {
	if w, ok := t.workspaces[workspace]; ok && w.Share > 0 {
		return w.Share
	}
	return 1
}

// otherWorkspaces is the label of every workspace that isn't large.
const otherWorkspaces = "other"

// label bounds the workspaces that costs and metrics tell apart.
func (t *terms) label(workspace string) string {
	if t.workspaces[workspace].Large {
		return workspace
	}
	return otherWorkspaces
}

// documents keeps the indexes of the generations in use, newest last.
type documents struct {
	indexed []*terms
}

func (d *documents) of(doc *document.Document) *terms {
	for _, t := range d.indexed {
		if t.document == doc {
			return t
		}
	}
	t := indexDocument(doc)
	d.indexed = append(d.indexed, t)
	if len(d.indexed) > maxDocuments {
		d.indexed = d.indexed[1:]
	}
	return t
}

// pool describes a pool by the newest generation that was seen.
func (d *documents) pool(name string) document.Pool {
	if len(d.indexed) == 0 {
		return (&terms{}).pool(name)
	}
	return d.indexed[len(d.indexed)-1].pool(name)
}
