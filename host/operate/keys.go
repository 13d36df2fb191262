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

// keyBytes is the number of random bytes in a generated key.
const keyBytes = 32

// keysSetting is the setting of an account that lists the hashes of its keys.
const keysSetting = "keys"

// IssuedKey is an API key issued to a client account. Only its hash is stored.
type IssuedKey struct {
	Account model.AccountID
	Key     string
	Hash    string // as the tree stores it
	Result  Result
}

// GrantKey generates a random key for an account and adds its hash to the tree.
// If it returns an error, the key is not valid; after ErrOutcomeUnknown it may
// be.
func (r *Repository) GrantKey(ctx context.Context, account model.AccountID, author string) (IssuedKey, error) {
	key := newKey()
	grant := IssuedKey{Account: account, Key: key, Hash: HashKey(key)}
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

// WithdrawKey removes a key from an account. The key is given in plain text or
// as its hash.
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

// WithCurrentKeys returns a copy of the tree in which each account has the keys
// that it has in current, and no keys if current does not have the account.
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

// HashKey returns the SHA-256 of a key as the tree stores it.
func HashKey(key string) string { return configuration.FormatKey(sha256.Sum256([]byte(key))) }

// hashOfKeyOrHash returns the hash of a key that is given in plain text or as
// its hash.
func hashOfKeyOrHash(keyOrHash string) string {
	if _, ok := configuration.ParseKey(strings.ToLower(keyOrHash)); ok {
		return strings.ToLower(keyOrHash)
	}
	return HashKey(keyOrHash)
}

// newKey generates a key in hexadecimal digits. In an encoding with "-" a key
// could begin with it, and pollenctl key withdraw would parse it as a flag.
func newKey() string {
	random := make([]byte, keyBytes)
	rand.Read(random)
	return hex.EncodeToString(random)
}

// accountKeys returns the path of an account and the value of its keys setting.
func accountKeys(tree configuration.Tree, account model.AccountID) (configuration.Path, string, error) {
	p := configuration.Path(configuration.TopAccounts + "/" + string(account))
	settings, ok := tree.Branches[p]
	if !ok {
		return p, "", merry.Errorf("there is no account %s; accounts are branches below %q", account, configuration.TopAccounts)
	}
	return p, settings[keysSetting], nil
}
