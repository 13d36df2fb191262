package peer

import (
	"bytes"
	"net/rpc"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

// pipe is a connection that returns what was written to it.
type pipe struct{ bytes.Buffer }

func (p *pipe) Close() error { return nil }

var testShard, _ = store.EncodeShard(map[configuration.Path]configuration.Settings{"routes/x": {"path": "/x"}})

// messages has one of each type, with the zero value where it must survive.
var messages = []message.Message{
	message.Heartbeat{Sequence: 3, StoreAge: -1, Hosts: []message.HostAge{{Host: model.HostRef{ID: "h", Incarnation: 1 << 63}, Age: 5}}},
	message.TokenAsk{Ask: 1, Settled: []message.Settlement{{Grant: 2, Spent: 3}}},
	message.TokenGrant{NotOwner: true},
	message.Claim{Fingerprint: model.Fingerprint{0: 255, 15: 1}},
	message.ClaimAnswer{Answer: &model.Answer{Status: 200, Body: []byte("x")}},
	message.ClaimEnd{Verdict: model.Ran},
	message.ClaimEndAck{},
	message.Evidence{Servers: []message.ServerEvidence{{Server: "s", Failed: 1}}},
	message.EjectionSet{Ejected: []model.ServerID{"s"}},
	message.ConfigOffer{Root: configuration.Root{Version: 1}, Want: true},
	message.ShardAsk{Hashes: []string{"h"}},
	message.Shards{Shards: []configuration.Shard{testShard}},
	message.ClaimIntent{},
	message.ClaimIntentAck{},
	message.RenewRelay{},
	message.RenewResult{OK: true},
	message.HandoverOffer{Buckets: []message.BucketState{{Level: 0.5, Outstanding: []message.GrantState{{Grant: 1}}}}},
	message.HandoverAck{},
	message.HandoverCommit{Stored: true},
	message.HandoverCommitAck{},
}

// TestEveryMessageTravels guards against a message type that the envelope has
// no field for or that changes on the way.
func TestEveryMessageTravels(t *testing.T) {
	c := qt.New(t)
	c.Assert(len(messages), qt.Equals, reflect.TypeFor[Envelope]().NumField()-3)
	p := &pipe{}
	sender, receiver := newCodec(p, 1<<20), newCodec(p, 1<<20)
	for _, m := range messages {
		e, err := wrap(model.HostRef{ID: "a"}, m)
		c.Assert(err, qt.IsNil)
		c.Assert(sender.write(&rpc.Request{ServiceMethod: methodPut}, e), qt.IsNil)
		var header rpc.Request
		var got Envelope
		c.Assert(receiver.read(&header), qt.IsNil)
		c.Assert(receiver.decode(&got), qt.IsNil)
		back, err := unwrap(&got)
		c.Assert(err, qt.IsNil)
		c.Assert(back, qt.DeepEquals, m)
	}
}

// TestUnwrapRefuses guards against envelopes that carry nothing, two messages
// or a forged shard.
func TestUnwrapRefuses(t *testing.T) {
	c := qt.New(t)
	from := model.HostRef{ID: "a"}
	for want, e := range map[string]*Envelope{
		".*no sender":    {ClaimIntent: &message.ClaimIntent{}},
		".*0 messages.*": {From: from},
		".*2 messages.*": {From: from, ClaimIntent: &message.ClaimIntent{}, ShardAsk: &message.ShardAsk{}},
		".*has hash.*":   {From: from, Shards: &Shards{Shards: []Shard{{Hash: "forged", Encoded: testShard.Encoded}}}},
	} {
		_, err := unwrap(e)
		c.Assert(err, qt.ErrorMatches, want)
	}
}

// TestHeartbeatTravels guards against heartbeats that lose a value, whatever
// they hold.
func TestHeartbeatTravels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := message.Heartbeat{
			Sequence: rapid.Uint64().Draw(t, "sequence"),
			Version:  rapid.Uint64().Draw(t, "version"),
			Stopping: rapid.Bool().Draw(t, "stopping"),
			Leaving:  rapid.SliceOfN(rapid.Custom(func(t *rapid.T) model.ServerID { return model.ServerID(rapid.String().Draw(t, "server")) }), 1, 5).Draw(t, "leaving"),
		}
		p := &pipe{}
		e, _ := wrap(model.HostRef{ID: "a"}, want)
		if err := newCodec(p, 1<<20).write(&rpc.Request{}, e); err != nil {
			t.Fatal(err)
		}
		var got Envelope
		receiver := newCodec(p, 1<<20)
		if err := receiver.read(&rpc.Request{}); err != nil {
			t.Fatal(err)
		}
		if err := receiver.decode(&got); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(*got.Heartbeat, want) {
			t.Fatalf("got %v, want %v", *got.Heartbeat, want)
		}
	})
}

// FuzzIncoming guards against bytes of a peer that end the process.
func FuzzIncoming(f *testing.F) {
	for _, m := range messages {
		p := &pipe{}
		e, _ := wrap(model.HostRef{ID: "a"}, m)
		if err := newCodec(p, 1<<20).write(&rpc.Request{ServiceMethod: methodPut, Seq: 1}, e); err != nil {
			f.Fatal(err)
		}
		f.Add(p.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &pipe{}
		p.Write(data)
		c := newCodec(p, 64<<10)
		for {
			var header rpc.Request
			var e Envelope
			if err := c.read(&header); err != nil {
				return
			}
			if c.decode(&e) == nil {
				unwrap(&e)
			}
		}
	})
}
