package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/host/operate"
	"pollensail.dev/host/telemetry"
)

func (t *tool) statusCommand() *cobra.Command {
	var version uint64
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Show every listed entry host",
		Long: `Asks the operator port of each listed entry host and shows its version, its
authority, its slots, the servers that are not in normal use, and its refusals
by account. A host that does not answer is listed as unreachable.

--wait waits until all listed hosts have a version in force, for as long as
--timeout allows; hosts that are leaving are not waited for. The exit code is 1
when some host does not have it.`,
		Example: `  pollenctl status
  pollenctl status --wait 42 --timeout 10s`,
		Args: cobra.NoArgs,
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, _ []string) error {
			if version > 0 {
				return t.waitVersion(ctx, r, version)
			}
			statuses, err := r.HostStatuses(ctx)
			if err != nil {
				return err
			}
			return t.printStatuses(statuses)
		}),
	}
	cmd.Flags().Uint64Var(&version, "wait", 0, "wait until all listed hosts have this version in force")
	return cmd
}

func (t *tool) waitVersion(ctx context.Context, r *operate.Repository, version uint64) error {
	statuses, isEverywhere, err := r.WaitForVersion(ctx, version)
	if err != nil {
		return err
	}
	if err := t.printStatuses(statuses); err != nil {
		return err
	}
	if !isEverywhere {
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

func (t *tool) printStatuses(statuses []operate.HostStatus) error {
	if t.isJSON() {
		list := make([]statusJSON, 0, len(statuses))
		for _, s := range statuses {
			entry := statusJSON{ID: s.ID, Operator: s.Operator, Leaving: s.Leaving, Error: s.Error}
			if s.Error == "" {
				entry.Status = &s.Status
			}
			list = append(list, entry)
		}
		return t.printJSON(list)
	}
	t.printf("%-16s %-10s %8s %-6s %-13s %9s  %s\n", "HOST", "DOMAIN", "VERSION", "READY", "AUTHORITY", "IN FLIGHT", "SLOTS")
	for _, s := range statuses {
		t.printStatus(s)
	}
	return nil
}

func (t *tool) printStatus(h operate.HostStatus) {
	if h.Error != "" {
		t.printf("%-16s unreachable: %s\n", h.ID, h.Error)
		return
	}
	s := h.Status
	t.printf("%-16s %-10s %8d %-6t %-13s %9d  %s\n",
		h.ID, s.Domain, s.Version, s.Ready, s.Authority, s.InFlight, slotList(s.Slots))
	if h.Leaving {
		t.printf("  leaving\n")
	}
	for _, server := range s.Servers {
		t.printf("  server %s of %s: %s\n", server.Server, server.Service, server.State)
	}
	for _, r := range s.Refusals {
		account := r.Account
		if account == "" {
			account = "(no account)"
		}
		t.printf("  refused %s: %s %d\n", account, r.Reason, r.Count)
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
