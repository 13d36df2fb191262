package decision

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// TestNextListProviderIsAskedAtOnce guards against a host that waits for its next retry
// although the host that it asked has answered that it does not follow the list.
func TestNextListProviderIsAskedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	now := model.Instant(time.Hour)
	asked := func(body event.Body) []model.HostID {
		now = now.Add(10 * time.Millisecond)
		var to []model.HostID
		for _, e := range Reduce(s, event.Event{At: now, Body: body}) {
			if send, ok := e.(effect.Send); ok {
				if _, ok := send.Message.(message.ListAsk); ok {
					to = append(to, send.To)
				}
			}
		}
		return to
	}
	receive := func(from model.HostID, m message.Message) []model.HostID {
		return asked(event.MessageReceived{From: model.HostRef{ID: from, Incarnation: 1}, Message: m})
	}
	asked(event.Started{Self: model.HostRef{ID: "h0", Incarnation: 1}, Domain: "d0", Seed: 1})
	for _, role := range []model.Role{model.RoleEntry, model.RoleBackend} {
		asked(event.HostListSynced{Changes: model.ListChanges{Role: role, IsWhole: true, Revision: 1}})
	}
	domains := []model.DomainID{"d0", "d1", "d2"}
	owners := []model.HostID{"h1", "h2", "h3"}
	s.activate(configuration.Root{Version: 1}, "", &configuration.Snapshot{Version: 1, Domains: domains, SlotsPerDomain: 1, ListAge: time.Second})
	s.applyLimitsConfig()
	for i, owner := range owners {
		ref := model.HostRef{ID: owner, Incarnation: 1}
		receive(owner, message.Heartbeat{Slots: []message.SlotOwned{{Slot: model.SlotID{Domain: domains[i]}, Owner: ref, Term: 1}}})
	}
	now = now.Add(time.Second)
	c.Assert(asked(event.TimerFired{}), qt.DeepEquals, owners[:1])
	notFollowed := func() message.ListAnswer { return message.ListAnswer{Sequence: s.directory.request.sequence} }
	c.Check(receive("h1", notFollowed()), qt.DeepEquals, owners[1:2])
	c.Check(receive("h2", notFollowed()), qt.DeepEquals, owners[2:])
	c.Check(receive("h3", notFollowed()), qt.HasLen, 0)
}
