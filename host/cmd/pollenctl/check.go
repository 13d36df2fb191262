package main

import (
	"os"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/treefile"
)

func (t *tool) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a tree file without a store",
		Long: `Checks a tree file without a store and lists every problem with its line, its
key and what was expected. A file of a subtree is checked for its form only.`,
		Example: `  pollenctl check tree.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			file, err := t.readFile(args[0])
			if err != nil {
				return err
			}
			if file.Subtree != "" {
				t.printf("%s: valid as a file; its settings are checked when it is applied\n", args[0])
				return nil
			}
			if err := file.Locate(args[0], configuration.Validate(file.Tree)); err != nil {
				return err
			}
			t.printf("%s: valid\n", args[0])
			return nil
		},
	}
}

func (t *tool) readFile(name string) (treefile.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return treefile.File{}, usageError{err}
	}
	return treefile.Decode(name, text)
}
