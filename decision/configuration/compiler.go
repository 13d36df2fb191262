package configuration

import (
	"fmt"
	"maps"
	"slices"

	"pollensail.dev/decision/model"
)

// Compiler compiles a tree one shard at a time, so that the settings of a shard
// need not stay in memory. Create it with NewCompiler or
// NewIncrementalCompiler. The shards of the root and of inner branches
// (IsInnerShard) must be added before the others.
type Compiler struct {
	snapshot *Snapshot
	isWhole  bool // compiles the whole tree; false for an incremental compiler
	problems Problems
	// unusable are the paths of the objects that problems make unusable. Some
	// problems of references do not.
	unusable   map[Path]bool
	isCorrupt  bool          // a shard does not hold what its name says, or a branch has an invalid path
	innerPaths map[Path]bool // branches above the objects added so far
	accounts   objectBuilder[Account]
	routes     objectBuilder[routeDraft]
	services   objectBuilder[Service]
	serviceOf  map[model.ServerID]model.ServiceID // nil until it is first needed
}

// NewCompiler returns a compiler for a whole tree.
func NewCompiler(version uint64) *Compiler {
	snapshot := NewSnapshot(version, nil, 0)
	snapshot.inner = make(map[Path]Settings)
	return newCompiler(snapshot, true)
}

func newCompiler(snapshot *Snapshot, isWhole bool) *Compiler {
	c := &Compiler{snapshot: snapshot, isWhole: isWhole, innerPaths: map[Path]bool{"": true}, unusable: make(map[Path]bool)}
	c.accounts = newObjectBuilder(c, accountDefinitions)
	c.routes = newObjectBuilder(c, routeDefinitions)
	c.services = newObjectBuilder(c, serviceDefinitions)
	return c
}

// Add adds the branches of a shard.
func (c *Compiler) Add(shard string, branches map[Path]Settings) {
	isInner := IsInnerShard(shard)
	part, ok := parseShardName(shard)
	for _, p := range slices.Sorted(maps.Keys(branches)) {
		switch {
		case !ok || !part.contains(p.Top(), p.Below()):
			c.isCorrupt = true
			c.reportBranch(p, "a branch in the shard that its path belongs to, not in "+shard)
		case isInner:
			c.addInner(p, branches[p])
		default:
			c.addObject(p, branches[p])
		}
	}
}

// Finish returns the snapshot and the problems of the tree. The snapshot is nil if
// the version must not be used because of them. The compiler must not be used
// afterwards.
func (c *Compiler) Finish() (*Snapshot, Problems) {
	if c.isWhole {
		c.finishRoot()
		c.finishInner()
	}
	c.checkObjects()
	c.checkReferences()
	c.checkAllowedRegions()
	c.problems.sort()
	switch {
	case len(c.problems) == 0:
		return c.snapshot, nil
	case !c.mayIsolate():
		return nil, c.problems
	default:
		c.isolate()
		return c.snapshot, c.problems
	}
}

// reportSetting records an invalid value of a setting.
func (c *Compiler) reportSetting(p Path, d Setting, value string) {
	if d.Secret && value != "" {
		value = secretPlaceholder
	}
	c.unusable[p] = true
	c.problems = append(c.problems, Problem{Branch: p, Setting: d.Name, Value: value, Expected: d.Expected})
}

// reportBranch records a problem of the branch itself.
func (c *Compiler) reportBranch(p Path, expected string) {
	c.unusable[p] = true
	c.problems = append(c.problems, Problem{Branch: p, Expected: expected})
}

func (c *Compiler) addInner(p Path, settings Settings) {
	if c.checkPath(p) {
		c.snapshot.inner[p] = settings
	}
}

func (c *Compiler) addObject(p Path, settings Settings) {
	if !c.checkPath(p) {
		return
	}
	if p.Below() == "" {
		c.reportBranch(p, "an object, because its shard holds only objects")
		return
	}
	addAncestors(c.innerPaths, p)
	switch p.Top() {
	case TopAccounts:
		c.addAccount(p, c.accounts.object(p, settings))
	case TopRoutes:
		c.addRoute(p, c.routes.object(p, settings))
	case TopServices:
		c.addService(p, c.services.object(p, settings))
	}
}

// checkPath reports whether a branch may have the path, and records a problem
// if not.
func (c *Compiler) checkPath(p Path) bool {
	_, ok := KindOf(p)
	if ok && (p == "" || isPath(string(p))) {
		return true
	}
	c.isCorrupt = true
	c.reportBranch(p, `a path below "accounts", "routes" or "services" of elements of letters, digits, "-", "_" and "."`)
	return false
}

func (c *Compiler) addAccount(p Path, a *Account) {
	a.ID = model.AccountID(p.Below())
	for _, k := range a.Keys {
		if other, ok := c.snapshot.Keys[k]; ok {
			c.reportDuplicate(p, "keys", secretPlaceholder, TopAccounts, string(other))
		}
	}
	c.snapshot.AddAccount(a)
}

func (c *Compiler) addRoute(p Path, draft *routeDraft) {
	r := draft.Route
	r.ID = model.RouteID(p.Below())
	if !draft.hasIdempotent {
		r.Idempotent = r.Class.IsIdempotent()
	}
	if !draft.hasIdempotencyKey {
		r.NeedsIdempotencyKey = !r.Idempotent
	}
	if (r.Service == "") == (len(r.Split) == 0) {
		c.reportInvalid(p, "service", string(r.Service))
	}
	if r.Path == "" {
		return // already recorded as a problem
	}
	if other, ok := c.snapshot.index.conflicting(&r); ok {
		c.reportDuplicate(p, "path", r.Path, TopRoutes, string(other.ID))
		c.markUnusable(p, Path(TopRoutes+"/"+string(other.ID)))
	}
	c.snapshot.AddRoute(&r)
}

func (c *Compiler) addService(p Path, s *Service) {
	s.ID = model.ServiceID(p.Below())
	for _, server := range s.Servers {
		if other, ok := c.servicesByServer()[server]; ok {
			c.reportDuplicate(p, "servers", string(server), TopServices, string(other))
			c.markUnusable(p, Path(TopServices+"/"+string(other)))
		}
		c.serviceOf[server] = s.ID
	}
	c.snapshot.AddService(s)
}

// servicesByServer returns the service of each configured server.
func (c *Compiler) servicesByServer() map[model.ServerID]model.ServiceID {
	if c.serviceOf != nil {
		return c.serviceOf
	}
	c.serviceOf = make(map[model.ServerID]model.ServiceID)
	for id, s := range c.snapshot.Services {
		for _, server := range s.Servers {
			c.serviceOf[server] = id
		}
	}
	return c.serviceOf
}

// reportDuplicate records a value that another object has too. It leaves both
// usable.
func (c *Compiler) reportDuplicate(p Path, setting, value, top, other string) {
	expected := fmt.Sprintf("a value that %s/%s does not have", top, other)
	c.problems = append(c.problems, Problem{Branch: p, Setting: setting, Value: value, Expected: expected})
}

func (c *Compiler) finishRoot() {
	root := newObjectBuilder(c, rootDefinitions)
	settings := c.snapshot.inner[""]
	root.applyDefaults(c.snapshot)
	root.applySettings("", settings, c.snapshot)
	root.checkRequired("", settings)
	c.checkDomainsOfRegions()
}

// finishInner validates the inner branches that no object inherits from.
func (c *Compiler) finishInner() {
	for p := range c.snapshot.inner {
		switch p.Top() {
		case TopAccounts:
			c.accounts.template(p)
		case TopRoutes:
			c.routes.template(p)
		case TopServices:
			c.services.template(p)
		}
	}
}
