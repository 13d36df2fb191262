package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"pollensail.dev/decision/model"
)

// Compile returns the snapshot of a tree. Equal trees give equal snapshots.
// With problems the snapshot is nil.
func Compile(tree Tree, version uint64) (*Snapshot, Problems) {
	c := newCompiler(tree, NewSnapshot(version, nil, 0))
	c.compileRoot()
	for _, p := range slices.Sorted(maps.Keys(tree.Branches)) {
		c.compileBranch(p)
	}
	c.checkReferences()
	if len(c.problems) > 0 {
		c.problems.sort()
		return nil, c.problems
	}
	return c.snapshot, nil
}

// Validate returns every problem of a tree, sorted by branch.
func Validate(tree Tree) Problems {
	_, problems := Compile(tree, 0)
	return problems
}

// compiler turns branches into the objects of a snapshot. Values of inner
// branches are parsed once, into the templates from which objects are copied.
type compiler struct {
	tree     Tree
	inner    map[Path]bool
	snapshot *Snapshot
	problems Problems
	accounts builder[Account]
	routes   builder[routeDraft]
	services builder[Service]
	routeOf  map[string]model.RouteID // by path without the last slash
	serverOf map[model.ServerID]model.ServiceID
}

func newCompiler(tree Tree, snapshot *Snapshot) *compiler {
	c := &compiler{
		tree:     tree,
		inner:    innerBranches(tree),
		snapshot: snapshot,
		routeOf:  make(map[string]model.RouteID),
		serverOf: make(map[model.ServerID]model.ServiceID),
	}
	c.accounts = newBuilder(c, accountDefinitions)
	c.routes = newBuilder(c, routeDefinitions)
	c.services = newBuilder(c, serviceDefinitions)
	return c
}

// innerBranches returns the paths that have branches below them.
func innerBranches(tree Tree) map[Path]bool {
	inner := map[Path]bool{"": true}
	for p := range tree.Branches {
		for q := p.Parent(); !inner[q]; q = q.Parent() {
			inner[q] = true
		}
	}
	return inner
}

func (c *compiler) problem(p Path, d Setting, value string) {
	if d.Secret && value != "" {
		value = secretShown
	}
	c.problems = append(c.problems, Problem{Branch: p, Setting: d.Name, Value: value, Expected: d.Expected})
}

func (c *compiler) compileRoot() {
	root := newBuilder(c, rootDefinitions)
	root.applyDefaults(c.snapshot)
	root.applyOwn("", c.snapshot)
	root.require("", "domains", len(c.snapshot.Domains) > 0)
}

func (c *compiler) compileBranch(p Path) {
	kind, ok := KindOf(p)
	if !ok || p != "" && !isPath(string(p)) {
		c.problems = append(c.problems, Problem{Branch: p, Expected: branchExpected})
		return
	}
	isObject := !c.inner[p] && p.Below() != ""
	switch kind {
	case KindAccount:
		compileObject(&c.accounts, p, isObject, c.addAccount)
	case KindRoute:
		compileObject(&c.routes, p, isObject, c.addRoute)
	case KindService:
		compileObject(&c.services, p, isObject, c.addService)
	}
}

const branchExpected = `a path below "accounts", "routes" or "services" of elements of letters, digits, "-", "_" and "."`

func compileObject[T any](b *builder[T], p Path, isObject bool, add func(Path, *T)) {
	if !isObject {
		b.template(p)
		return
	}
	object := b.template(p.Parent())
	b.applyOwn(p, &object)
	add(p, &object)
}

func (c *compiler) addAccount(p Path, a *Account) {
	a.ID = model.AccountID(p.Below())
	c.accounts.require(p, "rate", a.Rate > 0)
	c.accounts.require(p, "burst", a.Burst > 0)
	for _, k := range a.Keys {
		if other, ok := c.snapshot.Keys[k]; ok {
			c.duplicate(p, "keys", secretShown, TopAccounts, string(other))
		}
	}
	c.snapshot.AddAccount(a)
}

func (c *compiler) addRoute(p Path, draft *routeDraft) {
	r := draft.Route
	r.ID = model.RouteID(p.Below())
	if !draft.idempotentSet {
		r.Idempotent = r.Class != model.Mutation
	}
	c.routes.require(p, "path", r.Path != "")
	c.routes.require(p, "service", r.Service != "")
	if other, ok := c.routeOf[trimSlash(r.Path)]; ok && r.Path != "" {
		c.duplicate(p, "path", r.Path, TopRoutes, string(other))
	}
	c.routeOf[trimSlash(r.Path)] = r.ID
	c.snapshot.AddRoute(&r)
}

func (c *compiler) addService(p Path, s *Service) {
	s.ID = model.ServiceID(p.Below())
	for _, server := range s.Servers {
		if other, ok := c.serverOf[server]; ok {
			c.duplicate(p, "servers", string(server), TopServices, string(other))
		}
		c.serverOf[server] = s.ID
	}
	c.snapshot.AddService(s)
}

func (c *compiler) duplicate(p Path, setting, value, top, other string) {
	expected := fmt.Sprintf("a value that %s/%s does not have", top, other)
	c.problems = append(c.problems, Problem{Branch: p, Setting: setting, Value: value, Expected: expected})
}

// checkReferences checks the names of services in routes and of routes in
// accounts.
func (c *compiler) checkReferences() {
	for id, r := range c.snapshot.Routes {
		if _, ok := c.snapshot.Services[r.Service]; !ok && r.Service != "" {
			c.unknown(Path(TopRoutes+"/"+string(id)), "service", string(r.Service))
		}
	}
	for id, a := range c.snapshot.Accounts {
		c.checkAccountRoutes(Path(TopAccounts+"/"+string(id)), a)
	}
}

func (c *compiler) checkAccountRoutes(p Path, a *Account) {
	for _, name := range a.Routes {
		branch := Path(TopRoutes + "/" + name)
		_, isRoute := c.snapshot.Routes[model.RouteID(name)]
		if !isRoute && !c.inner[branch] {
			c.unknown(p, "routes", name)
		}
	}
}

func (c *compiler) unknown(p Path, setting, value string) {
	d, _ := Lookup(p, setting)
	c.problem(p, d, value)
}

// builder puts together the objects of one kind.
type builder[T any] struct {
	compiler    *compiler
	definitions []definition[T]
	templates   map[Path]T
}

func newBuilder[T any](c *compiler, definitions []definition[T]) builder[T] {
	return builder[T]{compiler: c, definitions: definitions, templates: make(map[Path]T)}
}

// template returns the object as branches down to p define it.
func (b *builder[T]) template(p Path) T {
	if t, ok := b.templates[p]; ok {
		return t
	}
	var t T
	if p == Path(p.Top()) {
		b.applyDefaults(&t)
	} else {
		t = b.template(p.Parent())
	}
	b.applyInner(p, &t)
	b.templates[p] = t
	return t
}

func (b *builder[T]) applyDefaults(target *T) {
	for _, d := range b.definitions {
		if d.Default != "" {
			d.set(target, d.Default)
		}
	}
}

func (b *builder[T]) applyInner(p Path, target *T) {
	for name := range b.compiler.tree.Branches[p] {
		d, ok := find(b.definitions, name)
		if ok && d.OwnOnly {
			d.Expected = "this setting only on a branch without branches below it"
			b.compiler.problem(p, d.Setting, b.compiler.tree.Branches[p][name])
			continue
		}
		b.apply(p, name, target)
	}
}

func (b *builder[T]) applyOwn(p Path, target *T) {
	for name := range b.compiler.tree.Branches[p] {
		b.apply(p, name, target)
	}
}

func (b *builder[T]) apply(p Path, name string, target *T) {
	value := b.compiler.tree.Branches[p][name]
	d, ok := find(b.definitions, name)
	if !ok {
		d.Name = name
		d.Expected = "one of the settings " + b.names()
		d.Secret = true // an unknown name may be a misspelt "keys"
		b.compiler.problem(p, d.Setting, value)
		return
	}
	if !d.set(target, value) {
		b.compiler.problem(p, d.Setting, value)
	}
}

func (b *builder[T]) names() string {
	names := make([]string, len(b.definitions))
	for i, d := range b.definitions {
		names[i] = d.Name
	}
	return strings.Join(names, ", ")
}

// require reports a missing required setting. A setting with an invalid value
// is reported already.
func (b *builder[T]) require(p Path, name string, isSet bool) {
	if isSet || b.isAnywhere(p, name) {
		return
	}
	d, _ := find(b.definitions, name)
	b.compiler.problem(p, d.Setting, "")
}

// isAnywhere reports whether p or a branch above it sets name.
func (b *builder[T]) isAnywhere(p Path, name string) bool {
	for {
		if _, ok := b.compiler.tree.Branches[p][name]; ok {
			return true
		}
		if p == "" {
			return false
		}
		p = p.Parent()
	}
}
