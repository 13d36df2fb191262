package operate

import (
	"context"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
	"pollensail.dev/host/treefile"
)

// fakeStore is an in-memory store. beforeSwap and afterSwap run before and after
// each swap, so that a test can inject a concurrent edit or a lost response.
type fakeStore struct {
	mu         sync.Mutex
	records    map[string]fakeRecord
	hosts      []model.HostEntry
	swaps      map[string]int // number of successful swaps, by key
	beforeSwap func(key string) error
	afterSwap  func(key string) error
}

type fakeRecord struct {
	value   []byte
	version uint64
}

func newFakeStore() *fakeStore {
	noError := func(string) error { return nil }
	return &fakeStore{
		records:    make(map[string]fakeRecord),
		swaps:      make(map[string]int),
		beforeSwap: noError,
		afterSwap:  noError,
	}
}

func (f *fakeStore) Get(_ context.Context, key string) ([]byte, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.records[key]
	return r.value, r.version, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, key string, version uint64, value []byte) (uint64, error) {
	if err := f.beforeSwap(key); err != nil {
		return 0, err
	}
	if !f.swap(key, version, value) {
		return 0, store.ErrConflict
	}
	return version + 1, f.afterSwap(key)
}

func (f *fakeStore) swap(key string, version uint64, value []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.records[key].version != version {
		return false
	}
	f.records[key] = fakeRecord{value, version + 1}
	f.swaps[key]++
	return true
}

func (f *fakeStore) HostList(context.Context) ([]model.HostEntry, error) { return f.hosts, nil }

// onFirstRootSwap returns a hook that runs fn on the first swap of the root only.
func onFirstRootSwap(fn func() error) func(string) error {
	var isDone bool
	return func(key string) error {
		if key != store.RootKey || isDone {
			return nil
		}
		isDone = true
		return fn()
	}
}

// newFakeRepository returns a repository that retries without delay.
func newFakeRepository(f *fakeStore) *Repository {
	r := NewRepository(f)
	r.wait = func(context.Context, time.Duration) error { return nil }
	return r
}

const sampleFile = `
domains = ["north", "south"]

["accounts/institutes"]
rate = "20/s"
burst = 40

["accounts/institutes/ntnu"]

["accounts/institutes/uio"]

["routes/rings"]
path = "/rings"
service = "lookup"

["services/lookup"]
servers = ["10.0.0.1:8080"]
`

func sampleTree(c *qt.C) configuration.Tree {
	f, err := treefile.Decode("sample.toml", []byte(sampleFile))
	c.Assert(err, qt.IsNil)
	return f.Tree
}

// newSampleRepository returns a repository with the sample tree as version 1.
func newSampleRepository(c *qt.C) (*Repository, *fakeStore) {
	f := newFakeStore()
	r := newFakeRepository(f)
	result, err := r.Apply(context.Background(), Edit{Author: "setup", Tree: sampleTree(c)})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Version, qt.Equals, uint64(1))
	return r, f
}

// edit sets one setting of a branch, based on the given revision.
func edit(r *Repository, author string, base Revision, path, name, value string) (Result, error) {
	p := configuration.Path(path)
	tree := Assign(base.Tree, p, []Assignment{{Name: name, Value: value}})
	return r.Apply(context.Background(), Edit{Author: author, Base: base, Tree: tree})
}
