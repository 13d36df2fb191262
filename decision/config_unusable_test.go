package decision_test

import (
	"crypto/sha256"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// TestUnusableRouteLeavesTheRestInForce guards against a version that stays out of
// force everywhere because of one value that no host can use: a key that it takes
// away goes on working, and its new routes get 404. Requests to the unusable route
// are refused and do not get to the route with a shorter path.
func TestUnusableRouteLeavesTheRestInForce(t *testing.T) {
	s := newTreeFleet(t, 3, 4, fleettest.LinkQuality{})
	s.set("", "invalid_objects", "isolate")
	s.c.Assert(s.converges(20*time.Second), qt.IsTrue)
	s.fleet.Run(10 * time.Second)

	tree := s.tree.Clone()
	tree.Set(account(0), "keys", "")
	tree.Set("routes/nests", "path", "/nests")
	tree.Set("routes/nests", "service", "lookup")
	tree.Set("routes/broken", "path", "/rings/old/")
	tree.Set("routes/broken", "service", "lookup")
	tree.Set("routes/broken", "timeout", "soon")
	s.edit(tree)
	s.c.Assert(s.converges(maxPropagation), qt.IsTrue)
	s.c.Assert(s.unready(), qt.Equals, 0)
	s.c.Check(s.reasonFor(account(0), "/rings"), qt.Equals, model.ReasonKeyUnknown)
	s.c.Check(s.reasonFor(account(1), "/nests"), qt.Not(qt.Equals), model.ReasonNoRoute)
	s.c.Check(s.reasonFor(account(1), "/rings/old/1"), qt.Equals, model.ReasonUnusable)

	// The mended version replaces it, although it cannot be compiled incrementally.
	tree = tree.Clone()
	tree.Set("routes/broken", "timeout", "1s")
	s.edit(tree)
	s.c.Assert(s.converges(maxPropagation), qt.IsTrue)
	s.c.Check(s.reasonFor(account(1), "/rings/old/1"), qt.Not(qt.Equals), model.ReasonUnusable)
}

// reasonFor returns why a request with the key of an account was refused.
func (s *treeStore) reasonFor(account configuration.Path, path string) model.Reason {
	before := len(s.fleet.Outcomes)
	key := sha256.Sum256([]byte(account))
	s.fleet.Request("h1", event.RequestArrived{HasKey: true, Key: key, Method: "GET", Path: path})
	s.fleet.Run(5 * time.Second)
	s.c.Assert(len(s.fleet.Outcomes) > before, qt.IsTrue)
	return s.fleet.Outcomes[before].Reason
}
