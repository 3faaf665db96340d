package config

import (
	"context"
	"errors"
	"slices"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/infra"
)

// change carries one edit through its tries.
type change struct {
	writer *Writer
	edit   Edit
	// first says that this is the first document of all.
	first bool
	// since is the generation after which the operation may have been accepted.
	since Generation
	team  string
	// pending is the version that a lost write of the head expected. Once the
	// head has another version, that write can't take effect any more.
	pending   infra.Version
	uncertain bool
}

// errAgain says that the head moved, so that the edit is checked anew.
var errAgain = errors.New("the head moved")

// run tries until the edit is decided.
func (c *change) run(ctx context.Context) (Result, error) {
	var err error
	for try := range maxTries {
		var result Result
		result, err = c.try(ctx)
		if err == nil {
			return result, nil
		}
		if !retryable(err) && !c.uncertain {
			return Result{}, err
		}
		if sleep(ctx, try) != nil {
			break
		}
	}
	switch {
	case c.uncertain:
		return Result{}, Error.Wrap(ErrUncertain)
	case errors.Is(err, errAgain):
		return Result{}, Error.Wrap(ErrBusy)
	}
	return Result{}, Error.New("%w: %s", ErrUnavailable, err)
}

// retryable says whether another try may decide the edit.
func retryable(err error) bool {
	for _, passing := range []error{
		errAgain, infra.ErrUnavailable, infra.ErrUncertain, infra.ErrBudget, context.DeadlineExceeded,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// try checks the edit against the newest head and moves it.
func (c *change) try(ctx context.Context) (Result, error) {
	before := c.writer.floor()
	h, version, err := c.writer.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if c.uncertain && version != c.pending {
		c.uncertain = false
	}
	done, already, err := lineage{h, c.writer.objects}.operation(ctx, c.edit.OperationID, c.since)
	if err != nil {
		return Result{}, err
	}
	if already {
		return Result{Generation: done.Generation, Hash: done.Record, Already: true}, nil
	}
	if err := c.writer.guard(ctx, h, before); err != nil {
		return Result{}, err
	}
	next, objects, err := c.prepare(ctx, h)
	if err != nil {
		return Result{}, err
	}
	if err := putObjects(ctx, c.writer.cfg.Store, objects); err != nil {
		return Result{}, err
	}
	return c.move(ctx, next, version)
}

// prepare checks the edit against a head and makes the next one, with the
// objects that it needs.
func (c *change) prepare(ctx context.Context, h *head) (*head, []object, error) {
	if len(c.edit.Sections) == 0 {
		return nil, nil, Error.New("the change has no sections: nothing differs")
	}
	if c.first {
		return c.prepareFirst(h)
	}
	if h == nil {
		return nil, nil, Error.Wrap(ErrUnknownGeneration)
	}
	current, err := c.current(ctx, h)
	if err != nil {
		return nil, nil, err
	}
	if err := c.checkOwner(current); err != nil {
		return nil, nil, err
	}
	if err := c.checkBase(ctx, h, current); err != nil {
		return nil, nil, err
	}
	parsed, err := parse(current.Bodies.With(c.edit.Sections), current.Document)
	if err != nil {
		return nil, nil, err
	}
	sections := current.sectionsFor(parsed.Bodies())
	objects := append(newObjects(sections, h.Record), newObject(encode(h.Record)))
	return h.next(refsOf(sections), c.operation()), objects, nil
}

// prepareFirst makes the first head of all.
func (c *change) prepareFirst(h *head) (*head, []object, error) {
	if h != nil {
		return nil, nil, Error.Wrap(&ConflictError{Sections: c.edit.sections(), Current: h.generation()})
	}
	parsed, err := parse(c.edit.Sections, nil)
	if err != nil {
		return nil, nil, err
	}
	sections := makeSections(parsed.Bodies())
	return (*head)(nil).next(refsOf(sections), c.operation()), newObjects(sections, Record{}), nil
}

// current loads the document that a head names.
func (c *change) current(ctx context.Context, h *head) (*Snapshot, error) {
	var nearest *Snapshot
	for _, known := range []*Snapshot{c.writer.inForce(), c.writer.last.Load()} {
		if known != nil && known.Hash == h.hash() {
			return known, nil
		}
		if headOf(known).generation() > headOf(nearest).generation() {
			nearest = known
		}
	}
	loaded, err := load(ctx, h, nearest, c.writer.objects)
	if err == nil {
		c.writer.last.Store(loaded)
	}
	return loaded, err
}

// checkOwner settles who asks and whether the team may.
func (c *change) checkOwner(current *Snapshot) error {
	owner, err := teamOf(current.Document, c.edit)
	if err != nil {
		return err
	}
	c.team = owner.Team
	return checkOwner(owner, c.edit)
}

// checkBase refuses an edit whose own sections were changed since its base.
func (c *change) checkBase(ctx context.Context, h *head, current *Snapshot) error {
	base, _, err := lineage{h, c.writer.objects}.at(ctx, c.edit.Base)
	if err != nil {
		return err
	}
	changed := clashes(base, h.Record, c.edit)
	if len(changed) == 0 {
		return nil
	}
	refs := slices.DeleteFunc(slices.Clone(base.Sections), func(ref SectionRef) bool {
		return !slices.Contains(changed, ref.Section)
	})
	before, err := loadBodies(ctx, refs, current, c.writer.objects)
	if err != nil {
		return err
	}
	after := slices.DeleteFunc(slices.Clone(current.Bodies), func(body document.Body) bool {
		return !slices.Contains(changed, body.Section)
	})
	diff := diffBodies(before, after, "base", "current")
	return Error.Wrap(&ConflictError{Sections: changed, Current: h.generation(), Diff: diff})
}

// operation is what the record says of the change.
func (c *change) operation() Operation {
	return Operation{
		ID: c.edit.OperationID, Team: c.team, Sections: c.edit.sections(),
		Reason: c.edit.Reason, AtUnixNano: c.writer.cfg.Now().UnixNano(),
	}
}

// move moves the head. After a lost answer the next try reads it back.
func (c *change) move(ctx context.Context, next *head, expect infra.Version) (Result, error) {
	_, err := c.writer.cfg.Store.CompareAndSwap(ctx, headKey, expect, encode(next), infra.NoLease)
	switch {
	case err == nil:
		return Result{Generation: next.generation(), Hash: next.hash()}, nil
	case errors.Is(err, infra.ErrConflict):
		return Result{}, errAgain
	case errors.Is(err, infra.ErrUnavailable):
		return Result{}, Error.Wrap(err)
	}
	c.uncertain = true
	c.pending = expect
	return Result{}, Error.New("%w: %s", errAgain, err)
}

// parse reads a document and turns its faults into this package's error.
func parse(bodies document.Bodies, previous *document.Document) (*document.Document, error) {
	parsed, err := document.ParseBodies(bodies, previous)
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		return nil, Error.Wrap(&InvalidError{Cause: invalid})
	}
	return parsed, Error.Wrap(err)
}

// newObjects lists the objects of sections that a record doesn't name yet.
func newObjects(sections []section, known Record) []object {
	var objects []object
	for _, s := range sections {
		if known.section(s.ref.Section) != s.ref.Manifest {
			objects = append(objects, s.chunks...)
			objects = append(objects, s.manifest)
		}
	}
	return objects
}

// putTries is how often an object's write is tried when its answer is lost.
const putTries = 5

// putObject writes one object unless the store has it.
func putObject(ctx context.Context, store infra.Store, o object) error {
	var err error
	for range putTries {
		_, err = store.CompareAndSwap(ctx, objectKey(o.hash), infra.NoVersion, o.content, infra.NoLease)
		if errors.Is(err, infra.ErrConflict) {
			return nil
		}
		if !errors.Is(err, infra.ErrUncertain) || ctx.Err() != nil {
			break
		}
	}
	return Error.Wrap(err)
}
