package operate

import (
	"context"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/treefile"
)

// Preview returns the changes that applying a file would make to the current
// version, without writing anything.
// Errors: *InvalidError, *ConflictError, ErrNoVersion, store.ErrUnavailable.
func (r *Repository) Preview(ctx context.Context, f treefile.File) ([]configuration.Change, error) {
	current, err := r.Current(ctx)
	if err != nil {
		return nil, err
	}
	base := current
	if f.BaseVersion > 0 {
		if base, err = r.At(ctx, f.BaseVersion); err != nil {
			return nil, err
		}
	}
	tree, err := rebase(Edit{Base: base, Tree: ExpandFile(base.Tree, f)}, current)
	if err != nil {
		return nil, err
	}
	return configuration.Diff(current.Tree, tree), nil
}
