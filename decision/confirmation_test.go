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

// strictBound is the bound on key revocation in these tests. Keys are accepted
// for nine tenths of it after a confirmation.
const strictBound = 5 * time.Second

var strictKey = model.KeyHash{7}

// strictHost is a host with version 4 active and a bound on key revocation. It
// stays in contact with the store, so that only the confirmation matters.
type strictHost struct {
	c *qt.C
	*simHost
}

func newStrictHost(c *qt.C) strictHost {
	m := newSim(c, simOptions{hosts: 2, servers: 3, rate: 1, floor: 0.6, seed: 1})
	h := strictHost{c, m.hosts[0]}
	s := h.state
	snapshot := *s.snapshot
	snapshot.KeyRevocationDelay = strictBound
	snapshot.Version = 4
	snapshot.AddRoute(&configuration.Route{
		ID: "keyed", Path: "/keyed", Service: simService, Idempotent: true, Timeout: time.Second,
	})
	snapshot.AddAccount(&configuration.Account{ID: "a", Keys: []model.KeyHash{strictKey}})
	s.snapshot = &snapshot
	s.config.root.Version = 4
	return h
}

// at applies an event at the given time of the host's clock.
func (h strictHost) at(d time.Duration, body event.Body) []effect.Effect {
	h.state.limits.members.StoreReached(model.Instant(d))
	return append([]effect.Effect(nil), Reduce(h.state, event.Event{At: model.Instant(d), Wall: 1, Body: body})...)
}

// confirm delivers a store answer to a call that was sent and answered at the
// given times.
func (h strictHost) confirm(sent, came time.Duration, version uint64) {
	root := configuration.Root{Version: version}
	if version > 4 { // its changed shard has not arrived yet
		root.Shards = []configuration.ShardRef{{Name: "accounts", Hash: "new"}}
	}
	h.at(came, event.RootRead{Root: root, StoreVersion: version, SentAt: model.Instant(sent)})
}

// refusal sends a request and returns the reason why it is refused, empty if
// it is forwarded.
func (h strictHost) refusal(d time.Duration, path string, key model.KeyHash) model.Reason {
	return h.refusalOf(d, event.RequestArrived{Method: "GET", Path: path, HasKey: true, Key: key})
}

func (h strictHost) refusalOf(d time.Duration, arrived event.RequestArrived) model.Reason {
	request := model.RequestID(1000 + d.Milliseconds())
	arrived.Request = request
	effects := h.at(d, arrived)
	for _, f := range effects {
		if refuse, ok := f.(effect.Refuse); ok && refuse.Request == request {
			return refuse.Reason
		}
	}
	return ""
}

// TestKeysNeedProof guards against a revoked key that works at a host that
// cannot know of its revocation: the host is cut off from the store or was
// suspended, or the store's answer took long. The age of a confirmation counts
// from when the call was sent.
func TestKeysNeedProof(t *testing.T) {
	const second = time.Second
	for _, tc := range []struct {
		name       string
		sent, came time.Duration
		version    uint64
		at         time.Duration
		want       model.Reason
	}{
		{"fresh", 10 * second, 10 * second, 4, 14 * second, ""},
		{"nine tenths of the bound later", 10 * second, 10 * second, 4, 14500 * time.Millisecond, model.ReasonKeysUnconfirmed},
		{"an answer that took three seconds", 10 * second, 13 * second, 4, 15 * second, model.ReasonKeysUnconfirmed},
		{"woken after ten seconds", 10 * second, 10 * second, 4, 20 * second, model.ReasonKeysUnconfirmed},
		{"an answer that names an older version", 10 * second, 10 * second, 3, 14 * second, ""},
		{"an answer that names a newer version", 10 * second, 10 * second, 5, 10100 * time.Millisecond, model.ReasonKeysUnconfirmed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newStrictHost(qt.New(t))
			h.confirm(tc.sent, tc.came, tc.version)
			h.c.Assert(h.refusal(tc.at, "/keyed", strictKey), qt.Equals, tc.want)
			h.c.Assert(h.refusal(tc.at, "/lookup", strictKey), qt.Equals, model.Reason("")) // an open route
		})
	}
}

// TestProofIsRenewed guards against a host that lets its confirmation expire
// without reading the root, also while it watches the root: an open watch
// without an event confirms nothing.
func TestProofIsRenewed(t *testing.T) {
	for _, isWatching := range []bool{false, true} {
		h := newStrictHost(qt.New(t))
		h.confirm(10*time.Second, 10*time.Second, 4)
		config := &h.state.config
		config.isWatching, config.isReading = isWatching, false
		config.nextOwnerlessRead = model.Never // no read because the watch has no owner
		isRead := false
		for at := 10 * time.Second; at <= 13500*time.Millisecond; at += configTickInterval {
			for _, f := range h.at(at, event.TimerFired{}) {
				_, ok := f.(effect.ReadRoot)
				isRead = isRead || ok
			}
		}
		h.c.Check(isRead, qt.IsTrue)
	}
}

// TestNoProofNoDenial guards against a caller that is told that its key or
// route does not exist by a host that may lack a newer version.
func TestNoProofNoDenial(t *testing.T) {
	h := newStrictHost(qt.New(t))
	h.confirm(10*time.Second, 10*time.Second, 4)
	h.c.Check(h.refusal(11*time.Second, "/none", strictKey), qt.Equals, model.ReasonNoRoute)
	h.c.Check(h.refusal(11*time.Second, "/keyed", model.KeyHash{8}), qt.Equals, model.ReasonKeyUnknown)
	noKey := event.RequestArrived{Method: "GET", Path: "/keyed"}
	h.c.Check(h.refusalOf(11*time.Second, noKey), qt.Equals, model.ReasonKeyMissing)
	h.c.Check(h.refusalOf(14200*time.Millisecond, noKey), qt.Equals, model.ReasonNotReady)
	h.c.Check(h.refusal(14200*time.Millisecond, "/none", strictKey), qt.Equals, model.ReasonNotReady)
	h.c.Check(h.refusal(14200*time.Millisecond, "/keyed", model.KeyHash{8}), qt.Equals, model.ReasonNotReady)
}

// TestPeersProof guards against a peer's confirmation that counts as more
// recent than it is. Its age is what the peer reports, counted back from when
// the peer was asked, and a confirmation of a version newer than this host's
// proves nothing for this host.
func TestPeersProof(t *testing.T) {
	const asked = 20 * time.Second
	for _, tc := range []struct {
		name   string
		answer message.Heartbeat
		at     time.Duration
		want   model.Reason
	}{
		{"a proof of a second ago", message.Heartbeat{Version: 4, Confirmed: true, ConfigAge: time.Second}, asked + 3*time.Second, ""},
		{"the same when it is too old", message.Heartbeat{Version: 4, Confirmed: true, ConfigAge: time.Second},
			asked + 3500*time.Millisecond, model.ReasonKeysUnconfirmed},
		{"no proof", message.Heartbeat{Version: 4, ConfigAge: 0}, asked + time.Second, model.ReasonKeysUnconfirmed},
		{"a proof for a newer version", message.Heartbeat{Version: 5, Confirmed: true}, asked + time.Second, model.ReasonKeysUnconfirmed},
		{"an answer to nothing", message.Heartbeat{Version: 4, Confirmed: true, Echo: 99}, asked + time.Second, model.ReasonKeysUnconfirmed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newStrictHost(qt.New(t))
			h.confirm(0, 0, 4)
			h.state.now = model.Instant(asked)
			sent := h.state.limits.members.Probe(model.Instant(asked))
			m := tc.answer
			m.Sequence = 1
			if m.Echo == 0 {
				m.Echo = sent.Sequence
			}
			from := model.HostRef{ID: "peer", Incarnation: 1}
			h.at(asked+100*time.Millisecond, event.MessageReceived{From: from, Message: m})
			h.c.Assert(h.refusal(tc.at, "/keyed", strictKey), qt.Equals, tc.want)
		})
	}
}

// TestForwardEndsWithProof guards against a request that is sent after the
// confirmation expired, because it waited or its host was paused between the
// check of its key and the first byte to the server.
func TestForwardEndsWithProof(t *testing.T) {
	h := newStrictHost(qt.New(t))
	h.confirm(10*time.Second, 10*time.Second, 4)
	effects := h.at(12*time.Second, event.RequestArrived{Request: 5, Method: "GET", Path: "/keyed", HasKey: true, Key: strictKey})
	forward := find[effect.Forward](h.c, effects)
	h.c.Assert(forward.NotAfter <= model.Instant(14500*time.Millisecond), qt.IsTrue)
}

// TestUnlimitedAccount guards against an account without a limit that is
// refused as over its rate.
func TestUnlimitedAccount(t *testing.T) {
	h := newStrictHost(qt.New(t))
	h.confirm(10*time.Second, 10*time.Second, 4)
	for i := range 50 {
		at := 10*time.Second + time.Duration(i)*time.Millisecond
		h.c.Assert(h.refusal(at, "/keyed", strictKey), qt.Equals, model.Reason(""))
	}
}
