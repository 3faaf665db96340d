package standin

import (
	"maps"
	"net/http"
	"sync"

	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// ReferenceCounts counts calls by the references, of the form ref-…, that
// callers put into request bodies. It is safe for concurrent use.
type ReferenceCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewReferenceCounts returns a ReferenceCounts without any calls.
func NewReferenceCounts() *ReferenceCounts { return &ReferenceCounts{counts: map[string]int{}} }

// Add counts a call once for each different reference in its body.
func (c *ReferenceCounts) Add(body []byte) {
	references := model.References(string(body))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, reference := range references {
		c.counts[reference]++
	}
}

// Counts returns the number of calls for each reference.
func (c *ReferenceCounts) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// ServeHTTP responds with a JSON object that maps each reference to its count.
func (c *ReferenceCounts) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, c.Counts())
}
