package decision

import (
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/effect"
)

// TestStoreIsAskedAgain guards against a host that never returns to the store, because
// its first read of a version failed and peers that have it do not answer.
func TestStoreIsAskedAgain(t *testing.T) {
	for _, isLarge := range []bool{true, false} {
		s := NewState()
		target := &s.config.target
		target.from, target.storeFailed = "h1", true
		s.config.update.holders = []versionHolder{{"h2", 1}, {"h3", 1}}
		target.large.isLarge = isLarge
		s.rand = rand.New(rand.NewPCG(1, 2))
		reads, asks := 0, 0
		for failed := range 2 * requestsPerStoreRetry {
			target.failedRequests = failed + 1
			s.effects = nil
			s.repeatShardRequest([]string{"hash"})
			for _, e := range s.effects {
				switch e.(type) {
				case effect.ReadShards:
					reads++
				case effect.Send:
					asks++
				}
			}
		}
		qt.Check(t, reads, qt.Equals, 2)
		if isLarge {
			qt.Check(t, asks, qt.Equals, 2*(requestsPerStoreRetry-1))
		} else {
			qt.Check(t, asks >= 2*requestsPerStoreRetry, qt.IsTrue)
		}
	}
}
