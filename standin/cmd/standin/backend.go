package main

import (
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/server"
)

func newBackend() *cobra.Command {
	var p process
	var config server.Config
	var address, control, kind string
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Run a backend server",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if config.Kind, err = server.ParseKind(kind); err != nil {
				return err
			}
			s := server.New(config)
			work, err := s.Listen(address)
			if err != nil {
				return err
			}
			defer s.Close()
			bound, err := serve(control, s.Control())
			if err != nil {
				return err
			}
			return p.run(cmd.Context(), "work="+work, "control="+bound)
		},
	}
	p.flags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:0", "address of the work port")
	flags.StringVar(&control, "control", "127.0.0.1:0", "address of the control port")
	flags.StringVar(&config.Name, "name", "backend", "name told in answers")
	flags.StringVar(&kind, "kind", "lookup", "kind of work: lookup, filing or export")
	flags.IntVar(&config.Slots, "slots", 6, "requests worked on at once")
	flags.IntVar(&config.Queue, "queue", 6, "requests that wait; more are shed")
	flags.DurationVar(&config.Work, "work", 5*time.Millisecond, "time of one request")
	flags.IntVar(&config.Size, "size", 256<<10, "bytes of an export")
	flags.DurationVar(&config.ColdFor, "cold-for", 0, "time of a cold start")
	flags.IntVar(&config.ColdFactor, "cold-factor", 5, "slowness during a cold start")
	return cmd
}
