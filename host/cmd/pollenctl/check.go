package main

import (
	"errors"
	"os"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/treefile"
)

func (c *cli) checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a tree file without a store",
		Long: `Checks a tree file without a store and lists every problem with its line, its
key and the expected value. Of a file limited to a subtree, only the format is
checked.`,
		Example: `  pollenctl check tree.toml`,
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			file, err := c.readFile(args[0])
			if err == nil && file.Subtree == "" {
				err = file.LocateProblems(args[0], configuration.Validate(file.Tree))
			}
			return c.printCheck(args[0], file, err)
		},
	}
}

type checkJSON struct {
	File   string      `json:"file"`
	Valid  bool        `json:"valid"`
	Faults []faultJSON `json:"faults"`
}

type faultJSON struct {
	Line     int    `json:"line"` // 0 if unknown
	Key      string `json:"key"`
	Expected string `json:"expected"`
}

// printCheck prints the result of a check, whose error is err. It returns err,
// joined with any error of printing.
func (c *cli) printCheck(name string, file treefile.File, err error) error {
	var problems treefile.Errors
	isChecked := err == nil || errors.As(err, &problems) // otherwise the file could not be read
	switch {
	case isChecked && c.isJSON():
		result := checkJSON{File: name, Valid: err == nil, Faults: make([]faultJSON, 0, len(problems))}
		for _, p := range problems {
			result.Faults = append(result.Faults, faultJSON{p.Line, p.Key, p.Expected})
		}
		return errors.Join(err, c.printJSON(result))
	case err == nil && file.Subtree != "":
		c.printf("%s: valid format; its settings are checked when it is applied\n", name)
	case err == nil:
		c.printf("%s: valid\n", name)
	}
	return err
}

func (c *cli) readFile(name string) (treefile.File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return treefile.File{}, usageError{err}
	}
	return treefile.Decode(name, text)
}
