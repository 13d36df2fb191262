package main

import (
	"fmt"
	"net"

	"github.com/spf13/cobra"

	"pollensail.dev/standin/relay"
)

func newRelay() *cobra.Command {
	var p process
	var control string
	var targets, listens []string
	cmd := &cobra.Command{
		Use:   "relay",
		Short: "Relay TCP connections and make them bad by rules",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := relay.New()
			var addresses []string
			for i, to := range targets {
				listen := "127.0.0.1:0"
				if i < len(listens) {
					listen = listens[i]
				}
				socket, err := net.Listen("tcp", listen)
				if err != nil {
					return err
				}
				go r.Serve(cmd.Context(), socket, to)
				addresses = append(addresses, fmt.Sprintf("relay%d=%s", i, socket.Addr()))
			}
			bound, err := serve(control, r.Control())
			if err != nil {
				return err
			}
			return p.run(cmd.Context(), append(addresses, "control="+bound)...)
		},
	}
	p.flags(cmd)
	cmd.Flags().StringSliceVar(&targets, "to", nil, "addresses to relay to, each on a port of its own")
	cmd.Flags().StringSliceVar(&listens, "listen", nil, "addresses to listen on, in the order of --to")
	cmd.Flags().StringVar(&control, "control", "127.0.0.1:0", "address of the control port")
	return cmd
}
