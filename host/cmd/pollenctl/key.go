package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/operate"
)

func (c *cli) keyCommand() *cobra.Command {
	return newCommandGroup("key", "Grant and withdraw keys of client accounts",
		"The tree holds only the SHA-256 of each key.",
		c.keyGrantCommand(), c.keyWithdrawCommand())
}

type grantJSON struct {
	Account model.AccountID `json:"account"`
	Key     string          `json:"key"`
	Hash    string          `json:"hash"`
	Version uint64          `json:"version"`
}

func (c *cli) keyGrantCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "grant ACCOUNT",
		Short: "Generate a key for an account and print it once",
		Long: `Generates a random key for an account and prints it. The key cannot be shown
again, because the tree holds only its SHA-256. ACCOUNT is the path of the
account below "accounts".`,
		Example: `  pollenctl key grant institutes/ntnu`,
		Args:    cobra.ExactArgs(1),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			grant, err := r.GrantKey(ctx, model.AccountID(args[0]), c.author)
			if errors.Is(err, operate.ErrOutcomeUnknown) {
				return fmt.Errorf("%w; the key's hash is %s", err, grant.Hash)
			}
			if err != nil {
				return err
			}
			return c.printGrant(grant)
		}),
	}
}

func (c *cli) printGrant(g operate.IssuedKey) error {
	if c.isJSON() {
		return c.printJSON(grantJSON{g.Account, g.Key, g.Hash, g.Result.Version})
	}
	fmt.Fprintf(c.errOut, "account %s, %s, version %d\n", g.Account, g.Hash, g.Result.Version)
	c.printf("%s\n", g.Key)
	return nil
}

func (c *cli) keyWithdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "withdraw ACCOUNT KEY-OR-HASH",
		Short:   "Withdraw a key, given in plain text or as its hash",
		Example: `  pollenctl key withdraw institutes/ntnu sha256:9f86d081884c7d65...`,
		Args:    cobra.ExactArgs(2),
		RunE: c.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			key, err := c.argumentOrStdin(args[1])
			if err != nil {
				return err
			}
			result, err := r.WithdrawKey(ctx, model.AccountID(args[0]), key, c.author)
			if err != nil {
				return err
			}
			return c.printResult(result)
		}),
	}
}

// argumentOrStdin returns the argument, or the first line of standard input if
// the argument is "-".
func (c *cli) argumentOrStdin(text string) (string, error) {
	if text != "-" {
		return text, nil
	}
	line, err := bufio.NewReader(c.in).ReadString('\n')
	if err != nil && err != io.EOF {
		return "", usageError{err}
	}
	return strings.TrimSpace(line), nil
}
