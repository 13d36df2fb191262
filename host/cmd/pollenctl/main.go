// Command pollenctl is the command-line tool of operators. It edits the
// configuration tree in the platform's store and shows the state of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := cli{
		out:       os.Stdout,
		errOut:    os.Stderr,
		in:        os.Stdin,
		openStore: openStore,
	}
	os.Exit(c.run(ctx, os.Args[1:]))
}
