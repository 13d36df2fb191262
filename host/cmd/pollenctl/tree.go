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

func (t *tool) treeCommand() *cobra.Command {
	return group("tree", "Read and edit the tree of settings",
		`The tree consists of branches. The branches below "accounts", "routes" and
"services" inherit from the branch above them; those with nothing below them
are the client accounts, routes and services.`,
		t.treeGet(), t.treeSet(), t.treeEdit(), t.treeApply(), t.treeDiff(), t.treeHistory())
}

func (t *tool) treeGet() *cobra.Command {
	var isEffective bool
	var version uint64
	cmd := &cobra.Command{
		Use:   "get [PATH]",
		Short: "Print the tree, or a branch and all below it, as a tree file",
		Example: `  pollenctl tree get > tree.toml
  pollenctl tree get accounts/institutes
  pollenctl tree get accounts/institutes/ntnu --effective`,
		Args: cobra.MaximumNArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			revision, err := revisionAt(ctx, r, version)
			if err != nil {
				return err
			}
			var p configuration.Path
			if len(args) == 1 {
				p = operate.ParsePath(args[0])
			}
			if isEffective {
				return t.printEffective(revision, p)
			}
			return t.printTree(revision, p)
		}),
	}
	cmd.Flags().BoolVar(&isEffective, "effective", false, "print the values in force and the branch that each comes from")
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

func (t *tool) printTree(revision operate.Revision, p configuration.Path) error {
	text, err := encodeBranch(revision, p)
	if err != nil {
		return err
	}
	if t.isJSON() {
		tree := operate.Subtree(revision.Tree, p)
		return t.printJSON(treeJSON{revision.Root.Version, tree.Branches})
	}
	_, err = t.out.Write(text)
	return err
}

type effectiveJSON struct {
	Setting string  `json:"setting"`
	Value   string  `json:"value"`
	From    *string `json:"from"` // null: default
}

func (t *tool) printEffective(revision operate.Revision, p configuration.Path) error {
	if _, ok := revision.Tree.Branches[p]; !ok {
		return fmt.Errorf("there is no branch %s", p)
	}
	values := revision.Tree.Effective(p)
	if t.isJSON() {
		list := make([]effectiveJSON, 0, len(values))
		for _, v := range values {
			entry := effectiveJSON{Setting: v.Setting, Value: v.Value}
			if from := string(v.From); !v.IsDefault {
				entry.From = &from
			}
			list = append(list, entry)
		}
		return t.printJSON(list)
	}
	for _, v := range values {
		from := v.From.String()
		if v.IsDefault {
			from = "default"
		}
		t.printf("%-16s %-24q %s\n", v.Setting, v.Value, from)
	}
	return nil
}

func (t *tool) treeSet() *cobra.Command {
	var unset []string
	var note string
	var isRemoval bool
	cmd := &cobra.Command{
		Use:   "set PATH [name=value...]",
		Short: "Set values of a branch, which is added if there is none",
		Long: `Sets values of a branch, which is added if there is none. Values of a list are
separated by commas. PATH "/" is the root.`,
		Example: `  pollenctl tree set accounts/institutes/ntnu rate=40/s burst=80
  pollenctl tree set services/lookup servers=10.0.0.1:8080,10.0.0.2:8080
  pollenctl tree set routes/rings --unset timeout
  pollenctl tree set accounts/institutes/ntnu --remove`,
		Args: cobra.MinimumNArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
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
			if isRemoval {
				if tree, err = operate.RemoveBranch(base.Tree, p); err != nil {
					return err
				}
			}
			return t.apply(ctx, r, base, tree, note)
		}),
	}
	cmd.Flags().StringSliceVar(&unset, "unset", nil, "settings that the branch no longer sets")
	cmd.Flags().BoolVar(&isRemoval, "remove", false, "remove the branch and all below it")
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

func (t *tool) treeApply() *cobra.Command {
	var note string
	var version uint64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Replace the tree by a tree file, or by an earlier version",
		Long: `Replaces the tree by a tree file, or by an earlier version. A file that says
which version it was made from (base_version) is merged with later edits where
they changed other settings, and refused where they changed the same. A file
without it replaces the newest version whole, keys included.

--version takes all settings from an earlier version but the keys: accounts
keep the keys that they have now, so that no withdrawn key works again and no
granted one stops. An account that was removed since comes back without keys.`,
		Example: `  pollenctl tree apply tree.toml --note "more servers for lookups"
  pollenctl tree apply --version 41 --note "back to before the incident"`,
		Args: cobra.MaximumNArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			if (len(args) == 1) == (version > 0) {
				return usageError{errors.New("expected either FILE or --version")}
			}
			if version > 0 {
				return t.applyVersion(ctx, r, version, note)
			}
			return t.applyFile(ctx, r, args[0], note)
		}),
	}
	cmd.Flags().StringVar(&note, "note", "", "reason to record with the edit")
	cmd.Flags().Uint64Var(&version, "version", 0, "apply this earlier version in place of a file")
	return cmd
}

func (t *tool) applyVersion(ctx context.Context, r *operate.Repository, version uint64, note string) error {
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
	return t.apply(ctx, r, base, operate.WithCurrentKeys(earlier.Tree, base.Tree), note)
}

func (t *tool) applyFile(ctx context.Context, r *operate.Repository, name, note string) error {
	file, err := t.readFile(name)
	if err != nil {
		return err
	}
	return t.applyTreeFile(ctx, r, name, file, note)
}

// applyTreeFile reports problems with the lines of the file.
func (t *tool) applyTreeFile(ctx context.Context, r *operate.Repository, name string, file treefile.File, note string) error {
	base, err := revisionAt(ctx, r, file.Base)
	if err != nil {
		return err
	}
	return locate(file, name, t.apply(ctx, r, base, operate.ExpandFile(base.Tree, file), note))
}

// locate adds the lines of the file to the problems of an invalid tree.
func locate(file treefile.File, name string, err error) error {
	var invalid *operate.InvalidError
	if errors.As(err, &invalid) {
		return file.LocateProblems(name, invalid.Problems)
	}
	return err
}

func (t *tool) apply(ctx context.Context, r *operate.Repository, base operate.Revision, tree configuration.Tree, note string) error {
	result, err := r.Apply(ctx, operate.Edit{Author: t.author, Note: note, Base: base, Tree: tree})
	if err != nil {
		return err
	}
	return t.printResult(result)
}

func (t *tool) treeDiff() *cobra.Command {
	return &cobra.Command{
		Use:     "diff FILE",
		Short:   "Show what applying a tree file would change in the newest version",
		Example: `  pollenctl tree diff tree.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			file, err := t.readFile(args[0])
			if err != nil {
				return err
			}
			changes, err := r.Preview(ctx, file)
			if err != nil {
				return locate(file, args[0], err)
			}
			if t.isJSON() {
				return t.printJSON(changesJSON(changes))
			}
			t.printChanges(changes)
			return nil
		}),
	}
}

func (t *tool) treeHistory() *cobra.Command {
	var limit int
	cmd := &cobra.Command{
		Use:     "history",
		Short:   "List the versions of the tree, the newest first",
		Example: `  pollenctl tree history --limit 5`,
		Args:    cobra.NoArgs,
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, _ []string) error {
			entries, err := r.History(ctx, limit)
			if err != nil {
				return err
			}
			return t.printHistory(entries)
		}),
	}
	cmd.Flags().IntVar(&limit, "limit", 20, "how many versions to list")
	return cmd
}

type historyJSON struct {
	Version       uint64 `json:"version"`
	Author        string `json:"author"`
	Note          string `json:"note"`
	WriteID       string `json:"write_id"`
	ChangedShards int    `json:"changed_shards"`
}

func (t *tool) printHistory(entries []operate.HistoryEntry) error {
	if t.isJSON() {
		list := make([]historyJSON, 0, len(entries))
		for _, e := range entries {
			list = append(list, historyJSON(e))
		}
		return t.printJSON(list)
	}
	for _, e := range entries {
		t.printf("%6d  %-12s %3d shards  %s\n", e.Version, e.Author, e.ChangedShards, e.Note)
	}
	return nil
}
