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

func (t *tool) keyCommand() *cobra.Command {
	return group("key", "Grant and withdraw keys of client accounts",
		"The tree holds the SHA-256 of each key only.",
		t.keyGrant(), t.keyWithdraw())
}

type grantJSON struct {
	Account model.AccountID `json:"account"`
	Key     string          `json:"key"`
	Hash    string          `json:"hash"`
	Version uint64          `json:"version"`
}

func (t *tool) keyGrant() *cobra.Command {
	return &cobra.Command{
		Use:   "grant ACCOUNT",
		Short: "Make a key for an account and print it, this once",
		Long: `Makes a random key for an account and prints it, this once: the tree holds
only its SHA-256. ACCOUNT is the path of the account below "accounts".`,
		Example: `  pollenctl key grant institutes/ntnu`,
		Args:    cobra.ExactArgs(1),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			grant, err := r.GrantKey(ctx, model.AccountID(args[0]), t.author)
			if errors.Is(err, operate.ErrOutcomeUnknown) {
				return fmt.Errorf("%w; the key's hash is %s", err, grant.Hash)
			}
			if err != nil {
				return err
			}
			return t.printGrant(grant)
		}),
	}
}

func (t *tool) printGrant(g operate.Grant) error {
	if t.isJSON() {
		return t.printJSON(grantJSON{g.Account, g.Key, g.Hash, g.Result.Version})
	}
	fmt.Fprintf(t.errOut, "account %s, %s, version %d\n", g.Account, g.Hash, g.Result.Version)
	t.printf("%s\n", g.Key)
	return nil
}

func (t *tool) keyWithdraw() *cobra.Command {
	return &cobra.Command{
		Use:     "withdraw ACCOUNT KEY-OR-HASH",
		Short:   "Withdraw a key, given as such or as its hash",
		Example: `  pollenctl key withdraw institutes/ntnu sha256:9f86d081884c7d65...`,
		Args:    cobra.ExactArgs(2),
		RunE: t.withStore(func(ctx context.Context, r *operate.Repository, args []string) error {
			key, err := t.argument(args[1])
			if err != nil {
				return err
			}
			result, err := r.WithdrawKey(ctx, model.AccountID(args[0]), key, t.author)
			if err != nil {
				return err
			}
			return t.printResult(result)
		}),
	}
}

// argument returns the text, or for "-" the first line of standard input.
func (t *tool) argument(text string) (string, error) {
	if text != "-" {
		return text, nil
	}
	line, err := bufio.NewReader(t.in).ReadString('\n')
	if err != nil && err != io.EOF {
		return "", usageError{err}
	}
	return strings.TrimSpace(line), nil
}
