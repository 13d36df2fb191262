package admission

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestSharesSumToLimit guards against rate or burst that is lost or counted
// twice in the split over failure domains.
func TestSharesSumToLimit(t *testing.T) {
	c := qt.New(t)
	for domains := 1; domains <= 6; domains++ {
		for burst := 0; burst <= 50; burst++ {
			account := model.AccountID(fmt.Sprintf("a%d", burst))
			rate, sum, used := 0.0, 0, 0
			for d := range domains {
				share := Share(account, Limit{Rate: 10, Burst: burst}, d, domains)
				rate += share.Rate
				sum += share.Burst
				if share.Burst > 0 {
					used++
				}
				c.Assert(share.Burst == 0, qt.Equals, share.Rate == 0)
				c.Assert(share.Burst > 0 && share.Burst < min(burst, minShare), qt.IsFalse)
			}
			c.Assert(sum, qt.Equals, burst)
			if burst == 0 {
				continue
			}
			c.Assert(rate > 9.999 && rate < 10.001, qt.IsTrue)
			c.Assert(used, qt.Equals, min(domains, max(1, burst/minShare)))
		}
	}
}
