package galenaseam

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/galenaseam/galenaseam/config"
	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/operator"
	"github.com/galenaseam/galenaseam/problem"
)

// configEditor implements operator.Editor with the host's writer and syncer.
type configEditor struct {
	writer *config.Writer
	syncer *config.Syncer
}

// Text returns the document in force and its generation.
func (e *configEditor) Text() (operator.ConfigText, error) {
	current := e.syncer.Current()
	if current == nil {
		return operator.ConfigText{}, problem.New(http.StatusServiceUnavailable, "not_ready", "the host has no configuration yet", problem.No)
	}
	return operator.ConfigText{
		Generation: uint64(current.Generation),
		Text:       string(document.Join(current.Bodies)),
	}, nil
}

// Apply submits changed sections as a new generation.
func (e *configEditor) Apply(ctx context.Context, key string, r operator.ApplyRequest) (operator.ApplyResponse, error) {
	edit := config.Edit{
		OperationID: r.OperationID,
		OperatorKey: key,
		Base:        config.Generation(r.Base),
		Reason:      r.Reason,
	}
	for _, s := range r.Sections {
		edit.Sections = append(edit.Sections, document.Body{Section: document.Section(s.Name), Text: []byte(s.Body)})
	}
	result, err := e.writer.Apply(ctx, edit)
	return applyAnswer(result, err)
}

// Rollback submits the sections of an earlier generation as a new generation.
func (e *configEditor) Rollback(ctx context.Context, key string, r operator.RollbackRequest) (operator.ApplyResponse, error) {
	result, err := e.writer.Rollback(ctx, config.RollbackRequest{
		OperationID: r.OperationID,
		OperatorKey: key,
		To:          config.Generation(r.Generation),
		Reason:      r.Reason,
	})
	return applyAnswer(result, err)
}

// Create submits the first document.
func (e *configEditor) Create(ctx context.Context, r operator.CreateRequest) (operator.ApplyResponse, error) {
	bodies, err := document.Split([]byte(r.Text))
	if err != nil {
		return operator.ApplyResponse{}, problem.New(http.StatusUnprocessableEntity, "invalid_document", err.Error(), problem.No)
	}
	result, err := e.writer.Create(ctx, r.OperationID, bodies, r.Reason)
	return applyAnswer(result, err)
}

// Restore writes the generation that this host serves back into a store that has
// an older one.
func (e *configEditor) Restore(ctx context.Context) (operator.ApplyResponse, error) {
	result, err := e.writer.Restore(ctx)
	return applyAnswer(result, err)
}

// History returns the n newest accepted generations.
func (e *configEditor) History(ctx context.Context, n int) ([]operator.HistoryRow, error) {
	records, err := e.writer.History(ctx, n)
	if err != nil {
		return nil, editProblem(err)
	}
	rows := make([]operator.HistoryRow, 0, len(records))
	for _, record := range records {
		rows = append(rows, historyRow(record))
	}
	return rows, nil
}

// historyRow converts a record of the history for operators.
func historyRow(record config.Record) operator.HistoryRow {
	row := operator.HistoryRow{
		Generation: uint64(record.Generation),
		Time:       time.Unix(0, record.Operation.AtUnixNano),
		Team:       record.Operation.Team,
		Reason:     record.Operation.Reason,
	}
	for _, section := range record.Operation.Sections {
		row.Sections = append(row.Sections, string(section))
	}
	return row
}

// applyAnswer converts a writer's result or error for operators.
func applyAnswer(result config.Result, err error) (operator.ApplyResponse, error) {
	if err != nil {
		return operator.ApplyResponse{}, editProblem(err)
	}
	return operator.ApplyResponse{Generation: uint64(result.Generation), Repeated: result.Repeated}, nil
}

// editProblem converts a writer's error into a problem for operators. The
// problem's field "ran" says whether the change was accepted.
func editProblem(err error) *problem.Problem {
	var invalid *config.InvalidError
	var forbidden *config.ForbiddenError
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &invalid):
		return problem.New(http.StatusUnprocessableEntity, "invalid_document", invalid.Error(), problem.No)
	case errors.As(err, &forbidden):
		return problem.New(http.StatusForbidden, "forbidden", forbidden.Error(), problem.No)
	case errors.As(err, &conflict):
		return problem.New(http.StatusConflict, "conflict", conflict.Error(), problem.No)
	case errors.Is(err, config.ErrUncertain):
		return problem.New(http.StatusGatewayTimeout, "uncertain", "the change may have been accepted; ask again with the same operation ID", problem.Unknown)
	case errors.Is(err, config.ErrUnavailable):
		return problem.New(http.StatusServiceUnavailable, "store_unavailable", err.Error(), problem.No).WithRetryAfter(time.Second)
	default:
		return problem.New(http.StatusConflict, "refused", err.Error(), problem.No)
	}
}
