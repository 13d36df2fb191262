package idempotency

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

var (
	slot           = model.SlotID{Domain: "a", Index: 1}
	continuousTerm = Term{Continuous: true}
	wall           = model.WallTime(1_800_000_000_000)
)

// keyAt returns a UUIDv7 with the given creation time.
func keyAt(created model.WallTime) string {
	hex := fmt.Sprintf("%012x", uint64(created))
	return hex[:8] + "-" + hex[8:12] + "-7abc-8def-0123456789ab"
}

func claimBy(host string, ask uint64, key string) Claim {
	return Claim{
		Slot: slot, Account: "station", Key: key, Fingerprint: model.Fingerprint{1},
		Holder:  Holder{model.HostRef{ID: model.HostID(host)}, ask},
		Timeout: 2 * time.Second,
	}
}

// TestKeyTime guards against accepting keys whose age cannot be known.
func TestKeyTime(t *testing.T) {
	c := qt.New(t)
	created, err := KeyTime(keyAt(wall))
	c.Assert(err, qt.IsNil)
	c.Assert(created, qt.Equals, wall)
	for _, key := range []string{
		"", "order-17",
		"0190163d-8694-439b-aea5-966c26f8ad91", // version 4
		"0190163d-8694-739b-0ea5-966c26f8ad91", // other variant
		"0190163d-8694-739b-aea5-966c26f8ad9g",
		"0190163d8694-739b-aea5-966c26f8ad9123",
	} {
		_, err := KeyTime(key)
		c.Check(err, qt.ErrorIs, ErrNotUUIDv7, qt.Commentf("%q", key))
	}
}

// TestClaimNewKey guards against granting a key that an earlier owner may have
// granted.
func TestClaimNewKey(t *testing.T) {
	takeover := Term{Began: wall.Add(-5 * time.Second)}
	for _, test := range []struct {
		about string
		term  Term
		age   time.Duration
		want  message.ClaimResult
	}{
		{"complete records", continuousTerm, time.Minute, message.ClaimGranted},
		{"older than the retention", continuousTerm, Retention + time.Second, message.ClaimUnknown},
		{"slightly in the future", continuousTerm, -ClockSkew, message.ClaimGranted},
		{"from the future", continuousTerm, -ClockSkew - 2*time.Millisecond, message.ClaimFromFuture},
		{"after a takeover, newer", takeover, time.Second, message.ClaimGranted},
		{"after a takeover, within the skew", takeover, 3 * time.Second, message.ClaimUnknown},
		{"after a takeover, older", takeover, 10 * time.Second, message.ClaimUnknown},
	} {
		t.Run(test.about, func(t *testing.T) {
			d := NewRecords().Claim(0, wall, test.term, claimBy("h1", 1, keyAt(wall.Add(-test.age))))
			qt.Assert(t, d.Result, qt.Equals, test.want)
		})
	}
}

// TestEnd guards against a second run of a request, for each way in which an
// attempt can end.
func TestEnd(t *testing.T) {
	response := &model.Response{Status: 201, Body: []byte("filed")}
	for _, test := range []struct {
		about    string
		verdict  model.Verdict
		response *model.Response
		waiter   message.ClaimResult
		retry    message.ClaimResult
	}{
		{"ran", model.Ran, response, message.ClaimDone, message.ClaimDone},
		{"ran, answer too large", model.Ran, nil, message.ClaimDropped, message.ClaimDropped},
		{"may have run", model.MayHaveRun, nil, message.ClaimUnknown, message.ClaimUnknown},
		{"not run", model.NotRun, nil, message.ClaimReleased, message.ClaimGranted},
	} {
		t.Run(test.about, func(t *testing.T) {
			c := qt.New(t)
			r := NewRecords()
			key := keyAt(wall)
			c.Assert(r.Claim(0, wall, continuousTerm, claimBy("h1", 1, key)).Result, qt.Equals, message.ClaimGranted)
			c.Assert(r.Claim(0, wall, continuousTerm, claimBy("h2", 1, key)).Result, qt.Equals, message.ClaimInProgress)
			replies := r.End(slot, "station", key, claimBy("h1", 1, key).Holder, test.verdict, test.response)
			c.Assert(replies, qt.HasLen, 1)
			c.Assert(replies[0].Decision.Result, qt.Equals, test.waiter)
			c.Assert(r.Claim(0, wall, continuousTerm, claimBy("h2", 2, key)).Result, qt.Equals, test.retry)
		})
	}
}

// TestLateEnd guards against a duplicate report of an earlier attempt that
// frees a key while a later attempt is in progress.
func TestLateEnd(t *testing.T) {
	c := qt.New(t)
	r := NewRecords()
	key := keyAt(wall)
	first := claimBy("h1", 1, key)
	second := claimBy("h1", 2, key)
	r.Claim(0, wall, continuousTerm, first)
	r.End(slot, "station", key, first.Holder, model.NotRun, nil)
	r.Claim(0, wall, continuousTerm, second)
	r.End(slot, "station", key, first.Holder, model.NotRun, nil)
	c.Assert(r.Claim(0, wall, continuousTerm, claimBy("h3", 1, key)).Result, qt.Equals, message.ClaimInProgress)
}

// TestLostHolder guards against a claim that waits without end for a host that
// is gone, and against granting that host's key again.
func TestLostHolder(t *testing.T) {
	c := qt.New(t)
	r := NewRecords()
	key := keyAt(wall)
	r.Claim(0, wall, continuousTerm, claimBy("h1", 1, key))
	r.Claim(0, wall, continuousTerm, claimBy("h2", 1, key))
	replies := r.Expire(model.Instant(4*time.Second), wall)
	c.Assert(replies, qt.HasLen, 1)
	c.Assert(replies[0].Decision.Result, qt.Equals, message.ClaimUnknown)
	later := r.Claim(model.Instant(4*time.Second), wall, continuousTerm, claimBy("h3", 1, key))
	c.Assert(later.Result, qt.Equals, message.ClaimUnknown)
}

// TestMismatch guards against answering one request with the response to
// another.
func TestMismatch(t *testing.T) {
	r := NewRecords()
	key := keyAt(wall)
	r.Claim(0, wall, continuousTerm, claimBy("h1", 1, key))
	other := claimBy("h2", 1, key)
	other.Fingerprint = model.Fingerprint{2}
	qt.Assert(t, r.Claim(0, wall, continuousTerm, other).Result, qt.Equals, message.ClaimMismatch)
}

// TestRetentionBound guards against retained responses that fill the host's
// memory, and against a second run of a request whose response was dropped.
func TestRetentionBound(t *testing.T) {
	c := qt.New(t)
	r := NewRecords()
	n := 2 * maxRetainedBytes / MaxAnswerBytes
	for i := range n {
		key := keyAt(wall.Add(-time.Duration(i) * time.Millisecond))
		claim := claimBy("h1", uint64(i), key)
		r.Claim(0, wall, continuousTerm, claim)
		r.End(slot, "station", key, claim.Holder, model.Ran, &model.Response{Body: make([]byte, MaxAnswerBytes)})
	}
	c.Assert(r.Bytes() <= maxRetainedBytes, qt.IsTrue)
	c.Assert(r.Claim(0, wall, continuousTerm, claimBy("h2", 1, keyAt(wall))).Result, qt.Equals, message.ClaimDropped)
	r.Expire(0, wall.Add(Retention+2*time.Minute))
	c.Assert(r.Len(), qt.Equals, 0)
	c.Assert(r.Bytes(), qt.Equals, 0)
}

// TestAtMostOneRun guards against two runs of one key under any order of
// claims, ends, duplicate ends, handovers, lost owners and clock skew.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newKeyRun(rapid.Int64Range(0, 3000).Draw(t, "key age ms"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			run.step(t)
			if run.ran > 1 {
				t.Fatalf("the request ran %d times", run.ran)
			}
		}
	})
}

// keyRun is the model of the test: one key, its present owner and the claims
// that were granted.
type keyRun struct {
	now     model.Instant
	wall    model.WallTime
	records *Records
	term    Term
	key     string
	asks    uint64
	granted []Holder // their ends are not reported yet
	ended   []Holder // reported NotRun; the report may be repeated
	ran     int      // number of runs
}

func newKeyRun(ageMillis int64) *keyRun {
	return &keyRun{wall: wall, records: NewRecords(), term: continuousTerm, key: keyAt(wall - model.WallTime(ageMillis))}
}

func (k *keyRun) step(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		k.claim()
	case 2:
		k.end(t)
	case 3:
		k.repeatEnd()
	case 4:
		k.changeOwner(t)
	case 5:
		k.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
	}
}

func (k *keyRun) claim() {
	k.asks++
	c := claimBy("h", k.asks, k.key)
	if k.records.Claim(k.now, k.wall, k.term, c).Result == message.ClaimGranted {
		k.granted = append(k.granted, c.Holder)
	}
}

// end reports the end of the oldest granted claim. It counts as a run unless
// the verdict is NotRun.
func (k *keyRun) end(t *rapid.T) {
	if len(k.granted) == 0 {
		return
	}
	h := k.granted[0]
	k.granted = k.granted[1:]
	verdict := rapid.SampledFrom([]model.Verdict{model.NotRun, model.Ran, model.MayHaveRun}).Draw(t, "verdict")
	if verdict != model.NotRun {
		k.ran++
	}
	k.records.End(slot, "station", k.key, h, verdict, nil)
	if verdict == model.NotRun {
		k.ended = append(k.ended, h)
	}
}

func (k *keyRun) repeatEnd() {
	for _, h := range k.ended {
		k.records.End(slot, "station", k.key, h, model.NotRun, nil)
	}
}

// changeOwner hands the records over to a new owner or loses them. After a loss
// the new owner's wall clock is behind by up to ClockSkew.
func (k *keyRun) changeOwner(t *rapid.T) {
	next := NewRecords()
	if rapid.Bool().Draw(t, "handover") {
		next.Import(k.now, slot, k.records.Export(k.now, slot))
		k.records = next
		return
	}
	skew := rapid.Int64Range(-ClockSkew.Milliseconds(), 0).Draw(t, "skew ms")
	k.wall += model.WallTime(skew)
	k.records = next
	k.term = Term{Began: k.wall}
}

func (k *keyRun) advance(d time.Duration) {
	k.now = k.now.Add(d)
	k.wall = k.wall.Add(d)
	k.records.Expire(k.now, k.wall)
}
