package upstream

import "slices"

// ReportModels records which models an engine can serve now. Unknown upstreams
// are ignored.
func (t *Table) ReportModels(id ID, models []string) {
	t.registryMu.Lock()
	defer t.registryMu.Unlock()
	e, ok := t.registry.entries[id]
	if ok && !slices.Equal(e.Models, models) {
		e.Models = models
		t.rebuildSoon()
	}
}
