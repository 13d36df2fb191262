package idempotency

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// Retention is how long after its creation a key is remembered. Claims of
	// older keys are answered with ClaimUnknown.
	Retention = 10 * time.Minute
	// ClockSkew is the largest supported difference between the wall clocks of
	// two hosts.
	ClockSkew = time.Second
	// reportGrace is how long after an attempt's timeout its end may still be
	// reported. After that its outcome counts as unknown.
	reportGrace = time.Second
	// MaxAnswerBytes bounds the size of one retained response.
	MaxAnswerBytes = 64 << 10
	// maxRetainedBytes bounds the size of all responses retained by a host. The
	// responses retained first are dropped first; their records stay.
	maxRetainedBytes = 4 << 20
)

// Term describes this host's ownership of a slot.
type Term struct {
	// Began is the owner's wall clock at the start of the term.
	Began model.WallTime
	// Continuous is true where the records of all earlier terms are at hand.
	Continuous bool
}

// Holder identifies a claim: the host that made it and the host's number for
// it.
type Holder struct {
	Host model.HostRef
	Ask  uint64
}

// Claim requests the right to forward the request of a key.
type Claim struct {
	Slot        model.SlotID
	Account     model.AccountID
	Key         string
	Fingerprint model.Fingerprint
	Holder      Holder
	Timeout     time.Duration // of the attempt to forward the request
}

// Decision is the answer to a claim.
type Decision struct {
	Result message.ClaimResult
	Answer *model.Response // the retained response, with ClaimDone
}

// Reply is a late decision, for a claim that waited for another to end.
type Reply struct {
	Holder   Holder
	Key      string
	Decision Decision
}

type recordKey struct {
	slot    model.SlotID
	account model.AccountID
	key     string
}

// record is the state of one key that was granted.
type record struct {
	fingerprint model.Fingerprint
	created     model.WallTime  // of the key
	inProgress  bool            // the holder has not reported an end
	verdict     model.Verdict   // once not in progress
	holder      Holder          // the granted claim
	expires     model.Instant   // of an attempt in progress: its outcome counts as unknown from then on
	waiters     []Holder        // claims that wait for the end
	response    *model.Response // nil if not retained
}

// Records holds the idempotency records of the slots that this host owns. Make
// it with NewRecords.
type Records struct {
	byKey         map[recordKey]*record
	retainedOrder []recordKey // records with a response, in the order of calls of retain
	retainedBytes int         // total size of the retained responses
}

// NewRecords returns an empty set.
func NewRecords() *Records { return &Records{byKey: make(map[recordKey]*record)} }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Bytes returns the size of the retained responses.
func (r *Records) Bytes() int { return r.retainedBytes }

// Claim decides on a claim. term is this host's term as the owner of the slot.
func (r *Records) Claim(now model.Instant, wall model.WallTime, term Term, c Claim) Decision {
	created, err := KeyTime(c.Key)
	if err != nil || created > wall.Add(ClockSkew) {
		return Decision{Result: message.ClaimFromFuture}
	}
	key := recordKey{c.Slot, c.Account, c.Key}
	if known, ok := r.byKey[key]; ok {
		return known.reclaim(now, c)
	}
	if !isProvablyNew(created, wall, term) {
		return Decision{Result: message.ClaimUnknown}
	}
	r.byKey[key] = &record{
		fingerprint: c.Fingerprint,
		created:     created,
		inProgress:  true,
		holder:      c.Holder,
		expires:     now.Add(c.Timeout + reportGrace),
	}
	return Decision{Result: message.ClaimGranted}
}

// isProvablyNew reports whether no earlier owner can have granted the key. The
// previous owner accepted keys up to ClockSkew ahead of its clock, which may
// itself have been ClockSkew ahead of this host's.
func isProvablyNew(created, wall model.WallTime, term Term) bool {
	if created < wall.Add(-Retention) {
		return false
	}
	return term.Continuous || created > term.Began.Add(2*ClockSkew)
}

// reclaim decides on a claim for a key that has a record.
func (rec *record) reclaim(now model.Instant, c Claim) Decision {
	if rec.fingerprint != c.Fingerprint {
		return Decision{Result: message.ClaimMismatch}
	}
	if rec.inProgress && rec.holder == c.Holder {
		return Decision{Result: message.ClaimGranted}
	}
	if rec.inProgress && now < rec.expires {
		rec.addWaiter(c.Holder)
		return Decision{Result: message.ClaimInProgress}
	}
	return rec.outcome()
}

// outcome is the decision for an attempt that has ended or whose outcome counts
// as unknown.
func (rec *record) outcome() Decision {
	switch {
	case rec.inProgress || rec.verdict != model.Ran:
		return Decision{Result: message.ClaimUnknown}
	case rec.response == nil:
		return Decision{Result: message.ClaimDropped}
	default:
		return Decision{Result: message.ClaimDone, Answer: rec.response}
	}
}

// addWaiter adds a claim to the waiters unless it is among them.
func (rec *record) addWaiter(h Holder) {
	for _, w := range rec.waiters {
		if w == h {
			return
		}
	}
	rec.waiters = append(rec.waiters, h)
}

// End records how a granted attempt ended and returns the replies to the claims
// that waited for it. A report from any claim but the present holder is
// ignored: it repeats the end of an earlier attempt.
func (r *Records) End(slot model.SlotID, account model.AccountID, key string, h Holder, verdict model.Verdict, response *model.Response) []Reply {
	k := recordKey{slot, account, key}
	rec, ok := r.byKey[k]
	if !ok || !rec.inProgress || rec.holder != h {
		return nil
	}
	waiting := rec.waiters
	rec.waiters = nil
	if verdict == model.NotRun {
		delete(r.byKey, k)
		return repliesTo(waiting, key, Decision{Result: message.ClaimReleased})
	}
	rec.inProgress = false
	rec.verdict = verdict
	r.retain(k, rec, response)
	return repliesTo(waiting, key, rec.outcome())
}

// repliesTo returns one reply to each waiting claim.
func repliesTo(waiting []Holder, key string, d Decision) []Reply {
	out := make([]Reply, 0, len(waiting))
	for _, h := range waiting {
		out = append(out, Reply{Holder: h, Key: key, Decision: d})
	}
	return out
}

// retain keeps a response for retries. If the total then exceeds
// maxRetainedBytes, it drops the responses that were retained first.
func (r *Records) retain(k recordKey, rec *record, response *model.Response) {
	if response == nil || response.Size() > MaxAnswerBytes {
		return
	}
	rec.response = response
	r.retainedBytes += response.Size()
	r.retainedOrder = append(r.retainedOrder, k)
	for r.retainedBytes > maxRetainedBytes {
		r.dropOldestResponse()
	}
}

func (r *Records) dropOldestResponse() {
	k := r.retainedOrder[0]
	r.retainedOrder = r.retainedOrder[1:]
	if rec, ok := r.byKey[k]; ok {
		r.dropResponse(rec)
	}
}

func (r *Records) dropResponse(rec *record) {
	if rec.response == nil {
		return
	}
	r.retainedBytes -= rec.response.Size()
	rec.response = nil
}

// Expire removes the records whose keys are older than Retention, and returns
// the replies to claims that waited for an attempt whose outcome now counts as
// unknown.
func (r *Records) Expire(now model.Instant, wall model.WallTime) []Reply {
	var out []Reply
	oldest := wall.Add(-Retention - ClockSkew)
	for k, rec := range r.byKey {
		if rec.inProgress && now >= rec.expires {
			out = append(out, repliesTo(rec.waiters, k.key, rec.outcome())...)
			rec.waiters = nil
		}
		isActive := rec.inProgress && now < rec.expires
		if rec.created < oldest && !isActive {
			r.dropResponse(rec)
			delete(r.byKey, k)
		}
	}
	r.compactRetained()
	return out
}

// compactRetained removes records without a response from retainedOrder.
func (r *Records) compactRetained() {
	kept := r.retainedOrder[:0]
	for _, k := range r.retainedOrder {
		if rec, ok := r.byKey[k]; ok && rec.response != nil {
			kept = append(kept, k)
		}
	}
	r.retainedOrder = kept
}
