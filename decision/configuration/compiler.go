package configuration

import (
	"fmt"
	"maps"
	"slices"

	"pollensail.dev/decision/model"
)

// Build compiles a tree one shard at a time, so that the settings of a shard
// need not stay in memory. Create it with NewBuild or Rebuild. The shards of the
// root and of inner branches (IsInnerShard) must be added before the others.
type Build struct {
	snapshot   *Snapshot
	isWhole    bool // compiles the whole tree; false after Rebuild
	problems   Problems
	innerPaths map[Path]bool // branches above the objects added so far
	accounts   objectBuilder[Account]
	routes     objectBuilder[routeDraft]
	services   objectBuilder[Service]
	serviceOf  map[model.ServerID]model.ServiceID // nil until it is first needed
}

// NewBuild returns a Build for a whole tree.
func NewBuild(version uint64) *Build {
	snapshot := NewSnapshot(version, nil, 0)
	snapshot.inner = make(map[Path]Settings)
	return newBuild(snapshot, true)
}

func newBuild(snapshot *Snapshot, isWhole bool) *Build {
	b := &Build{snapshot: snapshot, isWhole: isWhole, innerPaths: map[Path]bool{"": true}}
	b.accounts = newObjectBuilder(b, accountDefinitions)
	b.routes = newObjectBuilder(b, routeDefinitions)
	b.services = newObjectBuilder(b, serviceDefinitions)
	return b
}

// Add adds the branches of a shard.
func (b *Build) Add(shard string, branches map[Path]Settings) {
	isInner := IsInnerShard(shard)
	part, ok := parseShardName(shard)
	for _, p := range slices.Sorted(maps.Keys(branches)) {
		switch {
		case !ok || !part.contains(p.Top(), p.Below()):
			b.reportBranch(p, "a branch in the shard that its path belongs to, not in "+shard)
		case isInner:
			b.addInner(p, branches[p])
		default:
			b.addObject(p, branches[p])
		}
	}
}

// Finish returns the snapshot, or nil and the problems of the tree. The Build
// must not be used afterwards.
func (b *Build) Finish() (*Snapshot, Problems) {
	if b.isWhole {
		b.finishRoot()
		b.finishInner()
	}
	b.checkObjects()
	b.checkReferences()
	if len(b.problems) > 0 {
		b.problems.sort()
		return nil, b.problems
	}
	return b.snapshot, nil
}

// reportSetting records an invalid value of a setting.
func (b *Build) reportSetting(p Path, d Setting, value string) {
	if d.Secret && value != "" {
		value = secretPlaceholder
	}
	b.problems = append(b.problems, Problem{Branch: p, Setting: d.Name, Value: value, Expected: d.Expected})
}

// reportBranch records a problem of the branch itself.
func (b *Build) reportBranch(p Path, expected string) {
	b.problems = append(b.problems, Problem{Branch: p, Expected: expected})
}

func (b *Build) addInner(p Path, settings Settings) {
	if b.checkPath(p) {
		b.snapshot.inner[p] = settings
	}
}

func (b *Build) addObject(p Path, settings Settings) {
	if !b.checkPath(p) {
		return
	}
	if p.Below() == "" {
		b.reportBranch(p, "an object, because its shard holds only objects")
		return
	}
	addAncestors(b.innerPaths, p)
	switch p.Top() {
	case TopAccounts:
		b.addAccount(p, b.accounts.object(p, settings))
	case TopRoutes:
		b.addRoute(p, b.routes.object(p, settings))
	case TopServices:
		b.addService(p, b.services.object(p, settings))
	}
}

// checkPath reports whether a branch may have the path, and records a problem
// if not.
func (b *Build) checkPath(p Path) bool {
	_, ok := KindOf(p)
	if ok && (p == "" || isPath(string(p))) {
		return true
	}
	b.reportBranch(p, `a path below "accounts", "routes" or "services" of elements of letters, digits, "-", "_" and "."`)
	return false
}

func (b *Build) addAccount(p Path, a *Account) {
	a.ID = model.AccountID(p.Below())
	for _, k := range a.Keys {
		if other, ok := b.snapshot.Keys[k]; ok {
			b.reportDuplicate(p, "keys", secretPlaceholder, TopAccounts, string(other))
		}
	}
	b.snapshot.AddAccount(a)
}

func (b *Build) addRoute(p Path, draft *routeDraft) {
	r := draft.Route
	r.ID = model.RouteID(p.Below())
	if !draft.hasIdempotent {
		r.Idempotent = r.Class != model.Mutation
	}
	if !draft.hasIdempotencyKey {
		r.NeedsIdempotencyKey = !r.Idempotent
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		b.reportInvalid(p, "service", string(r.Service))
	}
	if r.Path == "" {
		return // already recorded as a problem
	}
	if other, ok := b.snapshot.index.conflicting(&r); ok {
		b.reportDuplicate(p, "path", r.Path, TopRoutes, string(other.ID))
	}
	b.snapshot.AddRoute(&r)
}

func (b *Build) addService(p Path, s *Service) {
	s.ID = model.ServiceID(p.Below())
	for _, server := range s.Servers {
		if other, ok := b.servicesByServer()[server]; ok {
			b.reportDuplicate(p, "servers", string(server), TopServices, string(other))
		}
		b.serviceOf[server] = s.ID
	}
	b.snapshot.AddService(s)
}

// servicesByServer returns the service of each configured server.
func (b *Build) servicesByServer() map[model.ServerID]model.ServiceID {
	if b.serviceOf != nil {
		return b.serviceOf
	}
	b.serviceOf = make(map[model.ServerID]model.ServiceID)
	for id, s := range b.snapshot.Services {
		for _, server := range s.Servers {
			b.serviceOf[server] = id
		}
	}
	return b.serviceOf
}

// reportDuplicate records a value that another object has too.
func (b *Build) reportDuplicate(p Path, setting, value, top, other string) {
	expected := fmt.Sprintf("a value that %s/%s does not have", top, other)
	b.problems = append(b.problems, Problem{Branch: p, Setting: setting, Value: value, Expected: expected})
}

func (b *Build) finishRoot() {
	root := newObjectBuilder(b, rootDefinitions)
	settings := b.snapshot.inner[""]
	root.applyDefaults(b.snapshot)
	root.applySettings("", settings, b.snapshot)
	root.checkRequired("", settings)
}

// finishInner validates the inner branches that no object inherits from.
func (b *Build) finishInner() {
	for p := range b.snapshot.inner {
		switch p.Top() {
		case TopAccounts:
			b.accounts.template(p)
		case TopRoutes:
			b.routes.template(p)
		case TopServices:
			b.services.template(p)
		}
	}
}
