package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"pollensail.dev/host/explain"
)

// maxLinesPerSection bounds the lines printed per section of the report.
const maxLinesPerSection = 40

func (c *cli) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show the log lines of all hosts that relate to a request",
		Long: `Reads logs of entry hosts, from files or from standard input, and prints three
sections: the lines of the request with this id; the state changes on any host
within three seconds of it, each with the number of lines that report it; and
other failed requests at the servers that the request was sent to. A few
minutes of logs are enough. docs/OPERATIONS.md, section 9, explains how to read
them.`,
		Example: `  pollenctl explain 1cd29edff6d20f9c n1.log n2.log
  cat *.log | pollenctl explain 1cd29edff6d20f9c`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			logs, err := c.readLogs(args[1:])
			if err != nil {
				return err
			}
			report, err := logs.Explain(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			c.printLines("request", report.RequestLines)
			c.printLines("state changes around it", report.StateChanges)
			c.printLines("failed requests at its servers", report.ServerFailures)
			return nil
		},
	}
}

// readLogs reads the given files, or standard input if there are none.
func (c *cli) readLogs(paths []string) (*explain.Logs, error) {
	var logs explain.Logs
	if len(paths) == 0 {
		return &logs, logs.Read("", c.in)
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

func (c *cli) printLines(title string, lines []explain.Line) {
	c.printf("%s: %d lines\n", title, len(lines))
	for i, line := range lines {
		if i == maxLinesPerSection {
			c.printf("  and %d more\n", len(lines)-i)
			return
		}
		c.printf("  %d x %s %s\n", line.Count, line.Origin, line.Text)
	}
}
