package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/operate"
	"pollensail.dev/host/treefile"
)

func (t *tool) treeEdit() *cobra.Command {
	var out, file, note string
	cmd := &cobra.Command{
		Use:   "edit [PATH] --out FILE | edit --file FILE",
		Short: "Write the tree to a file for editing, and apply the edited file",
		Long: `Edits the tree in two steps. --out writes the tree, or a branch and all below
it, to a new file that names the version it was made from. After you edited the
file with any editor, --file applies it: later edits by others are merged where
they changed other settings, and refused where they changed the same. A refused
file stays as it is.

pollenctl does not run $EDITOR, because no process of this system starts
another process.`,
		Example: `  pollenctl tree edit --out tree.toml
  pollenctl tree edit accounts/institutes --out institutes.toml
  pollenctl tree edit --file tree.toml --note "new institute"`,
		Args: cobra.MaximumNArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			switch {
			case out != "" && file == "":
				return t.writeForEdit(ctx, r, args, out)
			case file != "" && out == "" && len(args) == 0:
				return t.applyEdited(ctx, r, file, note)
			default:
				return usageError{errors.New("expected [PATH] --out FILE, or --file FILE")}
			}
		}),
	}
	cmd.Flags().StringVar(&out, "out", "", "new file to write the tree to")
	cmd.Flags().StringVar(&file, "file", "", "edited file to apply")
	cmd.Flags().StringVar(&note, "note", "", "reason to record with the edit")
	return cmd
}

func (t *tool) writeForEdit(ctx context.Context, r *operate.Repository, args []string, name string) error {
	revision, err := r.Current(ctx)
	if err != nil {
		return err
	}
	var p configuration.Path
	if len(args) == 1 {
		p = operate.ParsePath(args[0])
	}
	text, err := encodeBranch(revision, p)
	if err != nil {
		return err
	}
	if err := writeNew(name, text); err != nil {
		return usageError{err}
	}
	t.printf("%s: version %d\n", name, revision.Root.Version)
	return nil
}

func (t *tool) applyEdited(ctx context.Context, r *operate.Repository, name, note string) error {
	file, err := t.readFile(name)
	if err != nil {
		return err
	}
	if file.Base == 0 {
		return usageError{fmt.Errorf("%s: expected base_version, as tree edit --out writes it", name)}
	}
	return t.applyTreeFile(ctx, r, name, file, note)
}

// encodeBranch returns the tree file of a branch and all below it.
func encodeBranch(revision operate.Revision, p configuration.Path) ([]byte, error) {
	tree := operate.Subtree(revision.Tree, p)
	if len(tree.Branches) == 0 && p != "" {
		return nil, fmt.Errorf("there is no branch %s", p)
	}
	return treefile.Encode(treefile.File{Base: revision.Root.Version, Subtree: p, Tree: tree})
}

// writeNew writes a file that must not exist, so that no edit is overwritten.
func writeNew(name string, text []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
