package peer

import (
	"bytes"
	"math"
	"net/rpc"
	"reflect"
	"testing"
	"time"

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
	message.Heartbeat{Sequence: 3, StoreAge: -1, Hosts: []message.HostAge{{Host: model.HostRef{ID: "h", Incarnation: 1 << 63}, Age: time.Second}}},
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
	message.Sign{Service: "lookup", Server: "127.0.0.1:1", Sign: model.SignBroken},
	message.ListAsk{Sequence: 7, HostsRevision: 3, ServersRevision: 9},
	message.ListAnswer{Sequence: 7, IsFollowed: true, Age: time.Second, Changes: []model.ListChanges{{
		Role: model.RoleBackend, IsWhole: true, Revision: 9,
		Items: []model.ListItem{{Name: "i-a", Revision: 8, Entry: model.HostEntry{ID: "a:1", Role: model.RoleBackend}}},
	}}},
}

// put writes a message as a session does.
func put(c *codec, hosts *sendHosts, m message.Message) error {
	kind, ok := kindOf(m)
	if !ok {
		return errEnvelope
	}
	return c.write(&rpc.Request{ServiceMethod: methodPut}, &Envelope{Kind: kind, body: kinds[kind].encode(hosts, m)})
}

// take reads a message as a link does.
func take(c *codec, hosts *knownHosts) (message.Message, error) {
	var e Envelope
	if err := c.read(&rpc.Request{}); err != nil {
		return nil, err
	}
	if err := c.readBody(&e); err != nil || e.body == nil {
		return nil, err
	}
	return kinds[e.Kind].decode(hosts, e.body)
}

// TestEveryMessageTravels guards against a message type that has no wire form,
// has a new number, or changes on the way.
func TestEveryMessageTravels(t *testing.T) {
	c := qt.New(t)
	c.Assert(messages, qt.HasLen, len(kinds))
	p := &pipe{}
	sender, receiver := newCodec(p, 1<<20), newCodec(p, 1<<20)
	for i, m := range messages {
		kind, _ := kindOf(m)
		c.Assert(kind, qt.Equals, i)
		c.Assert(put(sender, &sendHosts{}, m), qt.IsNil)
		got, err := take(receiver, &knownHosts{})
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, m)
	}
}

// TestNoFieldLost guards against a field of a message, added later, that its
// wire form leaves out. A heartbeat without Echo made hosts answer each other
// without end.
func TestNoFieldLost(t *testing.T) {
	c := qt.New(t)
	for _, m := range messages {
		if _, ok := m.(message.Shards); ok {
			continue // travels in its encoded form, see TestEveryMessageTravels
		}
		full := reflect.New(reflect.TypeOf(m)).Elem()
		fill(full)
		want := full.Interface().(message.Message)
		p := &pipe{}
		c.Assert(put(newCodec(p, 1<<20), &sendHosts{}, want), qt.IsNil)
		got, err := take(newCodec(p, 1<<20), &knownHosts{})
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.DeepEquals, want)
	}
}

// fill sets every field to a value that is not zero; numbers are whole
// milliseconds.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Array:
		fill(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Uint8:
		v.SetUint(1)
	case reflect.Int, reflect.Int64:
		v.SetInt(3e6)
	default:
		v.SetUint(3e6)
	}
}

// TestNewerRelease guards against a link that breaks where a host of a newer
// release sends a type of message that this one does not know.
func TestNewerRelease(t *testing.T) {
	c := qt.New(t)
	p := &pipe{}
	sender, receiver := newCodec(p, 1<<20), newCodec(p, 1<<20)
	unknown := &Envelope{Kind: len(kinds), body: &struct{ X int }{1}}
	c.Assert(sender.write(&rpc.Request{ServiceMethod: methodPut}, unknown), qt.IsNil)
	c.Assert(put(sender, &sendHosts{}, message.ClaimIntent{Intent: 1}), qt.IsNil)
	m, err := take(receiver, &knownHosts{})
	c.Assert(err, qt.IsNil)
	c.Assert(m, qt.IsNil)
	m, err = take(receiver, &knownHosts{})
	c.Assert(err, qt.IsNil)
	c.Assert(m, qt.Equals, message.ClaimIntent{Intent: 1})
}

// TestBrokenContent guards against taking a forged shard, or a heartbeat about
// hosts that were never named.
func TestBrokenContent(t *testing.T) {
	c := qt.New(t)
	known := &knownHosts{refs: []model.HostRef{{ID: "h"}}}
	for _, h := range []*Heartbeat{
		{Hosts: []byte{2, 0}},
		{Hosts: []byte{0}},
		{Hosts: bytes.Repeat([]byte{0, 0}, message.MaxHostAges+1)},
		{Slots: []SlotOwned{{Owner: 1}}},
		{Added: make([]model.HostRef, maxKnownHosts)},
	} {
		_, err := decodeHeartbeat(known, h)
		c.Check(err, qt.ErrorIs, errEnvelope)
	}
	_, err := decodeShards(nil, &Shards{Shards: []Shard{{Hash: "forged", Encoded: testShard.Encoded}}})
	c.Assert(err, qt.ErrorMatches, ".*has hash.*")
}

// TestHeartbeats guards against heartbeats that lose a value or confuse hosts,
// over many on one link, and against ages that become smaller.
func TestHeartbeats(t *testing.T) {
	age := func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "age")) }
	ref := func(t *rapid.T) model.HostRef {
		return model.HostRef{ID: model.HostID(rapid.StringN(1, 3, -1).Draw(t, "host")), Incarnation: rapid.Uint64Range(0, 5).Draw(t, "life")}
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &pipe{}
		sender, receiver := newCodec(p, 1<<20), newCodec(p, 1<<20)
		sent, known := &sendHosts{}, &knownHosts{}
		for range rapid.IntRange(1, 10).Draw(t, "heartbeats") {
			want := message.Heartbeat{
				Sequence: rapid.Uint64().Draw(t, "sequence"),
				StoreAge: age(t),
				Version:  rapid.Uint64().Draw(t, "version"),
				Stopping: rapid.Bool().Draw(t, "stopping"),
			}
			for range rapid.IntRange(0, 5).Draw(t, "hosts") {
				want.Hosts = append(want.Hosts, message.HostAge{Host: ref(t), Age: age(t), Young: rapid.Bool().Draw(t, "young")})
				want.Slots = append(want.Slots, message.SlotOwned{Owner: ref(t), Term: 1, Age: age(t)})
			}
			if err := put(sender, sent, want); err != nil {
				t.Fatal(err)
			}
			got, err := take(receiver, known)
			if err != nil {
				t.Fatal(err)
			}
			if want := rounded(want); !reflect.DeepEqual(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

// rounded rounds ages up to milliseconds.
func rounded(h message.Heartbeat) message.Heartbeat {
	up := func(d time.Duration) time.Duration {
		return time.Duration(math.Ceil(float64(d)/1e6)) * time.Millisecond
	}
	for i := range h.Hosts {
		h.Hosts[i].Age = up(h.Hosts[i].Age)
		h.Slots[i].Age = up(h.Slots[i].Age)
	}
	return h
}

// TestKnownHostsBounded guards against a link whose list of hosts grows with
// each restart in the fleet.
func TestKnownHostsBounded(t *testing.T) {
	c := qt.New(t)
	sent, known := &sendHosts{}, &knownHosts{}
	for life := range uint64(2 * maxKnownHosts) {
		host := model.HostRef{ID: "h", Incarnation: life}
		m, err := decodeHeartbeat(known, encodeHeartbeat(sent, message.Heartbeat{Hosts: []message.HostAge{{Host: host}}}))
		c.Assert(err, qt.IsNil)
		c.Assert(m.(message.Heartbeat).Hosts[0].Host, qt.Equals, host)
	}
	c.Assert(len(known.refs) <= maxKnownHosts, qt.IsTrue)
}

// FuzzIncoming guards against bytes of a peer that end the process.
func FuzzIncoming(f *testing.F) {
	for _, m := range messages {
		p := &pipe{}
		if err := put(newCodec(p, 1<<20), &sendHosts{}, m); err != nil {
			f.Fatal(err)
		}
		f.Add(p.Bytes())
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p := &pipe{}
		p.Write(data)
		c := newCodec(p, 64<<10)
		known := &knownHosts{}
		for p.Len()+c.reader.Buffered() > 0 {
			take(c, known)
		}
	})
}
