package config

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/infra"
)

// Keys in the store.
const (
	headKey      = "config/head"
	objectPrefix = "config/object/"
)

// maxConcurrentStoreCalls bounds the concurrent store calls of one load or
// change.
const maxConcurrentStoreCalls = 8

// objectKey returns the store's key of an object.
func objectKey(hash Hash) string { return objectPrefix + hash.String() }

// objectSource returns objects by hash. It checks their content against the
// hashes and leaves out what it doesn't have.
type objectSource interface {
	get(ctx context.Context, wanted []Hash) ([]object, error)
}

// storeSource reads objects from the platform's store.
type storeSource struct {
	store infra.Store
}

// get reads each object by its key.
func (s storeSource) get(ctx context.Context, wanted []Hash) ([]object, error) {
	var mu sync.Mutex
	var found []object
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStoreCalls)
	for _, hash := range wanted {
		group.Go(func() error {
			entry, err := s.store.Get(ctx, objectKey(hash))
			if err != nil {
				return Error.Wrap(err)
			}
			if entry.Version != infra.NoVersion && hashOf(entry.Value) == hash {
				mu.Lock()
				defer mu.Unlock()
				found = append(found, object{hash, entry.Value})
			}
			return nil
		})
	}
	err := group.Wait()
	return found, err
}

// sourceChain tries several sources in order and asks each only for what is
// still missing.
type sourceChain []objectSource

// get returns what the sources hold between them. It fails only if objects are
// missing and a source failed.
func (c sourceChain) get(ctx context.Context, wanted []Hash) ([]object, error) {
	var found []object
	var failed error
	for _, next := range c {
		if len(wanted) == 0 {
			break
		}
		got, err := next.get(ctx, wanted)
		if err != nil {
			failed = err
		}
		found = append(found, got...)
		wanted = missingHashes(wanted, got)
	}
	if len(wanted) == 0 {
		return found, nil
	}
	return found, failed
}

// missingHashes returns the wanted hashes that got has no object for.
func missingHashes(wanted []Hash, got []object) []Hash {
	have := make(map[Hash]bool, len(got))
	for _, o := range got {
		have[o.hash] = true
	}
	var missing []Hash
	for _, hash := range wanted {
		if !have[hash] {
			missing = append(missing, hash)
		}
	}
	return missing
}

// putObjects writes objects unless the store has them already.
func putObjects(ctx context.Context, store infra.Store, objects []object) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStoreCalls)
	for _, o := range objects {
		group.Go(func() error { return putObject(ctx, store, o) })
	}
	return group.Wait()
}
