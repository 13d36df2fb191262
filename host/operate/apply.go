package operate

import (
	"context"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sync/errgroup"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/store"
)

// maxMergeAttempts bounds how often Apply merges an edit with concurrent ones
// before it gives up.
const maxMergeAttempts = 20

// Edit is a change that one operator makes to the tree.
type Edit struct {
	Author string
	Note   string
	// Base is the revision that the edit is based on.
	Base Revision
	// Tree is the complete tree after the edit.
	Tree configuration.Tree
}

// Result describes an accepted edit.
type Result struct {
	// Version is the version of the tree after the edit.
	Version uint64
	// Changes are the differences from the previous version. It is empty if
	// the edit changed nothing, in which case no new version was written.
	Changes []configuration.Change
	// MergedWith are the versions written since the edit's base, with which
	// the edit was merged.
	MergedWith []uint64
}

// InvalidError reports that the tree after an edit is invalid. Nothing was
// written.
type InvalidError struct{ Problems configuration.Problems }

// Error lists the problems, one per line.
func (e *InvalidError) Error() string { return e.Problems.Error() }

// ConflictError reports that another edit changed the same settings to other
// values. Nothing was written.
type ConflictError struct {
	Version   uint64 // current version in the store
	Author    string // of that version
	Conflicts []configuration.Conflict
	Changes   []configuration.Change // from the base to the version in the store
}

// Error lists the conflicts, followed by every change since the base.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "not applied: version %d by %s changed the same settings", e.Version, e.Author)
	for _, c := range e.Conflicts {
		b.WriteString("\n  " + c.String())
	}
	b.WriteString("\nchanges since the edit's base:")
	for _, c := range e.Changes {
		b.WriteString("\n  " + c.String())
	}
	return b.String()
}

// ErrOutcomeUnknown reports that the store did not respond to the
// compare-and-swap of the root, and that reading the root back did not show
// whether it took effect.
var ErrOutcomeUnknown = merry.Sentinel("no response from the store: the edit may or may not have been written, check with pollenctl tree history")

// Apply merges an edit with those written since its base (three-way merge),
// validates the merged tree and writes it. Errors: *InvalidError,
// *ConflictError, store.ErrUnavailable, ErrOutcomeUnknown.
func (r *Repository) Apply(ctx context.Context, edit Edit) (Result, error) {
	var mergedWith []uint64
	for range maxMergeAttempts {
		current, err := r.Current(ctx)
		if err != nil {
			return Result{}, err
		}
		for v := edit.Base.Root.Version + 1; v <= current.Root.Version; v++ {
			mergedWith = append(mergedWith, v)
		}
		tree, err := rebase(edit, current)
		if err != nil {
			return Result{}, err
		}
		result := Result{
			Version:    current.Root.Version,
			Changes:    configuration.Diff(current.Tree, tree),
			MergedWith: mergedWith,
		}
		if len(result.Changes) == 0 {
			return result, nil
		}
		isWritten, err := r.tryWrite(ctx, current, tree, edit)
		if err != nil {
			return Result{}, err
		}
		if isWritten {
			result.Version++
			return result, nil
		}
		edit.Base, edit.Tree = current, tree
	}
	return Result{}, merry.Errorf("not applied: %d other edits came first, try again", maxMergeAttempts)
}

// rebase merges the tree of an edit into the current revision and validates the
// merged tree.
func rebase(edit Edit, current Revision) (configuration.Tree, error) {
	tree := edit.Tree
	if edit.Base.Root.Version != current.Root.Version {
		merged, conflicts := configuration.Merge(edit.Base.Tree, edit.Tree, current.Tree)
		if len(conflicts) > 0 {
			return tree, &ConflictError{
				Version:   current.Root.Version,
				Author:    current.Root.Author,
				Conflicts: conflicts,
				Changes:   configuration.Diff(edit.Base.Tree, current.Tree),
			}
		}
		tree = merged
	}
	if problems := configuration.Validate(tree); len(problems) > 0 {
		return tree, &InvalidError{problems}
	}
	return tree, nil
}

// tryWrite stores the tree as the version that follows current. It returns
// false if another edit has been written since current was read.
func (r *Repository) tryWrite(ctx context.Context, current Revision, tree configuration.Tree, edit Edit) (bool, error) {
	refs, err := r.writeNewShards(ctx, current.Root, tree)
	if err != nil {
		return false, err
	}
	if err := r.archiveRoot(ctx, current.Root); err != nil {
		return false, err
	}
	root := configuration.Root{
		Version: current.Root.Version + 1,
		WriteID: rand.Text(),
		Author:  edit.Author,
		Note:    edit.Note,
		Shards:  refs,
	}
	return r.swapRoot(ctx, current.storeVersion, store.RootRecord{Root: root, Evacuated: current.evacuated})
}

// writeNewShards writes the shards of a tree that the old root does not
// reference, and returns references to all shards of the tree.
func (r *Repository) writeNewShards(ctx context.Context, old configuration.Root, tree configuration.Tree) ([]configuration.ShardRef, error) {
	refs, shards, err := store.EncodeTree(tree)
	if err != nil {
		return nil, err
	}
	known := make(map[string]bool, len(old.Shards))
	for _, ref := range old.Shards {
		known[ref.Hash] = true
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStoreCalls)
	for _, shard := range shards {
		if !known[shard.Hash] {
			group.Go(func() error { return r.putImmutable(ctx, store.ShardKey(shard.Hash), shard.Encoded) })
		}
	}
	return refs, group.Wait()
}

// archiveRoot copies a root that is about to be replaced to the history.
func (r *Repository) archiveRoot(ctx context.Context, root configuration.Root) error {
	if root.Version == 0 {
		return nil
	}
	value, err := store.EncodeRoot(root)
	if err != nil {
		return err
	}
	return r.putImmutable(ctx, store.HistoryKey(root.Version), value)
}

// swapRoot writes the root by compare-and-swap. It returns false if another
// edit was written first. After a swap without a response, it reads the root
// back before it retries. A retry has the same write id and expects the same
// store version, so that at most one attempt takes effect.
func (r *Repository) swapRoot(ctx context.Context, storeVersion uint64, record store.RootRecord) (bool, error) {
	root := record.Root
	value, err := store.EncodeRootRecord(record)
	if err != nil {
		return false, err
	}
	isAmbiguous := false
	err = r.retry(ctx, func() error {
		if isAmbiguous {
			if outcome, err := r.readOutcome(ctx, root); err != nil || outcome != swapPending {
				return err
			}
		}
		_, err := r.store.CompareAndSwap(ctx, store.RootKey, storeVersion, value)
		isAmbiguous = isAmbiguous || isUnavailable(err)
		return err
	})
	switch {
	case err == nil && !isAmbiguous:
		return true, nil
	case err != nil && !isAmbiguous:
		return false, ignoreConflict(err)
	}
	outcome, outcomeErr := r.readOutcome(ctx, root)
	if outcomeErr == nil && outcome == swapPending && isConflict(err) {
		// Another write, such as one of the evacuated domains, has replaced the
		// record, so that none of the attempts can take effect any more.
		return false, nil
	}
	if outcomeErr != nil || outcome == swapPending {
		return false, merry.Wrap(ErrOutcomeUnknown, merry.AppendMessagef("write id %s", root.WriteID))
	}
	return outcome == swapWritten, nil
}

func ignoreConflict(err error) error {
	if isConflict(err) {
		return nil
	}
	return err
}

// swapOutcome is the outcome of a compare-and-swap of the root, as far as the
// store shows it.
type swapOutcome uint8

const (
	swapPending    swapOutcome = iota // the previous version is still in the store
	swapWritten                       // the swap took effect
	swapSuperseded                    // another edit was written under the same version
)

// readOutcome reads the outcome of a swap back from the store. If the version
// has been replaced since, it reads it from the history.
func (r *Repository) readOutcome(ctx context.Context, root configuration.Root) (swapOutcome, error) {
	stored, _, err := r.loadRoot(ctx, store.RootKey)
	if err == nil && stored.Version > root.Version {
		stored, err = r.loadRootAt(ctx, root.Version)
	}
	switch {
	case err != nil:
		return swapPending, err
	case stored.Version < root.Version:
		return swapPending, nil
	case stored.WriteID == root.WriteID:
		return swapWritten, nil
	default:
		return swapSuperseded, nil
	}
}
