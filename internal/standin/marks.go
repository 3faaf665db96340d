package standin

import (
	"maps"
	"net/http"
	"sync"

	"github.com/galenaseam/galenaseam/internal/standin/model"
	"github.com/galenaseam/galenaseam/internal/standin/server"
)

// Marks counts calls by the callers' marks, of the form ref-…, that they carry.
// It is safe for concurrent use.
type Marks struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewMarks returns an empty count.
func NewMarks() *Marks { return &Marks{runs: map[string]int{}} }

// Note counts the marks in the body of a call.
func (m *Marks) Note(body []byte) {
	marks := model.Marks(string(body))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, mark := range marks {
		m.runs[mark]++
	}
}

// Runs returns how many calls there were for each mark.
func (m *Marks) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.runs)
}

// ServeHTTP answers with a JSON object from mark to count.
func (m *Marks) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	server.WriteJSON(w, http.StatusOK, m.Runs())
}
