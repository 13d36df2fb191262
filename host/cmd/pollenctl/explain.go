package main

import (
	"cmp"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/host/explain"
)

// maxLinesPerSection bounds the lines printed per section of the report.
const maxLinesPerSection = 40

func (c *cli) explainCommand() *cobra.Command {
	var service string
	var summary bool
	command := &cobra.Command{
		Use:   "explain ID [LOG...]",
		Short: "Show the log lines of all hosts that relate to a request",
		Long: `Reads logs of entry hosts, from files or from standard input, and prints four
sections: the lines of the request with this id; what they say of attempts that
the host cancelled, of an answer that the caller did not get and of a stop or
start of the host; the state changes on any host within three seconds of it,
each with the number of lines that report it; and other failed requests at the
servers that the request was sent to. A few minutes of logs are enough. With --service it prints a table instead: for every
two seconds the service's requests, the unserved ones by reason, the servers
used of those that the logs name, the probes of suspected servers, the hosts
that held the service to be short of servers, and how the last request at each
unused server ended. With --summary it prints how many requests of each class
were served, refused or failed, for which reason, why a failed one was not sent to
another server, and why one within its account's limit got no token. docs/OPERATIONS.md, section 9, explains how to read
them.`,
		Example: `  pollenctl explain 1cd29edff6d20f9c n1.log n2.log
  cat *.log | pollenctl explain 1cd29edff6d20f9c
  pollenctl explain --service ringbook n1.log n2.log
  pollenctl explain --summary n1.log n2.log`,
		Args: func(cmd *cobra.Command, args []string) error {
			if service != "" || summary {
				return nil
			}
			return cobra.MinimumNArgs(1)(cmd, args)
		},
		RunE: func(_ *cobra.Command, args []string) error {
			if service != "" {
				return c.explainService(service, args)
			}
			if summary {
				return c.explainSummary(args)
			}
			logs, err := c.readLogs(args[1:])
			if err != nil {
				return err
			}
			report, err := logs.Explain(args[0])
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			c.printLines("request", report.RequestLines)
			c.printFindings(report.Findings)
			c.printLines("state changes around it", report.StateChanges)
			c.printLines("failed requests at its servers", report.ServerFailures)
			return nil
		},
	}
	command.Flags().StringVar(&service, "service", "", "summarize this service every two seconds instead of explaining a request")
	command.Flags().BoolVar(&summary, "summary", false, "count the requests by class and cause instead of explaining one")
	command.MarkFlagsMutuallyExclusive("service", "summary")
	return command
}

// explainSummary prints what became of the requests of the logs.
func (c *cli) explainSummary(paths []string) error {
	logs, err := c.readLogs(paths)
	if err != nil {
		return err
	}
	causes := logs.Summary()
	if len(causes) == 0 {
		return explain.ErrNoRequests
	}
	const row = "%-12s %-10s %-20s %-14s %-14s %9s %9s\n"
	c.printf(row, "CLASS", "RESULT", "REASON", "NO RETRY", "TOKEN CAUSE", "REQUESTS", "ATTEMPTS")
	for _, cause := range causes {
		c.printf(row, cmp.Or(cause.Class, "-"), cause.Result, cmp.Or(cause.Reason, "-"), cmp.Or(cause.NoRetry, "-"),
			cmp.Or(cause.TokenCause, "-"), strconv.Itoa(cause.Requests), strconv.Itoa(cause.Attempts))
	}
	return nil
}

// explainService prints what the logs say of a service in each period.
func (c *cli) explainService(service string, paths []string) error {
	logs, err := c.readLogs(paths)
	if err != nil {
		return err
	}
	periods := logs.Service(service)
	if len(periods) == 0 {
		return fmt.Errorf("%s: %w", service, explain.ErrNotFound)
	}
	c.printf("%-12s %8s %8s %9s %7s %11s  %s\n", "FROM", "REQUESTS", "UNSERVED", "SERVERS", "PROBES", "SHORT HOSTS", "UNSERVED BY REASON; UNUSED SERVERS BY LAST RESULT")
	for _, p := range periods {
		c.printf("%-12s %8d %8d %9s %7d %11s  %s; %s\n", p.Start.Format("15:04:05.000"), p.Requests, p.Unserved,
			fmt.Sprintf("%d/%d", p.ServersUsed, p.ServersKnown), p.Probes, fmt.Sprintf("%d/%d", p.ShortHosts, p.Hosts),
			formatCounts(p.Reasons), formatCounts(countLastResults(p.Unused)))
	}
	return nil
}

// countLastResults counts servers by how their last request ended.
func countLastResults(servers []explain.UnusedServer) map[string]int {
	counts := make(map[string]int)
	for _, s := range servers {
		counts[cmp.Or(s.LastReason, s.LastResult, "never used")]++
	}
	return counts
}

// formatCounts formats counts as "name count", the largest first.
func formatCounts(counts map[string]int) string {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(a, b))
	})
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s %d", name, counts[name])
	}
	return strings.Join(parts, ", ")
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

func (c *cli) printFindings(found []explain.Finding) {
	c.printf("findings: %d\n", len(found))
	for _, finding := range found {
		c.printf("  %s %s\n", finding.Origin, finding.Text)
	}
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
