package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pollensail.dev/host/explain"
)

// maxExplained is how many lines of a part are printed.
const maxExplained = 40

func (t *tool) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show what bears on a request in the logs of the hosts",
		Long: `Reads logs of entry hosts, from files or from standard input, and prints the
lines of the request with this id, the changes of state on any host within three
seconds, each with the number of hosts that tell it, and failed requests at the servers that it was sent to. The logs of some
minutes are enough. docs/OPERATIONS.md, section 9, says how to read them.`,
		Example: `  pollenctl explain 1cd29edff6d20f9c n1.log n2.log
  cat *.log | pollenctl explain 1cd29edff6d20f9c`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			logs, err := t.readLogs(args[1:])
			if err != nil {
				return err
			}
			report, err := logs.Explain(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			t.printLines("request", report.Request)
			t.printLines("changes of state around it", report.Changes)
			t.printLines("failed requests at its servers", report.Servers)
			return nil
		},
	}
}

// readLogs reads files, or standard input where there are none.
func (t *tool) readLogs(paths []string) (*explain.Logs, error) {
	var logs explain.Logs
	if len(paths) == 0 {
		return &logs, logs.Read("", t.in)
	}
	for _, path := range paths {
		if err := readLog(&logs, path); err != nil {
			return nil, err
		}
	}
	return &logs, nil
}

func readLog(logs *explain.Logs, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := logs.Read(path, file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

func (t *tool) printLines(title string, lines []explain.Line) {
	t.printf("%s: %d lines\n", title, len(lines))
	for i, line := range lines {
		if i == maxExplained {
			t.printf("  and %d more\n", len(lines)-i)
			return
		}
		t.printf("  %d x %s %s\n", line.Count, line.Origin, line.Text)
	}
}
