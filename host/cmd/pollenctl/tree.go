package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/operate"
	"pollensail.dev/host/treefile"
)

func (c *cli) treeCommand() *cobra.Command {
	return newCommandGroup("tree", "Read and edit the tree of settings",
		`The tree consists of branches. The branches below "accounts", "routes" and
"services" inherit settings from their parent branch. The leaves are the client
accounts, routes and services.`,
		c.treeGetCommand(), c.treeSetCommand(), c.treeEditCommand(), c.treeApplyCommand(), c.treeDiffCommand(), c.treeHistoryCommand())
}

func (c *cli) treeGetCommand() *cobra.Command {
	var showsEffective bool
	var version uint64
	cmd := &cobra.Command{
		Use:   "get [PATH]",
		Short: "Print the tree, or a branch and its descendants, as a tree file",
		Example: `  pollenctl tree get > tree.toml
  pollenctl tree get accounts/institutes
  pollenctl tree get accounts/institutes/ntnu --effective`,
		Args: cobra.MaximumNArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			revision, err := revisionAt(ctx, r, version)
			if err != nil {
				return err
			}
			var p configuration.Path
			if len(args) == 1 {
				p = operate.ParsePath(args[0])
			}
			if showsEffective {
				return c.printEffective(revision, p)
			}
			return c.printTree(revision, p)
		}),
	}
	cmd.Flags().BoolVar(&showsEffective, "effective", false, "print the effective values and the branch that each is set by")
	cmd.Flags().Uint64Var(&version, "version", 0, "an earlier version (default the newest)")
	return cmd
}

func revisionAt(ctx context.Context, r *operate.Repository, version uint64) (operate.Revision, error) {
	if version == 0 {
		return r.Current(ctx)
	}
	return r.At(ctx, version)
}

type treeJSON struct {
	Version  uint64                                        `json:"version"`
	Branches map[configuration.Path]configuration.Settings `json:"branches"`
}

func (c *cli) printTree(revision operate.Revision, p configuration.Path) error {
	text, err := encodeSubtree(revision, p)
	if err != nil {
		return err
	}
	if c.isJSON() {
		tree := operate.Subtree(revision.Tree, p)
		return c.printJSON(treeJSON{revision.Root.Version, tree.Branches})
	}
	_, err = c.out.Write(text)
	return err
}

type effectiveJSON struct {
	Setting string  `json:"setting"`
	Value   string  `json:"value"`
	From    *string `json:"from"` // branch that sets the value; null for a default
}

func (c *cli) printEffective(revision operate.Revision, p configuration.Path) error {
	if _, ok := revision.Tree.Branches[p]; !ok {
		return fmt.Errorf("there is no branch %s", p)
	}
	values := revision.Tree.Effective(p)
	if c.isJSON() {
		list := make([]effectiveJSON, 0, len(values))
		for _, v := range values {
			entry := effectiveJSON{Setting: v.Setting, Value: v.Value}
			if from := string(v.From); !v.IsDefault {
				entry.From = &from
			}
			list = append(list, entry)
		}
		return c.printJSON(list)
	}
	for _, v := range values {
		from := v.From.String()
		if v.IsDefault {
			from = "default"
		}
		c.printf("%-16s %-24q %s\n", v.Setting, v.Value, from)
	}
	return nil
}

func (c *cli) treeSetCommand() *cobra.Command {
	var unset []string
	var note string
	var removesBranch bool
	cmd := &cobra.Command{
		Use:   "set PATH [name=value...]",
		Short: "Set values of a branch, which is created if it does not exist",
		Long: `Sets values of a branch, which is created if it does not exist. The elements of
a list are separated by commas. PATH "/" is the root.`,
		Example: `  pollenctl tree set accounts/institutes/ntnu rate=40/s burst=80
  pollenctl tree set services/lookup servers=10.0.0.1:8080,10.0.0.2:8080
  pollenctl tree set routes/rings --unset timeout
  pollenctl tree set accounts/institutes/ntnu --remove`,
		Args: cobra.MinimumNArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			p := operate.ParsePath(args[0])
			assignments, err := parseAssignments(p, args[1:], unset)
			if err != nil {
				return usageError{err}
			}
			base, err := r.Current(ctx)
			if err != nil {
				return err
			}
			tree := operate.Assign(base.Tree, p, assignments)
			if removesBranch {
				if tree, err = operate.RemoveBranch(base.Tree, p); err != nil {
					return err
				}
			}
			return c.applyAndPrint(ctx, r, base, tree, note)
		}),
	}
	cmd.Flags().StringSliceVar(&unset, "unset", nil, "settings to remove from the branch")
	cmd.Flags().BoolVar(&removesBranch, "remove", false, "remove the branch and its descendants")
	cmd.Flags().StringVar(&note, "note", "", "reason to record with the edit")
	return cmd
}

func parseAssignments(p configuration.Path, texts, unset []string) ([]operate.Assignment, error) {
	var assignments []operate.Assignment
	for _, text := range texts {
		a, err := operate.ParseAssignment(p, text)
		if err != nil {
			return nil, err
		}
		assignments = append(assignments, a)
	}
	for _, name := range unset {
		assignments = append(assignments, operate.Assignment{Name: name, Unset: true})
	}
	return assignments, nil
}

func (c *cli) treeApplyCommand() *cobra.Command {
	var note string
	var version uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the tree by a tree file, or by an earlier version",
		Long: `Replaces the tree by a tree file, or by an earlier version. A file that records
the version it was written from (base_version) is merged with later edits,
unless they changed the same settings; then it is refused. A file without
base_version replaces the newest version completely, including the keys.

--version restores all settings of an earlier version except the keys: accounts
keep their current keys, so that no withdrawn key becomes valid again and no
granted key becomes invalid. An account that was removed since is restored
without keys.`,
		Example: `  pollenctl tree apply tree.toml --note "more servers for lookups"
  pollenctl tree apply --version 41 --note "back to before the incident"`,
		Args: cobra.MaximumNArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			if (len(args) == 1) == (version > 0) {
				return usageError{errors.New("expected either FILE or --version")}
			}
			if version > 0 {
				return c.applyVersion(ctx, r, version, note)
			}
			return c.applyFile(ctx, r, args[0], note)
		}),
	}
	cmd.Flags().StringVar(&note, "note", "", "reason to record with the edit")
	cmd.Flags().Uint64Var(&version, "version", 0, "apply this earlier version instead of a file")
	return cmd
}

func (c *cli) applyVersion(ctx context.Context, r *operate.Repository, version uint64, note string) error {
	base, err := r.Current(ctx)
	if err != nil {
		return err
	}
	earlier, err := r.At(ctx, version)
	if err != nil {
		return err
	}
	if note == "" {
		note = fmt.Sprintf("back to version %d", version)
	}
	return c.applyAndPrint(ctx, r, base, operate.WithCurrentKeys(earlier.Tree, base.Tree), note)
}

func (c *cli) applyFile(ctx context.Context, r *operate.Repository, name, note string) error {
	file, err := c.readFile(name)
	if err != nil {
		return err
	}
	return c.applyTreeFile(ctx, r, name, file, note)
}

// applyTreeFile applies a tree file. Validation problems are reported with the
// lines of the file.
func (c *cli) applyTreeFile(ctx context.Context, r *operate.Repository, name string, file treefile.File, note string) error {
	base, err := revisionAt(ctx, r, file.BaseVersion)
	if err != nil {
		return err
	}
	return addFileLines(file, name, c.applyAndPrint(ctx, r, base, operate.ExpandFile(base.Tree, file), note))
}

// addFileLines adds the lines of the file to the problems of an InvalidError and
// returns other errors unchanged.
func addFileLines(file treefile.File, name string, err error) error {
	var invalid *operate.InvalidError
	if errors.As(err, &invalid) {
		return file.LocateProblems(name, invalid.Problems)
	}
	return err
}

func (c *cli) applyAndPrint(ctx context.Context, r *operate.Repository, base operate.Revision, tree configuration.Tree, note string) error {
	result, err := r.Apply(ctx, operate.Edit{Author: c.author, Note: note, Base: base, Tree: tree})
	if err != nil {
		return err
	}
	return c.printResult(result)
}

func (c *cli) treeDiffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying a tree file would change in the newest version",
		Example: `  pollenctl tree diff tree.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			file, err := c.readFile(args[0])
			if err != nil {
				return err
			}
			changes, err := r.Preview(ctx, file)
			if err != nil {
				return addFileLines(file, args[0], err)
			}
			if c.isJSON() {
				return c.printJSON(changesJSON(changes))
			}
			c.printChanges(changes)
			return nil
		}),
	}
}

func (c *cli) treeHistoryCommand() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the versions of the tree, newest first",
		Example: `  pollenctl tree history --limit 5`,
		Args:    cobra.NoArgs,
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, _ []string) error {
			entries, err := r.History(ctx, limit)
			if err != nil {
				return err
			}
			return c.printHistory(entries)
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "maximum number of versions to list")
	return cmd
}

type historyJSON struct {
	Version       uint64 `json:"version"`
	Author        string `json:"author"`
	Note          string `json:"note"`
	WriteID       string `json:"write_id"`
	ChangedShards int    `json:"changed_shards"`
}

func (c *cli) printHistory(entries []operate.HistoryEntry) error {
	if c.isJSON() {
		list := make([]historyJSON, 0, len(entries))
		for _, e := range entries {
			list = append(list, historyJSON(e))
		}
		return c.printJSON(list)
	}
	for _, e := range entries {
		c.printf("%6d  %-12s %3d shards  %s\n", e.Version, e.Author, e.ChangedShards, e.Note)
	}
	return nil
}
