package placement

import (
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestReportedChoiceIsUnchanged guards against a change of the choices of services
// without balance = "estimated". The hash was that of the code before the setting was
// added, until the floor was changed (likelySoundLogOdds), which changes the choices of
// both.
func TestReportedChoiceIsUnchanged(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 7))
	p := warmPool(Limits{Hosts: 9, Floor: 0.7, Slots: 6, Connections: 5}, 20)
	now := model.Instant(0)
	sum := fnv.New64a()
	for i := range 20000 {
		now = now.Add(20 * time.Millisecond)
		id, ok := p.Acquire(now, rnd, PickInfo{IsRepeatable: i%3 == 0, IsLarge: i%5 == 0})
		if !ok {
			continue
		}
		sum.Write([]byte(id))
		p.RecordLoad(now, id, rnd.IntN(9), 6)
		p.RecordAnswer(model.Interactive, time.Duration(rnd.IntN(1000))*time.Millisecond)
		switch {
		case i%50 == 0:
			p.Observe(now, id, model.SignalBroken, true)
		case i%31 == 0:
			p.RecordShed(now, id)
		default:
			p.Observe(now, id, model.SignalSuccess, false)
		}
		if i%7 != 0 || i > 600 {
			p.Release(id, 300*time.Millisecond)
		}
		p.CountRequestEnd(now, i%50 == 0)
	}
	qt.Check(t, sum.Sum64(), qt.Equals, uint64(17233887953165094857))
}
