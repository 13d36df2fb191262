package decision

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// updateHost is the reducer's state of one host, and what it has sent.
type updateHost struct{ *State }

func newUpdateHost(active uint64) updateHost {
	s := NewState()
	Reduce(s, event.Event{Body: event.Started{Self: model.HostRef{ID: "h0", Incarnation: 1}, Domain: "d0", Seed: 1}})
	s.onRootRead(event.RootRead{})
	s.effects = nil
	s.config.peers = []model.HostID{"h1", "h2", "h3", "h4"}
	if active > 0 {
		root, shard := updateRoot(active)
		s.config.setRoot(root)
		s.config.newestKnown = active
		s.config.shardCache[shard.Hash] = shard
		s.snapshot = &configuration.Snapshot{Version: active, HasProblems: true} // no base for another
	}
	return updateHost{s}
}

// updateRoot returns the root of a version with one shard of its own.
func updateRoot(version uint64) (configuration.Root, configuration.Shard) {
	encoded := []byte{byte(version)}
	sum := sha256.Sum256(encoded)
	shard := configuration.Shard{Hash: hex.EncodeToString(sum[:]), Encoded: encoded}
	shard.Branches = map[configuration.Path]configuration.Settings{"routes/r": {"path": "/r", "service": "s"}}
	root := configuration.Root{Version: version, Shards: []configuration.ShardRef{{Name: "routes", Hash: shard.Hash}}}
	return root, shard
}

func (h updateHost) receive(from model.HostID, m message.Message) []effect.Send {
	h.effects = nil
	h.onMessageReceived(model.HostRef{ID: from}, m)
	return h.sent()
}

func (h updateHost) sent() []effect.Send {
	var sent []effect.Send
	for _, e := range h.effects {
		if send, ok := e.(effect.Send); ok {
			sent = append(sent, send)
		}
	}
	return sent
}

func announcement(version uint64) message.ConfigOffer {
	return message.ConfigOffer{Root: configuration.Root{Version: version}}
}

// TestEveryRequestForConfigurationIsAnswered guards against a request that is dropped
// because this host does not have what is asked for: the sender would learn of that by a
// timeout only.
func TestEveryRequestForConfigurationIsAnswered(t *testing.T) {
	root, shard := updateRoot(7)
	ask := func(version uint64, withShards bool) message.ConfigOffer {
		m := announcement(version)
		m.Want, m.WithShards = true, withShards
		return m
	}
	tests := []struct {
		name   string
		active uint64
		asked  message.Message
		want   message.Message
	}{
		{"shards of a replaced version", 7, message.ShardAsk{Hashes: []string{"old"}}, message.Shards{Missing: []string{"old"}, Root: root}},
		{"shards where there is no version", 0, message.ShardAsk{Hashes: []string{"old"}}, message.Shards{Missing: []string{"old"}}},
		{"shards of this version", 7, message.ShardAsk{Hashes: []string{shard.Hash}}, message.Shards{Shards: []configuration.Shard{shard}}},
		{"an update", 7, ask(5, true), message.Shards{Root: root, Shards: []configuration.Shard{shard}}},
		{"an update, by a host of the release before", 7, ask(5, false), message.ConfigOffer{Root: root}},
		{"an update where there is none", 7, ask(7, true), announcement(7)},
		{"an update where there is no version", 0, ask(5, true), announcement(0)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sent := newUpdateHost(test.active).receive("h1", test.asked)
			qt.Assert(t, sent, qt.DeepEquals, []effect.Send{{To: "h1", Message: test.want}})
		})
	}
}

// TestUpdateIsAskedElsewhere guards against a host that waits for its timeout although a
// peer has answered that it has nothing newer, or that stays silent while others announce
// newer versions, and against one that asks the same peer again at each such answer.
func TestUpdateIsAskedElsewhere(t *testing.T) {
	want := func(version uint64) message.ConfigOffer {
		return message.ConfigOffer{Root: configuration.Root{Version: version}, Want: true, WithShards: true}
	}
	to := func(peer model.HostID) []effect.Send { return []effect.Send{{To: peer, Message: want(5)}} }
	t.Run("the peer has nothing newer", func(t *testing.T) {
		h := newUpdateHost(5)
		qt.Check(t, h.receive("h1", announcement(6)), qt.DeepEquals, to("h1"))
		qt.Check(t, h.receive("h2", announcement(6)), qt.HasLen, 0)
		qt.Check(t, h.receive("h1", announcement(0)), qt.DeepEquals, to("h2")) // h1 has restarted
		qt.Check(t, h.receive("h2", announcement(0)), qt.HasLen, 0)
	})
	t.Run("the peer is silent", func(t *testing.T) {
		h := newUpdateHost(5)
		qt.Check(t, h.receive("h1", announcement(6)), qt.DeepEquals, to("h1"))
		h.now = h.now.Add(updateHedgeDelay)
		qt.Check(t, h.receive("h2", announcement(6)), qt.DeepEquals, to("h2"))
		h.receive("h3", announcement(6))
		h.now = h.now.Add(updateTimeout)
		h.effects = nil
		h.onConfigTimer(configTimerUpdate)
		qt.Check(t, h.sent(), qt.DeepEquals, to("h3"))
	})
}

// TestMissingShardsAreAskedElsewhere guards against a host that waits for its timeout
// although the peer that it asked has answered that it has no version.
func TestMissingShardsAreAskedElsewhere(t *testing.T) {
	h := newUpdateHost(5)
	six, _ := updateRoot(6)
	hashes := []string{six.Shards[0].Hash}
	h.receive("h1", message.ConfigOffer{Root: six})
	h.receive("h2", announcement(6))
	sent := h.receive("h1", message.Shards{Missing: hashes}) // h1 has restarted
	qt.Assert(t, sent, qt.DeepEquals, []effect.Send{{To: "h2", Message: message.ShardAsk{Hashes: hashes}}})
	qt.Check(t, h.receive("h2", message.Shards{Missing: hashes}), qt.HasLen, 0)
}

// TestReplacedTargetIsGivenUp guards against a host that goes on asking for a version that
// its peers have replaced, while edits follow each other faster than it fetches one.
func TestReplacedTargetIsGivenUp(t *testing.T) {
	h := newUpdateHost(5)
	six, _ := updateRoot(6)
	seven, shard := updateRoot(7)
	sent := h.receive("h1", message.ConfigOffer{Root: six}) // by a host of the release before
	qt.Assert(t, sent, qt.DeepEquals, []effect.Send{{To: "h1", Message: message.ShardAsk{Hashes: []string{six.Shards[0].Hash}}}})
	sent = h.receive("h1", message.Shards{Missing: []string{six.Shards[0].Hash}, Root: seven})
	qt.Assert(t, sent, qt.HasLen, 1)
	qt.Check(t, sent[0].Message.(message.ConfigOffer).WithShards, qt.IsTrue)
	h.now = h.now.Add(80 * time.Millisecond)
	h.receive("h1", message.Shards{Root: seven, Shards: []configuration.Shard{shard}})
	qt.Check(t, h.config.newestHandled(), qt.Equals, uint64(7))
}

// TestReplacedInStore guards against a host that waits for its timeout, or turns to peers
// that have nothing newer, because a read of shards came after the store had replaced
// their version.
func TestReplacedInStore(t *testing.T) {
	six, _ := updateRoot(6)
	seven, _ := updateRoot(7)
	read := func(root configuration.Root) effect.Effect {
		return effect.ReadShards{Hashes: []string{root.Shards[0].Hash}}
	}
	replaced := event.ShardsRead{Error: event.StoreReplaced}
	newFetch := func() updateHost {
		h := newUpdateHost(5)
		h.onRootRead(event.RootRead{Root: six, StoreVersion: 6})
		qt.Assert(t, h.effects, qt.DeepEquals, []effect.Effect{read(six)})
		h.effects = nil
		return h
	}
	t.Run("a newer version is known", func(t *testing.T) {
		h := newFetch()
		h.onRootRead(event.RootRead{Root: seven, StoreVersion: 7})
		h.onShardsRead(replaced)
		qt.Check(t, h.effects, qt.DeepEquals, []effect.Effect{read(seven)})
	})
	t.Run("the newer version is only in the store", func(t *testing.T) {
		h := newFetch()
		h.onShardsRead(replaced)
		qt.Check(t, h.effects, qt.DeepEquals, []effect.Effect{effect.ReadRoot{}})
		h.effects = nil
		h.onRootRead(event.RootRead{Root: seven, StoreVersion: 7})
		qt.Check(t, h.effects, qt.DeepEquals, []effect.Effect{read(seven)})
	})
}
