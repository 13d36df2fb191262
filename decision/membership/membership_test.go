package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

func at(ms int) model.Instant { return model.Instant(ms) * model.Instant(time.Millisecond) }

func entries(n int) []model.HostEntry {
	var list []model.HostEntry
	for i := range n {
		list = append(list, model.HostEntry{ID: fmt.Sprintf("h%d", i), Role: model.RoleEntry, Domain: "d0"})
	}
	return list
}

func ref(i int) model.HostRef {
	return model.HostRef{ID: model.HostID(fmt.Sprintf("h%d", i)), Incarnation: 1}
}

// receivedAnswer is an answer to a heartbeat, with the times at which the
// heartbeat was sent and the answer handled.
type receivedAnswer struct {
	probedAt, handledAt int // ms; probedAt -1: the answer to no heartbeat
	answer              message.Heartbeat
}

// TestAuthority guards against serving without recent evidence of the store or
// of most hosts. This host is h0, and its authority is evaluated at 10 s.
func TestAuthority(t *testing.T) {
	from := func(store time.Duration, hosts ...int) message.Heartbeat {
		m := message.Heartbeat{StoreAge: store}
		for _, i := range hosts {
			m.Hosts = append(m.Hosts, message.HostAge{Host: ref(i), Age: time.Second})
		}
		return m
	}
	young := from(-1)
	young.Young = true
	tests := []struct {
		name   string
		listed int // 0: no list yet
		heard  []receivedAnswer
		want   Standing
	}{
		{"no list", 0, nil, Standing{}},
		{"alone", 1, nil, Standing{StoreOutage, at(14_000)}},
		{"one of three lost", 3, []receivedAnswer{{9000, 9010, from(-1)}}, Standing{StoreOutage, at(13_000)}},
		{"two of three lost", 3, nil, Standing{}},
		{"half of four", 4, []receivedAnswer{{9000, 9010, from(-1)}}, Standing{}},
		{"relayed", 5, []receivedAnswer{{9000, 9010, from(-1, 2)}}, Standing{StoreOutage, at(12_000)}},
		{"store heard of", 5, []receivedAnswer{{9000, 9010, from(2 * time.Second)}}, Standing{Connected, at(11_000)}},
		{"store too long ago", 5, []receivedAnswer{{9000, 9010, from(3 * time.Second)}}, Standing{}},
		{"answer that waited in a pause", 3, []receivedAnswer{{5000, 9999, from(0)}}, Standing{}},
		{"peer that started just now", 3, []receivedAnswer{{9000, 9010, young}}, Standing{}},
		{"no answer to an ask", 3, []receivedAnswer{{-1, 9010, from(0)}}, Standing{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := New(ref(0), "d0", 0)
			if test.listed > 0 {
				s.SetHosts(0, entries(test.listed))
			}
			for _, h := range test.heard {
				if h.probedAt >= 0 {
					_, m, ok := s.ProbeNextPeer(at(h.probedAt), rand.New(rand.NewPCG(1, 1)))
					c.Assert(ok, qt.IsTrue)
					h.answer.Echo = m.Sequence
				}
				s.HandleHeartbeat(at(h.handledAt), ref(1), h.answer)
			}
			c.Assert(s.Authority(at(10_000)), qt.Equals, test.want)
		})
	}
}

// TestAnswerIsBounded guards against heartbeats that grow with the fleet.
func TestAnswerIsBounded(t *testing.T) {
	c := qt.New(t)
	s := New(ref(0), "d0", 0)
	s.SetHosts(0, entries(200))
	for i := 1; i < 200; i++ {
		s.recordAlive(ref(i), at(i), false)
	}
	answer := s.Answer(at(1000), message.Heartbeat{Sequence: 5})
	c.Assert(answer.Hosts, qt.HasLen, message.MaxHostAges)
	c.Assert(answer.Hosts[0], qt.Equals, message.HostAge{Host: ref(199), Age: 801 * time.Millisecond})
	c.Assert(answer.Echo, qt.Equals, uint64(5))
	c.Assert(answer.Young, qt.IsTrue)
}

// TestEachPeerIsProbedInTime guards against a peer that a host does not probe for
// so long that its evidence of the peer becomes too old. Each peer has to be
// probed in each round, also while hosts are added and removed.
func TestEachPeerIsProbedInTime(t *testing.T) {
	for seed := range uint64(20) {
		c := qt.New(t)
		rnd := rand.New(rand.NewPCG(seed, 1))
		s := New(ref(0), "d0", 0)
		lastProbe := make(map[model.HostID]int)
		listedFrom := 0
		for i := range 1000 {
			if i%50 == 0 {
				s.SetHosts(at(i), entries(4+rnd.IntN(3)))
				clear(lastProbe)
				listedFrom = i
			}
			peer, _, ok := s.ProbeNextPeer(at(i), rnd)
			c.Assert(ok, qt.IsTrue)
			c.Assert(peer, qt.Not(qt.Equals), ref(0).ID)
			lastProbe[peer] = i
			for _, id := range s.Peers() {
				last, wasProbed := lastProbe[id]
				if !wasProbed {
					last = listedFrom - 1
				}
				c.Assert(i-last < 2*len(s.Peers())+2, qt.IsTrue, qt.Commentf("seed %d: %s not probed for %d probes", seed, id, i-last))
			}
		}
	}
}
