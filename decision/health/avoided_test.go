package health

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// avoidedBy reports to c that three requests of a host failed at each of the
// servers and that the host avoids them.
func avoidedBy(c *Coordinator, now model.Instant, host, domain int, ids ...model.ServerID) {
	e := message.Evidence{
		Sequence: uint64(now), Domain: model.DomainID(fmt.Sprint(domain)),
		PoolOK: 12, PoolFailed: 3 * len(ids), Period: 250 * time.Millisecond,
	}
	for _, id := range ids {
		e.Servers = append(e.Servers, message.ServerEvidence{Server: id, Failed: 3, AvoidFor: 5 * time.Second})
	}
	c.AddReport(now, model.HostRef{ID: model.HostID(fmt.Sprint(host)), Incarnation: 1}, e)
}

// TestAvoidedServerIsEjected guards against a server that fails all of its
// requests and stays in use: the hosts avoid it before it shows many failures,
// and another failing server raises the failure ratio of the rest of the pool.
func TestAvoidedServerIsEjected(t *testing.T) {
	ids := servers(4)
	now := instant(time.Second)
	tests := []struct {
		name    string
		domains []int // of the avoiding hosts
		avoided []model.ServerID
		ejected []model.ServerID
	}{
		{"by most hosts", []int{0, 1, 2}, ids[:1], ids[:1]},
		{"by half of the hosts", []int{0, 1}, ids[:1], nil},
		{"by hosts of one domain", []int{0, 0, 0}, ids[:1], nil},
		{"with half of the pool", []int{0, 1, 2}, ids[:2], nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := NewCoordinator(0, 1, 0, message.EjectionSet{})
			for host := range 4 {
				partlyFailing := message.Evidence{
					Sequence: 1, Domain: model.DomainID(fmt.Sprint(host)),
					PoolOK: 45, PoolFailed: 5, Period: 250 * time.Millisecond,
					Servers: []message.ServerEvidence{{Server: ids[3], OK: 8, Failed: 5}},
				}
				c.AddReport(0, model.HostRef{ID: model.HostID(fmt.Sprint(host)), Incarnation: 1}, partlyFailing)
			}
			for host, domain := range test.domains {
				avoidedBy(c, now, host, domain, test.avoided...)
			}
			pool := poolOf(ids, 0.75)
			d := c.Decide(now, pool)
			if len(test.ejected) == 0 {
				for _, id := range test.avoided {
					qt.Check(t, d.Ejected, qt.Not(qt.Contains), id)
				}
				return
			}
			qt.Check(t, d.Ejected, qt.DeepEquals, test.ejected)
		})
	}
}
