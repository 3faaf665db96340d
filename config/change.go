package config

import (
	"context"
	"errors"
	"slices"

	"github.com/galenaseam/galenaseam/document"
	"github.com/galenaseam/galenaseam/infra"
)

// change carries one edit through its attempts.
type change struct {
	writer *Writer
	edit   Edit
	// create means that the edit creates the first document.
	create bool
	// since is the generation after which the operation may have been
	// accepted.
	since Generation
	team  string
	// pendingVersion is the head version expected by a write whose answer was
	// lost. Once the head has another version, that write can no longer take
	// effect.
	pendingVersion infra.Version
	uncertain      bool
}

// errHeadMoved means that the head changed and the edit must be checked again.
var errHeadMoved = errors.New("the head moved")

// run makes attempts until the edit is accepted or refused.
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
		if sleepBackoff(ctx, try) != nil {
			break
		}
	}
	switch {
	case c.uncertain:
		return Result{}, Error.Wrap(ErrUncertain)
	case errors.Is(err, errHeadMoved):
		return Result{}, Error.Wrap(ErrBusy)
	}
	return Result{}, Error.New("%w: %s", ErrUnavailable, err)
}

// retryable reports whether another attempt may succeed.
func retryable(err error) bool {
	for _, transient := range []error{
		errHeadMoved, infra.ErrUnavailable, infra.ErrUncertain, infra.ErrBudgetExhausted, context.DeadlineExceeded,
	} {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// try checks the edit against the newest head and moves the head.
func (c *change) try(ctx context.Context) (Result, error) {
	floorBefore := c.writer.floor()
	h, version, err := c.writer.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if c.uncertain && version != c.pendingVersion {
		c.uncertain = false
	}
	done, already, err := lineage{h, c.writer.objects}.findOperation(ctx, c.edit.OperationID, c.since)
	if err != nil {
		return Result{}, err
	}
	if already {
		return Result{Generation: done.Generation, Hash: done.Record, Repeated: true}, nil
	}
	if err := c.writer.guard(ctx, h, floorBefore); err != nil {
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

// prepare checks the edit against a head. It returns the next head and the
// objects to store with it.
func (c *change) prepare(ctx context.Context, h *head) (*head, []object, error) {
	if len(c.edit.Sections) == 0 {
		return nil, nil, Error.New("the change has no sections: nothing differs")
	}
	if c.create {
		return c.prepareCreate(h)
	}
	if h == nil {
		return nil, nil, Error.Wrap(ErrUnknownGeneration)
	}
	current, err := c.loadCurrent(ctx, h)
	if err != nil {
		return nil, nil, err
	}
	if err := c.authorize(current); err != nil {
		return nil, nil, err
	}
	if err := c.checkBase(ctx, h, current); err != nil {
		return nil, nil, err
	}
	parsed, err := parse(current.Bodies.With(c.edit.Sections), current.Document)
	if err != nil {
		return nil, nil, err
	}
	sections := current.chunkBodies(parsed.Bodies())
	objects := append(changedObjects(sections, h.Record), newObject(encode(h.Record)))
	return h.next(sectionRefs(sections), c.newOperation()), objects, nil
}

// prepareCreate returns the first head and the objects to store with it.
func (c *change) prepareCreate(h *head) (*head, []object, error) {
	if h != nil {
		return nil, nil, Error.Wrap(&ConflictError{Sections: c.edit.sectionNames(), Current: h.generation()})
	}
	parsed, err := parse(c.edit.Sections, nil)
	if err != nil {
		return nil, nil, err
	}
	sections := chunkSections(parsed.Bodies())
	return (*head)(nil).next(sectionRefs(sections), c.newOperation()), changedObjects(sections, Record{}), nil
}

// loadCurrent loads the document of a head, reusing the newest document that
// the host already holds.
func (c *change) loadCurrent(ctx context.Context, h *head) (*Snapshot, error) {
	var nearest *Snapshot
	for _, known := range []*Snapshot{c.writer.servedSnapshot(), c.writer.lastLoaded.Load()} {
		if known != nil && known.Hash == h.hash() {
			return known, nil
		}
		if headOf(known).generation() > headOf(nearest).generation() {
			nearest = known
		}
	}
	loaded, err := load(ctx, h, nearest, c.writer.objects)
	if err == nil {
		c.writer.lastLoaded.Store(loaded)
	}
	return loaded, err
}

// authorize finds the team behind the edit and checks that it may make it.
func (c *change) authorize(current *Snapshot) error {
	owner, err := findOwner(current.Document, c.edit)
	if err != nil {
		return err
	}
	c.team = owner.Team
	return checkAllowed(owner, c.edit)
}

// checkBase refuses an edit if one of its sections has changed since its base.
func (c *change) checkBase(ctx context.Context, h *head, current *Snapshot) error {
	base, _, err := lineage{h, c.writer.objects}.recordAt(ctx, c.edit.Base)
	if err != nil {
		return err
	}
	changed := conflictingSections(base, h.Record, c.edit)
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

// newOperation returns the description of the change for its record.
func (c *change) newOperation() Operation {
	return Operation{
		ID: c.edit.OperationID, Team: c.team, Sections: c.edit.sectionNames(),
		Reason: c.edit.Reason, AtUnixNano: c.writer.cfg.Now().UnixNano(),
	}
}

// move replaces the head. If the answer is lost, the next attempt reads the
// head to find out whether the write took effect.
func (c *change) move(ctx context.Context, next *head, expect infra.Version) (Result, error) {
	_, err := c.writer.cfg.Store.CompareAndSwap(ctx, headKey, expect, encode(next), infra.NoLease)
	switch {
	case err == nil:
		return Result{Generation: next.generation(), Hash: next.hash()}, nil
	case errors.Is(err, infra.ErrConflict):
		return Result{}, errHeadMoved
	case errors.Is(err, infra.ErrUnavailable):
		return Result{}, Error.Wrap(err)
	}
	c.uncertain = true
	c.pendingVersion = expect
	return Result{}, Error.New("%w: %s", errHeadMoved, err)
}

// parse parses a document and returns its faults as an InvalidError.
func parse(bodies document.Bodies, previous *document.Document) (*document.Document, error) {
	parsed, err := document.ParseChange(bodies, previous)
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		return nil, Error.Wrap(&InvalidError{Cause: invalid})
	}
	return parsed, Error.Wrap(err)
}

// changedObjects returns the objects of those sections that differ from a
// record's.
func changedObjects(sections []sectionObjects, known Record) []object {
	var objects []object
	for _, s := range sections {
		if known.manifestOf(s.ref.Section) != s.ref.Manifest {
			objects = append(objects, s.chunks...)
			objects = append(objects, s.manifest)
		}
	}
	return objects
}

// maxPutTries bounds the attempts to write an object when answers are lost.
const maxPutTries = 5

// putObject writes one object unless the store has it already.
func putObject(ctx context.Context, store infra.Store, o object) error {
	var err error
	for range maxPutTries {
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
