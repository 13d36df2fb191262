package configuration

import (
	"fmt"
	"maps"
	"slices"

	"pollensail.dev/decision/model"
)

// Build compiles a tree shard by shard, so that the settings of a shard need
// not be kept. Make it with NewBuild or Rebuild. The shards of the root and of
// inner branches (IsInnerShard) must be added before the others.
type Build struct {
	snapshot *Snapshot
	isWhole  bool // made by NewBuild
	problems Problems
	above    map[Path]bool // branches above the objects that were added
	accounts builder[Account]
	routes   builder[routeDraft]
	services builder[Service]
	serverOf map[model.ServerID]model.ServiceID // nil until a service is added
}

// NewBuild returns a build of a whole tree.
func NewBuild(version uint64) *Build {
	snapshot := NewSnapshot(version, nil, 0)
	snapshot.inner = make(map[Path]Settings)
	return newBuild(snapshot, true)
}

func newBuild(snapshot *Snapshot, isWhole bool) *Build {
	b := &Build{snapshot: snapshot, isWhole: isWhole, above: map[Path]bool{"": true}}
	b.accounts = newBuilder(b, accountDefinitions)
	b.routes = newBuilder(b, routeDefinitions)
	b.services = newBuilder(b, serviceDefinitions)
	return b
}

// Add adds the branches of a shard.
func (b *Build) Add(shard string, branches map[Path]Settings) {
	isInner := IsInnerShard(shard)
	part, ok := rangeOf(shard)
	for _, p := range slices.Sorted(maps.Keys(branches)) {
		switch {
		case !ok || !part.holds(p.Top(), p.Below()):
			b.fault(p, "a branch in the shard that is named for it, not in "+shard)
		case isInner:
			b.addInner(p, branches[p])
		default:
			b.addObject(p, branches[p])
		}
	}
}

// Finish returns the snapshot, nil with problems. The build must not be used
// any more.
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

func (b *Build) problem(p Path, d Setting, value string) {
	if d.Secret && value != "" {
		value = secretShown
	}
	b.problems = append(b.problems, Problem{Branch: p, Setting: d.Name, Value: value, Expected: d.Expected})
}

// fault reports a problem of the branch itself.
func (b *Build) fault(p Path, expected string) {
	b.problems = append(b.problems, Problem{Branch: p, Expected: expected})
}

func (b *Build) addInner(p Path, settings Settings) {
	if b.isNamed(p) {
		b.snapshot.inner[p] = settings
	}
}

func (b *Build) addObject(p Path, settings Settings) {
	if !b.isNamed(p) {
		return
	}
	if p.Below() == "" {
		b.fault(p, "an object, as its shard holds no other branches")
		return
	}
	markInner(b.above, p)
	switch p.Top() {
	case TopAccounts:
		b.addAccount(p, b.accounts.object(p, settings))
	case TopRoutes:
		b.addRoute(p, b.routes.object(p, settings))
	case TopServices:
		b.addService(p, b.services.object(p, settings))
	}
}

// isNamed reports whether the path is one that a branch may have.
func (b *Build) isNamed(p Path) bool {
	_, ok := KindOf(p)
	if ok && (p == "" || isPath(string(p))) {
		return true
	}
	b.fault(p, `a path below "accounts", "routes" or "services" of elements of letters, digits, "-", "_" and "."`)
	return false
}

func (b *Build) addAccount(p Path, a *Account) {
	a.ID = model.AccountID(p.Below())
	for _, k := range a.Keys {
		if other, ok := b.snapshot.Keys[k]; ok {
			b.duplicate(p, "keys", secretShown, TopAccounts, string(other))
		}
	}
	b.snapshot.AddAccount(a)
}

func (b *Build) addRoute(p Path, draft *routeDraft) {
	r := draft.Route
	r.ID = model.RouteID(p.Below())
	if !draft.idempotentSet {
		r.Idempotent = r.Class != model.Mutation
	}
	if !draft.keySet {
		r.NeedsIdempotencyKey = !r.Idempotent
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		b.unknown(p, "service", string(r.Service))
	}
	if r.Path == "" {
		return // reported already
	}
	if other, ok := b.snapshot.index.other(&r); ok {
		b.duplicate(p, "path", r.Path, TopRoutes, string(other.ID))
	}
	b.snapshot.AddRoute(&r)
}

func (b *Build) addService(p Path, s *Service) {
	s.ID = model.ServiceID(p.Below())
	for _, server := range s.Servers {
		if other, ok := b.servers()[server]; ok {
			b.duplicate(p, "servers", string(server), TopServices, string(other))
		}
		b.serverOf[server] = s.ID
	}
	b.snapshot.AddService(s)
}

// servers returns the service of each server.
func (b *Build) servers() map[model.ServerID]model.ServiceID {
	if b.serverOf != nil {
		return b.serverOf
	}
	b.serverOf = make(map[model.ServerID]model.ServiceID)
	for id, s := range b.snapshot.Services {
		for _, server := range s.Servers {
			b.serverOf[server] = id
		}
	}
	return b.serverOf
}

func (b *Build) duplicate(p Path, setting, value, top, other string) {
	expected := fmt.Sprintf("a value that %s/%s does not have", top, other)
	b.problems = append(b.problems, Problem{Branch: p, Setting: setting, Value: value, Expected: expected})
}

func (b *Build) finishRoot() {
	root := newBuilder(b, rootDefinitions)
	settings := b.snapshot.inner[""]
	root.applyDefaults(b.snapshot)
	root.apply("", settings, b.snapshot)
	root.requireAll("", settings)
}

// finishInner parses the inner branches that no object needed.
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
