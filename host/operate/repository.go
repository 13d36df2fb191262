package operate

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/store"
)

// maxStoreCalls bounds the calls that one command has at the store at a time.
const maxStoreCalls = 8

// The pause before a store call that had no answer is repeated doubles from
// initialBackoff, maxStoreAttempts times at most.
const (
	initialBackoff   = 50 * time.Millisecond
	maxStoreAttempts = 6
)

// Repository reads and writes the tree in the store. Make it with
// NewRepository. It is safe for concurrent use.
type Repository struct {
	store Store
	// wait waits between two tries. Tests replace it.
	wait func(ctx context.Context, d time.Duration) error
}

// NewRepository returns a repository in the given store.
func NewRepository(s Store) *Repository {
	return &Repository{store: s, wait: sleep}
}

// Revision is one version of the tree.
type Revision struct {
	Root configuration.Root // version 0: there is no tree yet
	Tree configuration.Tree
	// storeVersion is the version of the root record in the store.
	storeVersion uint64
}

// ErrNoVersion says that the history has no such version.
var ErrNoVersion = merry.Sentinel("no such version")

// Current returns the version in the store, an empty tree where there is none.
func (r *Repository) Current(ctx context.Context) (Revision, error) {
	root, storeVersion, err := r.loadRoot(ctx, store.RootKey)
	if err != nil {
		return Revision{}, err
	}
	revision, err := r.loadRevision(ctx, root)
	revision.storeVersion = storeVersion
	return revision, err
}

// At returns an earlier version, or the current one. Errors match
// ErrNoVersion.
func (r *Repository) At(ctx context.Context, version uint64) (Revision, error) {
	root, err := r.loadRootAt(ctx, version)
	if err != nil {
		return Revision{}, err
	}
	return r.loadRevision(ctx, root)
}

func (r *Repository) loadRootAt(ctx context.Context, version uint64) (configuration.Root, error) {
	current, _, err := r.loadRoot(ctx, store.RootKey)
	if err != nil || current.Version == version && version > 0 {
		return current, err
	}
	root, storeVersion, err := r.loadRoot(ctx, store.HistoryKey(version))
	if err == nil && storeVersion == 0 {
		return root, merry.Wrap(ErrNoVersion, merry.AppendMessagef("version %d", version))
	}
	return root, err
}

func (r *Repository) loadRoot(ctx context.Context, key string) (configuration.Root, uint64, error) {
	value, version, err := r.get(ctx, key)
	if err != nil || version == 0 {
		return configuration.Root{}, 0, err
	}
	root, err := store.DecodeRoot(value)
	return root, version, err
}

func (r *Repository) loadRevision(ctx context.Context, root configuration.Root) (Revision, error) {
	shards := make([]configuration.Shard, len(root.Shards))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStoreCalls)
	for i, ref := range root.Shards {
		group.Go(func() error {
			var err error
			shards[i], err = r.loadShard(ctx, ref)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Revision{}, err
	}
	parts := make(configuration.Parts, len(shards))
	for i, ref := range root.Shards {
		parts[ref.Name] = shards[i].Branches
	}
	tree, err := configuration.Join(parts)
	return Revision{Root: root, Tree: tree}, err
}

func (r *Repository) loadShard(ctx context.Context, ref configuration.ShardRef) (configuration.Shard, error) {
	value, version, err := r.get(ctx, store.ShardKey(ref.Hash))
	if err != nil {
		return configuration.Shard{}, err
	}
	if version == 0 {
		return configuration.Shard{}, merry.Errorf("shard %s (%s) is not in the store", ref.Name, ref.Hash)
	}
	return store.DecodeShard(ref.Hash, value)
}

// get reads a record and repeats the call while the store does not answer.
func (r *Repository) get(ctx context.Context, key string) (value []byte, version uint64, err error) {
	err = r.retry(ctx, func() error {
		value, version, err = r.store.Get(ctx, key)
		return err
	})
	return value, version, err
}

// putImmutable writes a record that never changes. One that is there is the same.
func (r *Repository) putImmutable(ctx context.Context, key string, value []byte) error {
	return r.retry(ctx, func() error {
		_, err := r.store.CompareAndSwap(ctx, key, 0, value)
		if isConflict(err) {
			return nil
		}
		return err
	})
}

// retry runs a call that is safe to retry until the store answers.
func (r *Repository) retry(ctx context.Context, call func() error) error {
	pause := initialBackoff
	for try := 1; ; try++ {
		err := call()
		if !isUnavailable(err) || try == maxStoreAttempts {
			return err
		}
		if err := r.wait(ctx, pause); err != nil {
			return err
		}
		pause *= 2
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
