package config

import (
	"context"
	"slices"

	"github.com/galenaseam/galenaseam/document"
)

// History returns the newest n records, newest first.
func (w *Writer) History(ctx context.Context, n int) ([]Record, error) {
	h, _, err := w.readHead(ctx)
	if err != nil {
		return nil, err
	}
	var records []Record
	if n <= 0 {
		return records, nil
	}
	err = lineage{h, w.objects}.walk(ctx, h.generation(), func(record Record, _ Hash) bool {
		records = append(records, record)
		return len(records) < n
	})
	return records, err
}

// Bodies returns the sections and the record of a generation. Zero means the
// newest.
func (w *Writer) Bodies(ctx context.Context, generation Generation) (document.Bodies, Record, error) {
	h, _, err := w.readHead(ctx)
	if err != nil {
		return nil, Record{}, err
	}
	if generation == 0 {
		generation = h.generation()
	}
	return w.bodiesAt(ctx, h, generation)
}

// bodiesAt loads the sections of a generation in a head's history.
func (w *Writer) bodiesAt(ctx context.Context, h *head, generation Generation) (document.Bodies, Record, error) {
	record, _, err := lineage{h, w.objects}.recordAt(ctx, generation)
	if err != nil {
		return nil, Record{}, err
	}
	bodies, err := loadBodies(ctx, record.Sections, w.servedSnapshot(), w.objects)
	return bodies, record, err
}

// Diff returns the unified diff between two generations.
func (w *Writer) Diff(ctx context.Context, from, to Generation) (string, error) {
	before, a, err := w.Bodies(ctx, from)
	if err != nil {
		return "", err
	}
	after, b, err := w.Bodies(ctx, to)
	if err != nil {
		return "", err
	}
	return diffBodies(before, after, generationName(a), generationName(b)), nil
}

// RollbackRequest asks to change sections back to an earlier generation's
// content.
type RollbackRequest struct {
	OperationID  string
	OperatorKey  string
	VerifiedTeam string
	// To is the generation whose content is restored.
	To Generation
	// Sections are the sections to restore; empty means all that differ.
	Sections []document.Section
	Reason   string
}

// Rollback restores sections of an earlier generation as a new generation. It
// returns the same errors as Apply.
func (w *Writer) Rollback(ctx context.Context, r RollbackRequest) (Result, error) {
	h, _, err := w.readHead(ctx)
	if err != nil {
		return Result{}, Error.New("%w: %s", ErrUnavailable, err)
	}
	former, _, err := w.bodiesAt(ctx, h, r.To)
	if err != nil {
		return Result{}, err
	}
	newest, _, err := w.bodiesAt(ctx, h, h.generation())
	if err != nil {
		return Result{}, err
	}
	edit := Edit{
		OperationID: r.OperationID, OperatorKey: r.OperatorKey, VerifiedTeam: r.VerifiedTeam,
		Base: h.generation(), Sections: bodiesToRevert(former, newest, r.Sections), Reason: r.Reason,
	}
	c := &change{writer: w, edit: edit, since: r.To}
	result, err := c.run(ctx)
	w.recordOutcome(c, result, err)
	return result, err
}

// bodiesToRevert returns the former texts of the sections that differ now,
// limited to only unless that is empty.
func bodiesToRevert(former, newest document.Bodies, only []document.Section) document.Bodies {
	var changes document.Bodies
	for _, section := range document.Sections() {
		selected := len(only) == 0 || slices.Contains(only, section)
		if selected && string(former.Get(section)) != string(newest.Get(section)) {
			changes = append(changes, document.Body{Section: section, Text: former.Get(section)})
		}
	}
	return changes
}
