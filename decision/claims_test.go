package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision"
	"pollensail.dev/decision/model"
)

// TestIncompleteRecordsAreHandedOver guards against a key that is granted a
// second time: an owner lacks the records that its predecessor lost, and the
// next owner takes the records handed over to it for complete.
func TestIncompleteRecordsAreHandedOver(t *testing.T) {
	c := qt.New(t)
	f := settledFleet(7, 6)
	first := ownerOf(f, firstSlot)
	c.Assert(decision.ClaimsSince(first.State, firstSlot), qt.Equals, model.WallTime(0))
	first.Kill()
	f.Run(20 * time.Second)
	second := ownerOf(f, firstSlot)
	since := decision.ClaimsSince(second.State, firstSlot)
	c.Assert(since > 0, qt.IsTrue)
	second.Stop()
	f.Run(10 * time.Second)
	third := ownerOf(f, firstSlot)
	c.Assert(third != second, qt.IsTrue)
	c.Assert(decision.ClaimsSince(third.State, firstSlot), qt.Equals, since)
}
