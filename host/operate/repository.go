package operate

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// maxStoreCalls bounds the concurrent calls of one command to the store.
const maxStoreCalls = 8

// Store calls without a response are retried with exponential backoff: the delay
// starts at initialBackoff and doubles after each attempt.
const (
	initialBackoff   = 50 * time.Millisecond
	maxStoreAttempts = 6
)

// Repository reads and writes the configuration tree in the store. Create it
// with NewRepository. It is safe for concurrent use.
type Repository struct {
	store Store
	// wait blocks for d or until ctx ends. Tests replace it.
	wait func(ctx context.Context, d time.Duration) error
}

// NewRepository returns a repository backed by the given store.
func NewRepository(s Store) *Repository {
	return &Repository{store: s, wait: sleep}
}

// Revision is one version of the tree.
type Revision struct {
	Root configuration.Root // version 0 if no tree has been written yet
	Tree configuration.Tree
	// storeVersion is the store's version of the root record, as opposed to
	// Root.Version, the version of the tree.
	storeVersion uint64
	// evacuated are the evacuated failure domains in the root record, which an edit of
	// the tree keeps.
	evacuated []model.DomainID
}

// ErrNoVersion reports that the history has no such version.
var ErrNoVersion = merry.Sentinel("no such version")

// Current returns the current revision, or one with an empty tree if none has
// been written yet.
func (r *Repository) Current(ctx context.Context) (Revision, error) {
	value, storeVersion, err := r.get(ctx, store.RootKey)
	if err != nil {
		return Revision{}, err
	}
	var record store.RootRecord
	if storeVersion > 0 {
		if record, err = store.DecodeRootRecord(value); err != nil {
			return Revision{}, err
		}
	}
	revision, err := r.loadRevision(ctx, record.Root)
	revision.storeVersion = storeVersion
	revision.evacuated = record.Evacuated
	return revision, err
}

// At returns the revision of a version, which may be the current one. The error
// matches ErrNoVersion if there is no such version.
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
	parts := make(configuration.ShardContents, len(shards))
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

// get reads a record, with retries.
func (r *Repository) get(ctx context.Context, key string) (value []byte, version uint64, err error) {
	err = r.retry(ctx, func() error {
		value, version, err = r.store.Get(ctx, key)
		return err
	})
	return value, version, err
}

// putImmutable writes a record whose key determines its value. A conflict means
// that the record exists already, with the same value.
func (r *Repository) putImmutable(ctx context.Context, key string, value []byte) error {
	return r.retry(ctx, func() error {
		_, err := r.store.CompareAndSwap(ctx, key, 0, value)
		if isConflict(err) {
			return nil
		}
		return err
	})
}

// retry makes an idempotent call and retries it with exponential backoff while
// the store is unavailable.
func (r *Repository) retry(ctx context.Context, call func() error) error {
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := call()
		if !isUnavailable(err) || attempt == maxStoreAttempts {
			return err
		}
		if err := r.wait(ctx, backoff); err != nil {
			return err
		}
		backoff *= 2
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
