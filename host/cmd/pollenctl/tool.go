package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"pollensail.dev/host/operate"
)

// The exit codes of pollenctl.
const (
	exitOK      = 0
	exitFailure = 1 // refused, invalid, or no response from the store
	exitUsage   = 2 // wrong arguments, or a file that cannot be read
)

// defaultTimeout is the default of --timeout, the time limit of a whole command.
const defaultTimeout = time.Minute

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// cli holds the streams, the flags and the store of one run of pollenctl.
type cli struct {
	out       io.Writer
	errOut    io.Writer
	in        io.Reader
	openStore func(address string) operate.Store

	storeAddress string // "ip:port"; empty: $POLLENSAIL_STORE is used
	output       string
	author       string
	timeout      time.Duration
}

// usageError wraps an error that ends the process with exitUsage.
type usageError struct{ error }

func (c *cli) run(ctx context.Context, args []string) int {
	root := c.rootCommand()
	root.SetArgs(args)
	root.SetOut(c.out)
	root.SetErr(c.errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.errOut, "pollenctl:", err)
	var usage usageError
	if errors.As(err, &usage) || !c.argumentsValid(root) {
		return exitUsage
	}
	return exitFailure
}

// argumentsValid reports whether parsing the arguments succeeded, so that a
// command was started.
func (c *cli) argumentsValid(root *cobra.Command) bool {
	return root.Annotations[annotationStarted] != ""
}

// annotationStarted is the annotation of the root command that is set once the
// arguments are parsed.
const annotationStarted = "started"

func (c *cli) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "pollenctl",
		Short: "Edit the tree of settings and show the state of the fleet",
		Long: `pollenctl edits the tree of settings that all entry hosts are configured by,
and shows the state of the fleet.

Exit codes: 0 done; 1 refused, invalid or no answer; 2 wrong arguments or a
file that cannot be read.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Annotations:   make(map[string]string),
	}
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if c.output != outputText && c.output != outputJSON {
			return usageError{fmt.Errorf("--output %q: expected text or json", c.output)}
		}
		root.Annotations[annotationStarted] = "yes"
		return nil
	}
	flags := root.PersistentFlags()
	flags.StringVar(&c.storeAddress, "store", "", `"ip:port" of the platform's store (default $POLLENSAIL_STORE)`)
	flags.StringVar(&c.output, "output", outputText, "output format: text or json")
	flags.StringVar(&c.author, "author", cmp.Or(os.Getenv("USER"), "unknown"), "name to record with an edit")
	flags.DurationVar(&c.timeout, "timeout", defaultTimeout, "time limit for the whole command")
	root.AddCommand(c.treeCommand(), c.checkCommand(), c.keyCommand(), c.statusCommand(), c.evacuateCommand(), c.explainCommand(), settingsHelpTopic())
	return root
}

// newCommandGroup returns a command that only has subcommands and prints its
// help when run.
func newCommandGroup(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(subcommands...)
	return cmd
}

// openRepository opens the store given by --store or POLLENSAIL_STORE.
func (c *cli) openRepository() (*operate.Repository, error) {
	address := cmp.Or(c.storeAddress, os.Getenv("POLLENSAIL_STORE"))
	if address == "" {
		return nil, usageError{errors.New(`no store: expected --store "ip:port" or POLLENSAIL_STORE`)}
	}
	return operate.NewRepository(c.openStore(address)), nil
}

// storeCommand is the body of a command that uses the store.
type storeCommand func(ctx context.Context, r *operate.Repository, args []string) error

// withStore adapts a storeCommand to the RunE function of a cobra command.
func (c *cli) withStore(run storeCommand) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		r, err := c.openRepository()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), c.timeout)
		defer cancel()
		return run(ctx, r, args)
	}
}
