package main

import (
	"github.com/spf13/cobra"

	"pollensail.dev/standin/kv"
)

func newStore() *cobra.Command {
	var d daemon
	var address string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run the platform store with its host list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			bound, err := serve(address, kv.New())
			if err != nil {
				return err
			}
			return d.run(cmd.Context(), "store="+bound)
		},
	}
	d.addFlags(cmd)
	cmd.Flags().StringVar(&address, "address", "127.0.0.1:0", "address to listen on")
	return cmd
}
