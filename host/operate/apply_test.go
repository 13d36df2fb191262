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

// TestDisjointEditsMerge guards against losing an edit because another one was
// written first.
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

// TestConflictingEditIsRefused guards against overwriting another operator's
// change, and against a conflict error that does not show that change.
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

// TestInvalidEditIsNotWritten guards against storing a tree that hosts cannot
// put into force.
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

// TestLostAnswers guards against applying an edit twice, or reporting it as
// failed although it took effect, when the response to the swap is lost.
func TestLostAnswers(t *testing.T) {
	loseResponse := func() error { return store.ErrUnavailable }
	cases := []struct {
		name string
		set  func(r *Repository, f *fakeStore, base Revision)
		want uint64 // version that the edit gets
	}{{
		"after it took effect",
		func(_ *Repository, f *fakeStore, _ Revision) { f.afterSwap = onFirstRootSwap(loseResponse) },
		2,
	}, {
		"before it took effect",
		func(_ *Repository, f *fakeStore, _ Revision) { f.beforeSwap = onFirstRootSwap(loseResponse) },
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

// TestOutageIsReportedAsDoubtful guards against reporting an edit as failed
// while its outcome is unknown, since it may still take effect.
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
// several operators grant keys to one account concurrently.
func TestOperatorsRace(t *testing.T) {
	c := qt.New(t)
	r, _ := newSampleRepository(c)
	const operators, editsEach = 4, 4
	var wait sync.WaitGroup
	for range operators {
		wait.Go(func() {
			for range editsEach {
				_, err := r.GrantKey(context.Background(), "institutes/ntnu", "op")
				c.Check(err, qt.IsNil)
			}
		})
	}
	wait.Wait()
	current, err := r.Current(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(configuration.Lines(current.Tree.Branches[ntnu]["keys"]), qt.HasLen, operators*editsEach)
	entries, err := r.History(context.Background(), 100)
	c.Assert(err, qt.IsNil)
	c.Assert(entries, qt.HasLen, operators*editsEach+1)
}

// TestWithdrawKey guards against a key that the command line parses as a flag,
// and against a withdrawn key that stays in the tree, whether the operator gives
// the key in plain text or as its hash.
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
