package main

import (
	"errors"
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
			if err == nil && file.Subtree == "" {
				err = file.LocateProblems(args[0], configuration.Validate(file.Tree))
			}
			return t.printCheck(args[0], file, err)
		},
	}
}

type checkJSON struct {
	File   string      `json:"file"`
	Valid  bool        `json:"valid"`
	Faults []faultJSON `json:"faults"`
}

type faultJSON struct {
	Line     int    `json:"line"` // 0: unknown
	Key      string `json:"key"`
	Expected string `json:"expected"`
}

// printCheck prints the result of a check and returns err.
func (t *tool) printCheck(name string, file treefile.File, err error) error {
	var faults treefile.Errors
	isChecked := err == nil || errors.As(err, &faults)
	switch {
	case isChecked && t.isJSON():
		result := checkJSON{File: name, Valid: err == nil, Faults: make([]faultJSON, 0, len(faults))}
		for _, f := range faults {
			result.Faults = append(result.Faults, faultJSON{f.Line, f.Key, f.Expected})
		}
		return errors.Join(err, t.printJSON(result))
	case err == nil && file.Subtree != "":
		t.printf("%s: valid as a file; its settings are checked when it is applied\n", name)
	case err == nil:
		t.printf("%s: valid\n", name)
	}
	return err
}

func (t *tool) readFile(name string) (treefile.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return treefile.File{}, usageError{err}
	}
	return treefile.Decode(name, text)
}
