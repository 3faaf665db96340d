package config

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/galenaseam/galenaseam/infra"
)

// The keys of the store.
const (
	headKey      = "config/head"
	objectPrefix = "config/object/"
)

// storeParallel bounds the calls to the store that one load or change makes
// at once.
const storeParallel = 8

// objectKey is where the store keeps an object.
func objectKey(hash Hash) string { return objectPrefix + hash.String() }

// source gives objects by hash. What it returns has been checked against its
// hash; what it doesn't have is left out.
type source interface {
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
	group.SetLimit(storeParallel)
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

// chain asks several sources in turn for what the ones before lacked.
type chain []source

// get returns what the sources have together. It fails only when something is
// missing and a source failed.
func (c chain) get(ctx context.Context, wanted []Hash) ([]object, error) {
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
		wanted = without(wanted, got)
	}
	if len(wanted) == 0 {
		return found, nil
	}
	return found, failed
}

// without returns the hashes that none of the objects has.
func without(wanted []Hash, got []object) []Hash {
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

// putObjects writes objects that the store may have already.
func putObjects(ctx context.Context, store infra.Store, objects []object) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(storeParallel)
	for _, o := range objects {
		group.Go(func() error { return putObject(ctx, store, o) })
	}
	return group.Wait()
}
