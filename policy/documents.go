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
	x := &documentIndex{
		document:   d,
		pools:      make(map[string]document.Pool),
		stages:     make(map[string]document.Stage),
		prices:     make(map[string]document.Price),
		workspaces: make(map[string]document.Workspace),
	}
	if d == nil {
		return x
	}
	for _, p := range d.Pools {
		x.pools[p.Name] = p
	}
	for _, s := range d.Stages {
		x.stages[s.Name] = s
	}
	for _, p := range d.Prices {
		x.prices[p.Pool] = p
	}
	for _, w := range d.Workspaces {
		if w.Large || (w.Share != 0 && w.Share != 1) {
			x.workspaces[w.Name] = w
		}
	}
	return x
}

// pool returns a pool's configuration with defaults filled in.
func (x *documentIndex) pool(name string) document.Pool {
	p, ok := x.pools[name]
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
func (x *documentIndex) share(workspace string) float64 {
	if w, ok := x.workspaces[workspace]; ok && w.Share > 0 {
		return w.Share
	}
	return 1
}

// otherWorkspaces is the common label of all workspaces that aren't marked
// large.
const otherWorkspaces = "other"

// workspaceLabel returns the label of a workspace in costs and metrics. Only
// large workspaces have labels of their own, which bounds their number.
func (x *documentIndex) workspaceLabel(workspace string) string {
	if x.workspaces[workspace].Large {
		return workspace
	}
	return otherWorkspaces
}

// documentIndexes keeps the indexes of the latest generations, newest last.
type documentIndexes struct {
	indexes []*documentIndex
}

// indexOf returns the index of a generation, creating it if needed.
func (d *documentIndexes) indexOf(doc *document.Document) *documentIndex {
	for _, x := range d.indexes {
		if x.document == doc {
			return x
		}
	}
	x := newDocumentIndex(doc)
	d.indexes = append(d.indexes, x)
	if len(d.indexes) > maxDocuments {
		d.indexes = d.indexes[1:]
	}
	return x
}

// pool returns a pool's configuration in the newest generation.
func (d *documentIndexes) pool(name string) document.Pool {
	if len(d.indexes) == 0 {
		return (&documentIndex{}).pool(name)
	}
	return d.indexes[len(d.indexes)-1].pool(name)
}
