package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/host/operate"
	"pollensail.dev/host/telemetry"
)

func (c *cli) statusCommand() *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show the status of every listed entry host",
		Long: `Queries the operator port of each listed entry host and shows its version, its
authority, its slots, the evacuated failure domains, the servers that are not in
normal use, and the number of refused requests by account. A host that does not
respond is listed as unreachable.

--wait waits, up to --timeout, until all listed hosts have a version in force.
Hosts that are leaving are not waited for. The exit code is 1 if a host does
not have the version when the time is up.`,
		Example: `  pollenctl status
  pollenctl status --wait 42 --timeout 10s`,
		Args: cobra.NoArgs,
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, _ []string) error {
			if version > 0 {
				return c.waitForVersion(ctx, r, version)
			}
			statuses, err := r.HostStatuses(ctx)
			if err != nil {
				return err
			}
			return c.printStatuses(statuses)
		}),
	}
	cmd.Flags().Uint64Var(&version, "wait", 0, "wait until all listed hosts have this version in force")
	return cmd
}

func (c *cli) waitForVersion(ctx context.Context, r *operate.Repository, version uint64) error {
	statuses, allInForce, err := r.WaitForVersion(ctx, version)
	if err != nil {
		return err
	}
	if err := c.printStatuses(statuses); err != nil {
		return err
	}
	if !allInForce {
		return fmt.Errorf("version %d is not in force at every listed host", version)
	}
	return nil
}

type statusJSON struct {
	ID       string            `json:"id"`
	Operator string            `json:"operator"`
	Leaving  bool              `json:"leaving"`
	Error    string            `json:"error,omitempty"` // unreachable
	Status   *telemetry.Status `json:"status,omitempty"`
}

func (c *cli) printStatuses(statuses []operate.HostStatus) error {
	if c.isJSON() {
		list := make([]statusJSON, 0, len(statuses))
		for _, s := range statuses {
			entry := statusJSON{ID: s.ID, Operator: s.OperatorAddress, Leaving: s.Leaving, Error: s.Error}
			if s.Error == "" {
				entry.Status = &s.Status
			}
			list = append(list, entry)
		}
		return c.printJSON(list)
	}
	c.printf("%-16s %-10s %8s %-6s %-13s %9s  %s\n", "HOST", "DOMAIN", "VERSION", "READY", "AUTHORITY", "IN FLIGHT", "SLOTS")
	for _, s := range statuses {
		c.printStatus(s)
	}
	return nil
}

func (c *cli) printStatus(h operate.HostStatus) {
	if h.Error != "" {
		c.printf("%-16s unreachable: %s\n", h.ID, h.Error)
		return
	}
	s := h.Status
	c.printf("%-16s %-10s %8d %-6t %-13s %9d  %s\n",
		h.ID, s.Domain, s.Version, s.Ready, s.Authority, s.InFlight, slotList(s.Slots))
	if h.Leaving {
		c.printf("  leaving\n")
	}
	if s.ConfigProblem != "" {
		c.printf("  configuration in the store has problems: %s\n", s.ConfigProblem)
	}
	c.printEvacuation(s.Evacuation)
	for _, server := range s.Servers {
		state := server.State
		if server.Detail != "" {
			state += ", " + server.Detail
		}
		c.printf("  server %s of %s: %s\n", server.Server, server.Service, state)
	}
	for _, r := range s.Refusals {
		account := r.Account
		if account == "" {
			account = "(no account)"
		}
		c.printf("  refused %s: %s %d\n", account, r.Reason, r.Count)
	}
}

func slotList(slots []telemetry.SlotStatus) string {
	if len(slots) == 0 {
		return "-"
	}
	names := make([]string, len(slots))
	for i, s := range slots {
		names[i] = fmt.Sprintf("%s/%d", s.Domain, s.Index)
	}
	return strings.Join(names, " ")
}
