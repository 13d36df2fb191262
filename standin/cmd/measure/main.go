// Command measure compares the policies of the decision module with simpler
// baselines in a simulation and prints the results as a table. With --out it
// also writes them as JSON and plots to a folder.
package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/measure"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var seeds uint64
	var parallel int
	var out string
	cmd := &cobra.Command{
		Use:          "measure",
		Short:        "Compare the policies with simpler baselines in virtual time",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows := measure.Run(seeds, parallel)
			if err := measure.WriteTable(cmd.OutOrStdout(), rows); err != nil {
				return err
			}
			if out == "" {
				return nil
			}
			return writeFiles(out, rows)
		},
	}
	cmd.Flags().Uint64Var(&seeds, "seeds", 5, "run each experiment with the seeds from 1 to this number")
	cmd.Flags().IntVar(&parallel, "parallel", 4, "number of experiments that run concurrently")
	cmd.Flags().StringVar(&out, "out", "", "folder for measures.json and plots; empty to write none")
	return cmd
}

func writeFiles(folder string, rows []measure.Row) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(folder, "measures.json"))
	if err != nil {
		return err
	}
	defer file.Close()
	if err := measure.WriteJSON(file, rows); err != nil {
		return err
	}
	return measure.Plot(folder, rows)
}
