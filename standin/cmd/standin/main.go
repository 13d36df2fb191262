// Command standin runs a test double of the platform store, a backend server or
// a caller, or a TCP relay that injects network faults. It also audits the
// results of calls and sends single HTTP requests. It is for tests, the demo and
// measurements and is not shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newRoot().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run test doubles of the platform, backend servers and callers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newStore(), newBackend(), newRelay(), newCall(), newAudit(), newHTTP())
	return root
}
