package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/operate"
	"pollensail.dev/host/telemetry"
)

type evacuationJSON struct {
	Domain    model.DomainID   `json:"domain"`
	Changed   bool             `json:"changed"`
	Evacuated []model.DomainID `json:"evacuated"` // all evacuated domains
}

func (c *cli) evacuateCommand() *cobra.Command {
	var isEnd bool
	cmd := &cobra.Command{
		Use:   "evacuate DOMAIN",
		Short: "Send nothing more to the servers of a failure domain",
		Long: `Asks all hosts to send nothing more to the servers of a failure domain, until
the command is given again with --end. Within 5 s no request arrives there any
more; work in progress ends in its own time. After the end the servers return to
use with a slow start. "pollenctl status" shows which hosts have applied it.`,
		Example: `  pollenctl evacuate north
  pollenctl evacuate north --end`,
		Args: cobra.ExactArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			domain := model.DomainID(args[0])
			change, err := r.SetEvacuated(ctx, domain, !isEnd)
			if err != nil {
				return err
			}
			return c.printEvacuationChange(domain, !isEnd, change)
		}),
	}
	cmd.Flags().BoolVar(&isEnd, "end", false, "end the evacuation")
	return cmd
}

func (c *cli) printEvacuationChange(domain model.DomainID, isEvacuated bool, change operate.EvacuationChange) error {
	if c.isJSON() {
		evacuated := append([]model.DomainID{}, change.Domains...)
		return c.printJSON(evacuationJSON{Domain: domain, Changed: change.WasWritten, Evacuated: evacuated})
	}
	state := "is no longer evacuated"
	if isEvacuated {
		state = "is evacuated"
	}
	if !change.WasWritten {
		state += ", as it was before"
	}
	c.printf("failure domain %s %s\n", domain, state)
	return nil
}

// printEvacuation prints the evacuated domains of one host's status.
func (c *cli) printEvacuation(e telemetry.EvacuationStatus) {
	for _, d := range e.Domains {
		if d.Unknown {
			c.printf("  evacuated domain %q is unknown and has no effect, revision %d\n", d.Domain, e.Revision)
			continue
		}
		c.printf("  evacuated domain %s since %s, revision %d\n", d.Domain, d.Since.Format(time.RFC3339), e.Revision)
	}
}
