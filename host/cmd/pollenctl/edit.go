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

func (c *cli) treeEditCommand() *cobra.Command {
	var out, file, note string
	cmd := &cobra.Command{
		Use:   "edit [PATH] --out FILE | edit --file FILE",
		Short: "Write the tree to a file for editing, and apply the edited file",
		Long: `Edits the tree in two steps. --out writes the tree, or a branch and its
descendants, to a new file that records the version it was written from. Edit
the file with any editor, then apply it with --file. The file is merged with
edits that others made since, unless they changed the same settings; then it is
refused. A refused file is left unchanged.

pollenctl does not run $EDITOR, because no process of this system starts
another process.`,
		Example: `  pollenctl tree edit --out tree.toml
  pollenctl tree edit accounts/institutes --out institutes.toml
  pollenctl tree edit --file tree.toml --note "new institute"`,
		Args: cobra.MaximumNArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			switch {
			case out != "" && file == "":
				return c.writeEditFile(ctx, r, args, out)
			case file != "" && out == "" && len(args) == 0:
				return c.applyEditFile(ctx, r, file, note)
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

func (c *cli) writeEditFile(ctx context.Context, r *operate.Repository, args []string, name string) error {
	revision, err := r.Current(ctx)
	if err != nil {
		return err
	}
	var p configuration.Path
	if len(args) == 1 {
		p = operate.ParsePath(args[0])
	}
	text, err := encodeSubtree(revision, p)
	if err != nil {
		return err
	}
	if err := createFile(name, text); err != nil {
		return usageError{err}
	}
	c.printf("%s: version %d\n", name, revision.Root.Version)
	return nil
}

func (c *cli) applyEditFile(ctx context.Context, r *operate.Repository, name, note string) error {
	file, err := c.readFile(name)
	if err != nil {
		return err
	}
	if file.BaseVersion == 0 {
		return usageError{fmt.Errorf("%s: expected base_version, as tree edit --out writes it", name)}
	}
	return c.applyTreeFile(ctx, r, name, file, note)
}

// encodeSubtree returns the text of a tree file with a branch and its
// descendants.
func encodeSubtree(revision operate.Revision, p configuration.Path) ([]byte, error) {
	tree := operate.Subtree(revision.Tree, p)
	if len(tree.Branches) == 0 && p != "" {
		return nil, fmt.Errorf("there is no branch %s", p)
	}
	return treefile.Encode(treefile.File{BaseVersion: revision.Root.Version, Subtree: p, Tree: tree})
}

// createFile creates and writes a file. It fails if the file exists, so that an
// unapplied edit is not overwritten.
func createFile(name string, text []byte) error {
	f, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	return errors.Join(err, f.Close())
}
