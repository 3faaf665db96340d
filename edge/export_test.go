package edge

import (
	"context"

	"github.com/galenaseam/galenaseam/internal/explain"
)

// Explain answers a query that has a route or a stage service.
func (h *Host) Explain(ctx context.Context, q explain.Query) explain.Report {
	report, _ := h.explain(ctx, q)
	return report
}
