package operate

import (
	"context"
	"errors"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/host/store"
)

const ntnu = "accounts/institutes/ntnu"

// TestDisjointEditsMerge guards against an edit that is lost when another one
// came first.
func TestDisjointEditsMerge(t *testing.T) {
	c := qt.New(t)
	r, _ := newSampleRepository(c)
	base, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	_, err = edit(r, "ann", base, ntnu, "burst", "50")
	c.Assert(err, qt.IsNil)
	result, err := edit(r, "bob", base, ntnu, "rate", "30/s")
	c.Assert(err, qt.IsNil)
	c.Assert(result.MergedWith, qt.DeepEquals, []uint64{2})
	current, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(current.Tree.Branches[ntnu], qt.DeepEquals, configuration.Settings{"rate": "30/s", "burst": "50"})
}

// TestConflictingEditIsRefused guards against overwriting what another
// operator set, and against a refusal that does not say what changed.
func TestConflictingEditIsRefused(t *testing.T) {
	c := qt.New(t)
	r, _ := newSampleRepository(c)
	base, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	_, err = edit(r, "ann", base, ntnu, "rate", "50/s")
	c.Assert(err, qt.IsNil)
	_, err = edit(r, "bob", base, ntnu, "rate", "30/s")
	var conflict *ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `(?s).*version 2 by ann.*ntnu rate: base \(absent\), mine "30/s", theirs "50/s".*`)
}

// TestInvalidEditIsNotWritten guards against a tree in the store that hosts
// cannot serve by.
func TestInvalidEditIsNotWritten(t *testing.T) {
	c := qt.New(t)
	r, f := newSampleRepository(c)
	base, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	_, err = edit(r, "ann", base, ntnu, "burst", "0")
	var invalid *InvalidError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(f.swaps[store.RootKey], qt.Equals, 1)
}

// TestLostAnswers guards against an edit that is applied twice, or reported as
// failed although it took effect, when the answer of the swap is lost.
func TestLostAnswers(t *testing.T) {
	lost := func() error { return store.ErrUnavailable }
	cases := []struct {
		name string
		set  func(r *Repository, f *fakeStore, base Revision)
		want uint64 // version of the edit
	}{{
		"after it took effect",
		func(_ *Repository, f *fakeStore, _ Revision) { f.afterSwap = onFirstRootSwap(lost) },
		2,
	}, {
		"before it took effect",
		func(_ *Repository, f *fakeStore, _ Revision) { f.beforeSwap = onFirstRootSwap(lost) },
		2,
	}, {
		"another edit follows at once",
		func(r *Repository, f *fakeStore, _ Revision) {
			f.afterSwap = onFirstRootSwap(func() error {
				base, _ := r.Current(context.Background())
				_, err := edit(r, "bob", base, "services/lookup", "queue", "7")
				return errors.Join(store.ErrUnavailable, err)
			})
		},
		2,
	}, {
		"another edit came first",
		func(r *Repository, f *fakeStore, base Revision) {
			f.beforeSwap = onFirstRootSwap(func() error {
				_, err := edit(r, "bob", base, "services/lookup", "queue", "7")
				return errors.Join(store.ErrUnavailable, err)
			})
		},
		3,
	}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			r, f := newSampleRepository(c)
			base, err := r.Current(context.Background())
			c.Assert(err, qt.IsNil)
			tc.set(r, f, base)
			result, err := edit(r, "ann", base, ntnu, "rate", "30/s")
			c.Assert(err, qt.IsNil)
			c.Assert(result.Version, qt.Equals, tc.want)
			current, err := r.Current(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(current.Tree.Branches[ntnu]["rate"], qt.Equals, "30/s")
			entry, err := r.loadRootAt(context.Background(), tc.want)
			c.Assert(err, qt.IsNil)
			c.Assert(entry.Author, qt.Equals, "ann")
			c.Assert(f.swaps[store.RootKey], qt.Equals, int(current.Root.Version))
		})
	}
}

// TestOutageIsReportedAsDoubtful guards against calling an edit failed that
// may yet take effect.
func TestOutageIsReportedAsDoubtful(t *testing.T) {
	c := qt.New(t)
	r, f := newSampleRepository(c)
	base, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	f.beforeSwap = func(key string) error {
		if key == store.RootKey {
			return store.ErrUnavailable
		}
		return nil
	}
	_, err = edit(r, "ann", base, ntnu, "rate", "30/s")
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
}

// TestOperatorsRace guards against lost edits and gaps in the history when
// many operators grant keys to one account at the same time.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	r, _ := newSampleRepository(c)
	const operators, each = 4, 4
	var wait sync.WaitGroup
	for range operators {
		wait.Go(func() {
			for range each {
				_, err := r.GrantKey(context.Background(), "institutes/ntnu", "op")
				c.Check(err, qt.IsNil)
			}
		})
	}
	wait.Wait()
	current, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(configuration.Lines(current.Tree.Branches[ntnu]["keys"]), qt.HasLen, operators*each)
	entries, err := r.History(context.Background(), 100)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, operators*each+1)
}

// TestWithdrawKey guards against a key that a command line takes for a flag, and
// a withdrawn key that stays in the tree, by whichever name the operator gives
// it.
func TestWithdrawKey(t *testing.T) {
	for _, byHash := range []bool{false, true} {
		c := qt.New(t)
		r, _ := newSampleRepository(c)
		grant, err := r.GrantKey(context.Background(), "institutes/ntnu", "op")
		c.Assert(err, qt.IsNil)
		c.Assert(grant.Key, qt.Matches, "[0-9a-f]{64}")
		name := grant.Key
		if byHash {
			name = grant.Hash
		}
		_, err = r.WithdrawKey(context.Background(), "institutes/ntnu", name, "op")
		c.Assert(err, qt.IsNil)
		current, err := r.Current(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(current.Tree.Branches[ntnu]["keys"], qt.Equals, "")
		_, err = r.WithdrawKey(context.Background(), "institutes/ntnu", name, "op")
		c.Assert(err, qt.ErrorMatches, "account institutes/ntnu has no such key")
	}
}
