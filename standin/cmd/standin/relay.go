package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/relay"
)

func newRelay() *cobra.Command {
	var d daemon
	var control string
	var targets, listens []string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections and inject faults by rules",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := relay.New()
			var addresses []string
			for i, to := range targets {
				listen := "127.0.0.1:0"
				if i < len(listens) {
					listen = listens[i]
				}
				listener, err := net.Listen("tcp", listen)
				if err != nil {
					return err
				}
				go r.Serve(cmd.Context(), listener, to)
				addresses = append(addresses, fmt.Sprintf("relay%d=%s", i, listener.Addr()))
			}
			bound, err := serve(control, r.ControlHandler())
			if err != nil {
				return err
			}
			return d.run(cmd.Context(), append(addresses, "control="+bound)...)
		},
	}
	d.addFlags(cmd)
	cmd.Flags().StringSliceVar(&targets, "to", nil, "addresses to relay to, each from its own port")
	cmd.Flags().StringSliceVar(&listens, "listen", nil, "addresses to listen on, in the order of --to")
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:0", "address of the control port")
	return cmd
}
