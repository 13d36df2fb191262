package configuration

import (
	"strings"

	"pollensail.dev/decision/model"
)

// mayIsolate reports whether the version may be in force without the objects that
// are unusable. A problem of the root or of an inner branch concerns all objects
// below it, and a corrupt shard may hide others.
func (c *Compiler) mayIsolate() bool {
	if !c.snapshot.IsolatesInvalid || c.isCorrupt {
		return false
	}
	for p := range c.unusable {
		_, isInner := c.snapshot.inner[p]
		if p.Below() == "" || isInner || c.innerPaths[p] {
			return false
		}
	}
	return true
}

func (c *Compiler) markUnusable(paths ...Path) {
	for _, p := range paths {
		c.unusable[p] = true
	}
}

// isolate marks the unusable objects. It replaces them by copies, because an
// incremental compiler shares objects with the snapshot before. An unusable
// service is removed, so that requests to it are refused.
func (c *Compiler) isolate() {
	c.snapshot.HasProblems = true
	for p := range c.unusable {
		switch p.Top() {
		case TopAccounts:
			c.snapshot.disableAccount(model.AccountID(p.Below()))
		case TopRoutes:
			c.snapshot.disableRoute(model.RouteID(p.Below()))
		case TopServices:
			delete(c.snapshot.Services, model.ServiceID(p.Below()))
		}
	}
}

func (s *Snapshot) disableAccount(id model.AccountID) {
	if a, ok := s.Accounts[id]; ok {
		disabled := *a
		disabled.Unusable = true
		s.Accounts[id] = &disabled
	}
}

func (s *Snapshot) disableRoute(id model.RouteID) {
	if r, ok := s.Routes[id]; ok {
		disabled := *r
		disabled.Unusable = true
		s.Routes[id] = &disabled
		s.index.add(&disabled)
	}
}

// maxDescribedProblems bounds the problems that Describe lists.
const maxDescribedProblems = 5

// Describe returns the first problems as one line.
func (p Problems) Describe() string {
	shown := p[:min(len(p), maxDescribedProblems)].Error()
	return strings.ReplaceAll(shown, "\n", "; ")
}
