// Command pollenctl is the operators' tool. It edits the tree of settings in
// the platform's store and shows the state of the fleet.
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
	t := tool{
		out:       os.Stdout,
		errOut:    os.Stderr,
		in:        os.Stdin,
		openStore: openStore,
	}
	os.Exit(t.run(ctx, os.Args[1:]))
}
