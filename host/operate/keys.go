package operate

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/ansel1/merry/v2"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
)

// keyBytes is the size in bytes of a random key.
const keyBytes = 32

// keysSetting is the setting that holds the hashes of an account's keys.
const keysSetting = "keys"

// Grant is a key that an account got. Only its hash is stored.
type Grant struct {
	Account model.AccountID
	Key     string
	Hash    string // in the notation of the tree
	Result  Result
}

// GrantKey makes a random key for an account. On an error the key does not
// work, but for ErrMayHaveWritten.
func (r *Repository) GrantKey(ctx context.Context, account model.AccountID, author string) (Grant, error) {
	key := newKey()
	grant := Grant{Account: account, Key: key, Hash: HashKey(key)}
	current, err := r.Current(ctx)
	if err != nil {
		return grant, err
	}
	p, keys, err := accountKeys(current.Tree, account)
	if err != nil {
		return grant, err
	}
	assignment := Assignment{Name: keysSetting, Value: appendListValue(keys, grant.Hash)}
	grant.Result, err = r.Apply(ctx, Edit{
		Author: author,
		Note:   "grant a key to " + string(account),
		Base:   current,
		Tree:   Assign(current.Tree, p, []Assignment{assignment}),
	})
	return grant, err
}

// WithdrawKey removes a key, given as such or as its hash, from an account.
func (r *Repository) WithdrawKey(ctx context.Context, account model.AccountID, keyOrHash, author string) (Result, error) {
	current, err := r.Current(ctx)
	if err != nil {
		return Result{}, err
	}
	p, keys, err := accountKeys(current.Tree, account)
	if err != nil {
		return Result{}, err
	}
	remaining, ok := removeListValue(keys, hashOfKeyOrHash(keyOrHash))
	if !ok {
		return Result{}, merry.Errorf("account %s has no such key", account)
	}
	assignment := Assignment{Name: keysSetting, Value: remaining, Unset: remaining == ""}
	return r.Apply(ctx, Edit{
		Author: author,
		Note:   "withdraw a key of " + string(account),
		Base:   current,
		Tree:   Assign(current.Tree, p, []Assignment{assignment}),
	})
}

// WithCurrentKeys returns a tree whose accounts have the keys that they have in
// current, none where current has no such account.
func WithCurrentKeys(tree, current configuration.Tree) configuration.Tree {
	tree = tree.Clone()
	for p, settings := range tree.Branches {
		delete(settings, keysSetting)
		if keys := current.Branches[p][keysSetting]; keys != "" {
			settings[keysSetting] = keys
		}
	}
	return tree
}

// HashKey returns the hash of a key in the notation of the tree.
func HashKey(key string) string { return configuration.FormatKey(sha256.Sum256([]byte(key))) }

// hashOfKeyOrHash returns the hash of a key that is given as such or as its hash.
func hashOfKeyOrHash(keyOrHash string) string {
	if _, ok := configuration.ParseKey(strings.ToLower(keyOrHash)); ok {
		return strings.ToLower(keyOrHash)
	}
	return HashKey(keyOrHash)
}

// newKey returns a key in hexadecimal digits. A key that may begin with "-" would
// be taken for a flag by key withdraw.
func newKey() string {
	random := make([]byte, keyBytes)
	rand.Read(random)
	return hex.EncodeToString(random)
}

func accountKeys(tree configuration.Tree, account model.AccountID) (configuration.Path, string, error) {
	p := configuration.Path(configuration.TopAccounts + "/" + string(account))
	settings, ok := tree.Branches[p]
	if !ok {
		return p, "", merry.Errorf("there is no account %s; accounts are branches below %q", account, configuration.TopAccounts)
	}
	return p, settings[keysSetting], nil
}
