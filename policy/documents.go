package policy

import "github.com/galenaseam/galenaseam/document"

const (
	// defaultConcurrency and defaultMaxSetAside apply to pools for which the
	// document sets no value.
	defaultConcurrency = 8
	defaultMaxSetAside = 0.3
	// maxDocuments is how many generations stay indexed at once.
	maxDocuments = 4
)

// documentIndex is an index of one generation of the document.
type documentIndex struct {
	document   *document.Document
	pools      map[string]document.Pool
	stages     map[string]document.Stage
	prices     map[string]document.Price
	workspaces map[string]document.Workspace
}

func newDocumentIndex(d *document.Document) *documentIndex {
	t := &documentIndex{
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

// pool returns a pool's configuration with defaults filled in.
func (t *documentIndex) pool(name string) document.Pool {
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

// share returns a workspace's weight in fair queueing.
func (t *documentIndex) share(workspace string) float64 {
	if w, ok := t.workspaces[workspace]; ok && w.Share > 0 {
		return w.Share
	}
	return 1
}

// otherWorkspaces is the common label of all workspaces that aren't marked
// large.
const otherWorkspaces = "other"

// workspaceLabel returns the label of a workspace in costs and metrics. Only
// large workspaces have labels of their own, which bounds their number.
func (t *documentIndex) workspaceLabel(workspace string) string {
	if t.workspaces[workspace].Large {
		return workspace
	}
	return otherWorkspaces
}

// documentIndexes keeps the indexes of the latest generations, newest last.
type documentIndexes struct {
	indexes []*documentIndex
}

func (d *documentIndexes) indexOf(doc *document.Document) *documentIndex {
	for _, t := range d.indexes {
		if t.document == doc {
			return t
		}
	}
	t := newDocumentIndex(doc)
	d.indexes = append(d.indexes, t)
	if len(d.indexes) > maxDocuments {
		d.indexes = d.indexes[1:]
	}
	return t
}

// pool returns a pool's configuration in the newest generation.
func (d *documentIndexes) pool(name string) document.Pool {
	if len(d.indexes) == 0 {
		return (&documentIndex{}).pool(name)
	}
	return d.indexes[len(d.indexes)-1].pool(name)
}
