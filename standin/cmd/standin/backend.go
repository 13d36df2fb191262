package main

import (
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/server"
)

func newBackend() *cobra.Command {
	var d daemon
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
			bound, err := serve(control, s.ControlHandler())
			if err != nil {
				return err
			}
			return d.run(cmd.Context(), "work="+work, "control="+bound)
		},
	}
	d.addFlags(cmd)
	flags := cmd.Flags()
	flags.StringVar(&address, "address", "127.0.0.1:0", "address of the work port")
	flags.StringVar(&control, "control", "127.0.0.1:0", "address of the control port")
	flags.StringVar(&config.Name, "name", "backend", "server name in responses")
	flags.StringVar(&kind, "kind", "lookup", "kind of work: lookup, filing or export")
	flags.IntVar(&config.Concurrency, "slots", 6, "requests processed concurrently")
	flags.IntVar(&config.MaxQueued, "queue", 6, "length of the queue; more requests are shed")
	flags.DurationVar(&config.ServiceTime, "work", 5*time.Millisecond, "processing time of a request")
	flags.IntVar(&config.ExportBytes, "size", 256<<10, "minimum size of an export in bytes")
	flags.DurationVar(&config.ColdStartDuration, "cold-for", 0, "duration of a cold start")
	flags.IntVar(&config.ColdFactor, "cold-factor", 5, "factor by which requests take longer during a cold start")
	return cmd
}
