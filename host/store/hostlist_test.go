package store

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/model"
)

// TestListPeriod guards against a total rate of host list reads that grows with
// the fleet.
func TestListPeriod(t *testing.T) {
	for _, test := range []struct {
		hosts, servers int
		want           time.Duration
	}{
		{0, 0, time.Second},
		{40, 38, time.Second},
		{650, 7700, 13 * time.Second},
	} {
		list := make([]model.HostEntry, 0, test.hosts+test.servers)
		for range test.hosts {
			list = append(list, model.HostEntry{Role: model.RoleEntry})
		}
		for range test.servers {
			list = append(list, model.HostEntry{Role: model.RoleBackend})
		}
		qt.Check(t, listPeriod(list), qt.Equals, test.want)
	}
}
