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

// The exit codes.
const (
	exitDone    = 0
	exitNotDone = 1 // refused, invalid, or the store does not answer
	exitUsage   = 2 // wrong arguments, or a file that cannot be read
)

// defaultTimeout bounds a command.
const defaultTimeout = time.Minute

// The values of --output.
const (
	outputText = "text"
	outputJSON = "json"
)

// tool is one run of pollenctl.
type tool struct {
	out       io.Writer
	errOut    io.Writer
	in        io.Reader
	openStore func(address string) operate.Store

	store   string // address
	output  string
	author  string
	timeout time.Duration
}

// usageError is a mistake in the arguments.
type usageError struct{ error }

func (t *tool) run(ctx context.Context, args []string) int {
	root := t.command()
	root.SetArgs(args)
	root.SetOut(t.out)
	root.SetErr(t.errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(t.errOut, "pollenctl:", err)
	var usage usageError
	if errors.As(err, &usage) || !t.isStarted(root) {
		return exitUsage
	}
	return exitNotDone
}

// isStarted reports whether the arguments were valid, so that a command ran.
func (t *tool) isStarted(root *cobra.Command) bool {
	return root.Annotations[annotationStarted] != ""
}

const annotationStarted = "started"

func (t *tool) command() *cobra.Command {
	root := &cobra.Command{
		Use:   "pollenctl",
		Short: "Edit the tree of settings and look at the fleet",
		Long: `pollenctl edits the tree of settings that every entry host serves by, and
shows the state of the fleet.

Exit codes: 0 done; 1 refused, invalid or no answer; 2 wrong arguments or a
file that cannot be read.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Annotations:   make(map[string]string),
	}
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if t.output != outputText && t.output != outputJSON {
			return usageError{fmt.Errorf("--output %q: expected text or json", t.output)}
		}
		root.Annotations[annotationStarted] = "yes"
		return nil
	}
	flags := root.PersistentFlags()
	flags.StringVar(&t.store, "store", "", `"ip:port" of the platform's store (default $POLLENSAIL_STORE)`)
	flags.StringVar(&t.output, "output", outputText, "form of the output: text or json")
	flags.StringVar(&t.author, "author", cmp.Or(os.Getenv("USER"), "unknown"), "name to record with an edit")
	flags.DurationVar(&t.timeout, "timeout", defaultTimeout, "longest time for the whole command")
	root.AddCommand(t.treeCommand(), t.checkCommand(), t.keyCommand(), t.statusCommand(), t.explainCommand(), settingsTopic())
	return root
}

// group makes a command that only has subcommands.
func group(use, short, long string, subcommands ...*cobra.Command) *cobra.Command {
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

// repository opens the store of the --store flag.
func (t *tool) repository() (*operate.Repository, error) {
	address := cmp.Or(t.store, os.Getenv("POLLENSAIL_STORE"))
	if address == "" {
		return nil, usageError{errors.New(`no store: expected --store "ip:port" or POLLENSAIL_STORE`)}
	}
	return operate.NewRepository(t.openStore(address)), nil
}

// action is the work of a command that needs the store.
type action func(ctx context.Context, r *operate.Repository, args []string) error

// withStore makes a command's RunE of an action.
func (t *tool) withStore(run action) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		r, err := t.repository()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), t.timeout)
		defer cancel()
		return run(ctx, r, args)
	}
}
