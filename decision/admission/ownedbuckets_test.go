package admission

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

var (
	testSlot  = model.SlotID{Domain: "d0"}
	testLimit = Limit{Rate: 10, Burst: 10}
)

func at(ms int) model.Instant { return model.Instant(ms) * model.Instant(time.Millisecond) }

// ownerStep is an ask at a given time and the number of tokens that it gets.
type ownerStep struct {
	at      int // ms
	tokens  int
	settled []message.Settlement
	want    int
}

// TestOwner guards against tokens that an owner grants twice, or does not grant
// though they have accrued. Grants have the ids 1, 2, 3 in order.
func TestOwner(t *testing.T) {
	spent := func(grant uint64, n int, age time.Duration) []message.Settlement {
		return []message.Settlement{{Grant: grant, Spent: n, Age: age}}
	}
	tests := []struct {
		name  string
		empty bool // the slot's previous owner was lost
		steps []ownerStep
	}{
		{"half of the burst is outstanding at most", false, []ownerStep{
			{0, 8, nil, 5}, {10, 1, nil, 0}, {1990, 1, nil, 0},
		}},
		{"an expired grant makes room for what accrues after it", false, []ownerStep{
			{0, 5, nil, 5}, {2000, 5, nil, 5}, {2010, 1, nil, 0},
		}},
		{"unspent tokens return once", false, []ownerStep{
			{0, 5, nil, 5}, {10, 5, spent(1, 0, 0), 5}, {20, 5, spent(1, 0, 0), 0},
		}},
		{"spent tokens do not return", false, []ownerStep{
			{0, 5, nil, 5}, {1, 5, spent(1, 5, 0), 5}, {2, 5, spent(2, 5, 0), 0},
		}},
		{"a settlement of an unknown grant changes nothing", false, []ownerStep{
			{0, 5, nil, 5}, {1, 5, spent(9, 0, 0), 0},
		}},
		{"a new owner starts without tokens and grants what accrues", true, []ownerStep{
			{0, 1, nil, 0}, {90, 1, nil, 0}, {110, 1, nil, 1}, {350, 9, nil, 1}, {800, 9, nil, 0},
			{1000, 9, spent(2, 1, 0), 1},
		}},
		{"the burst of a lost owner counts until its grants have expired", true, []ownerStep{
			{1900, 9, nil, 2}, {2050, 9, nil, 1},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := NewOwnedBuckets()
			o.Begin(0, testSlot, 0, !test.empty)
			for i, s := range test.steps {
				answer := o.HandleAsk(at(s.at), testHost, message.TokenAsk{
					Ask: uint64(i + 1), Slot: testSlot, Account: "a", Tokens: s.tokens, Settled: s.settled,
				}, testLimit)
				c.Assert(answer.Tokens, qt.Equals, s.want, qt.Commentf("step %d", i))
			}
		})
	}
}

var testHost = model.HostRef{ID: "h1", Incarnation: 1}

// TestRepeatedAsk guards against tokens that are lost with an answer, and
// against granting them twice: a repeated ask gets the grant that was made for
// it.
func TestRepeatedAsk(t *testing.T) {
	c := qt.New(t)
	o := NewOwnedBuckets()
	o.Begin(0, testSlot, 1, true)
	ask := message.TokenAsk{Ask: 7, Slot: testSlot, Account: "a", Tokens: 3}
	first := o.HandleAsk(at(0), testHost, ask, testLimit)
	again := o.HandleAsk(at(50), testHost, ask, testLimit)
	c.Assert(again.Grant, qt.Equals, first.Grant)
	c.Assert(again.Tokens, qt.Equals, first.Tokens)
	other := o.HandleAsk(at(60), model.HostRef{ID: "h2"}, ask, testLimit)
	c.Assert(other.Grant, qt.Not(qt.Equals), first.Grant)
}

// TestMissedAccrual covers the accrual that a bucket misses while spent tokens
// still count as outstanding. It guards against crediting that time twice or
// not at all.
func TestMissedAccrual(t *testing.T) {
	c := qt.New(t)
	b := &bucket{level: 10, fullSince: notFull}
	b.issue(1, askKey{ask: 1}, 1, 0, at(2000), testLimit)
	b.issue(2, askKey{ask: 2}, 1, 0, at(2000), testLimit)
	b.accrue(at(500), testLimit)
	c.Assert(b.level, qt.Equals, 8.0)
	b.settle(at(500), message.Settlement{Grant: 1, Spent: 1, Age: 60 * time.Millisecond}, testLimit)
	c.Assert(b.level > 8.59 && b.level < 8.61, qt.IsTrue)
	b.settle(at(500), message.Settlement{Grant: 2, Spent: 1, Age: 60 * time.Millisecond}, testLimit)
	c.Assert(b.level > 8.59 && b.level < 8.61, qt.IsTrue)
}

// TestLimitChange guards against a lowered limit that leaves more tokens than
// its burst, and a raised burst whose additional tokens are there at once.
func TestLimitChange(t *testing.T) {
	c := qt.New(t)
	b := &bucket{level: 10, fullSince: notFull}
	b.accrue(at(0), Limit{Rate: 10, Burst: 4})
	c.Assert(b.level, qt.Equals, 4.0)
	b.accrue(at(100), Limit{Rate: 10, Burst: 20})
	c.Assert(b.level, qt.Equals, 5.0)
}

// TestHandover guards against a successor that loses outstanding grants, bucket
// levels, or how full the buckets without an entry are.
func TestHandover(t *testing.T) {
	c := qt.New(t)
	limitOf := func(model.AccountID) Limit { return testLimit }
	before, after := NewOwnedBuckets(), NewOwnedBuckets()
	before.Begin(at(0), testSlot, 1, true)
	ask := message.TokenAsk{Slot: testSlot, Account: "a", Tokens: 5}
	granted := before.HandleAsk(at(100), testHost, ask, testLimit)
	var offer message.HandoverOffer
	before.ExportSlot(at(200), testSlot, &offer, limitOf)
	c.Assert(offer.ZeroAge < 0, qt.IsTrue)
	// The clocks of the two hosts differ.
	after.RestoreTerm(at(50_000), testSlot, 2, offer)
	c.Assert(after.HandleAsk(at(50_010), testHost, ask, testLimit).Tokens, qt.Equals, 0)
	ask.Settled = []message.Settlement{{Grant: granted.Grant, Spent: 5}}
	c.Assert(after.HandleAsk(at(50_020), testHost, ask, testLimit).Tokens, qt.Equals, 5)
	other := message.TokenAsk{Slot: testSlot, Account: "b", Tokens: 5}
	c.Assert(after.HandleAsk(at(50_020), testHost, other, testLimit).Tokens, qt.Equals, 5)
}

// TestSweep guards against memory that grows with every account ever seen, and
// against evicting a bucket that is less than full.
func TestSweep(t *testing.T) {
	c := qt.New(t)
	o := NewOwnedBuckets()
	o.Begin(0, testSlot, 1, true)
	o.HandleAsk(0, testHost, message.TokenAsk{Slot: testSlot, Account: "a", Tokens: 5}, testLimit)
	limitOf := func(model.AccountID) Limit { return testLimit }
	o.EvictIdle(at(2100), testSlot, limitOf)
	c.Assert(len(o.slots[testSlot].buckets), qt.Equals, 1)
	o.EvictIdle(at(2600), testSlot, limitOf)
	c.Assert(len(o.slots[testSlot].buckets), qt.Equals, 0)
}

// TestUseIsNotForgotten guards against a burst that is given out twice: an account has used
// its tokens, and its bucket is dropped as idle while its limit is lower, or while the slot
// has no share of it.
func TestUseIsNotForgotten(t *testing.T) {
	high := Limit{Rate: 10, Burst: 67}
	tests := []struct {
		name string
		low  Limit
		// handedOver says that the slot changes hands while the limit is low.
		handedOver bool
	}{
		{"no share", Limit{}, false},
		{"a small burst", Limit{Rate: 4, Burst: 4}, false},
		{"no rate", Limit{Burst: 4}, false},
		{"no share, and another owner", Limit{}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := NewOwnedBuckets()
			o.Begin(0, testSlot, 1, true)
			used := useAll(o, 0, high)
			c.Assert(used >= high.Burst, qt.IsTrue)
			lowered := func(model.AccountID) Limit { return test.low }
			o.EvictIdle(at(3000), testSlot, lowered)
			if test.handedOver {
				offer := message.HandoverOffer{Slot: testSlot}
				o.ExportSlot(at(3000), testSlot, &offer, lowered)
				o = NewOwnedBuckets()
				o.RestoreTerm(at(3000), testSlot, 2, offer)
			}
			o.EvictIdle(at(4000), testSlot, lowered)
			again := useAll(o, 4500, high)
			c.Check(again <= 50, qt.IsTrue, qt.Commentf("%d tokens granted after %d", again, used))
		})
	}
}

// useAll asks for tokens and spends them at once until there are none, and returns how
// many there were.
func useAll(o *OwnedBuckets, ms int, limit Limit) int {
	total := 0
	var settled []message.Settlement
	for i := 0; ; i++ {
		ask := message.TokenAsk{Ask: uint64(ms*1000 + i), Slot: testSlot, Account: "a", Tokens: 10, Settled: settled}
		answer := o.HandleAsk(at(ms), testHost, ask, limit)
		if answer.Tokens == 0 {
			return total
		}
		total += answer.Tokens
		settled = []message.Settlement{{Grant: answer.Grant, Spent: answer.Tokens}}
	}
}

// TestUseIsForgottenInTime guards against buckets that are kept for ever, because their
// account or its share is gone.
func TestUseIsForgottenInTime(t *testing.T) {
	noShare := func(model.AccountID) Limit { return Limit{} }
	tests := []struct {
		name  string
		limit Limit
		kept  time.Duration // since the last grant
	}{
		{"accrues within seconds", Limit{Rate: 10, Burst: 60}, 8 * time.Second},
		{"accrues within days", Limit{Rate: 0.001, Burst: 1000}, time.Hour + Validity},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			o := NewOwnedBuckets()
			o.Begin(0, testSlot, 1, true)
			useAll(o, 0, test.limit)
			end := model.Instant(0).Add(test.kept)
			o.EvictIdle(end-1, testSlot, noShare)
			c.Check(o.slots[testSlot].buckets, qt.HasLen, 1)
			o.EvictIdle(end, testSlot, noShare)
			c.Check(o.slots[testSlot].buckets, qt.HasLen, 0)
		})
	}
}
