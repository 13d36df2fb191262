package idempotency

import (
	"time"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	// Retention is how long after its creation a key is remembered. Older keys
	// are answered as unknown.
	Retention = 10 * time.Minute
	// ClockSkew is the largest difference between the wall clocks of two hosts
	// that the design allows for.
	ClockSkew = time.Second
	// endGrace is how long after its timeout a use may still report its end
	// before it counts as unknown.
	endGrace = time.Second
	// MaxAnswerBytes bounds one retained answer.
	MaxAnswerBytes = 64 << 10
	// maxRetainedBytes bounds the retained answers of a host. The oldest are
	// dropped first; their records stay.
	maxRetainedBytes = 4 << 20
)

// Term describes how this host came to own a slot.
type Term struct {
	// Began is the owner's wall clock at the start of the term.
	Began model.WallTime
	// Continuous is true where the records of all terms before are at hand.
	Continuous bool
}

// Holder is one claim of one host.
type Holder struct {
	Host model.HostRef
	Ask  uint64
}

// Claim asks for the right to forward the request of a key.
type Claim struct {
	Slot        model.SlotID
	Account     model.AccountID
	Key         string
	Fingerprint model.Fingerprint
	Holder      Holder
	Timeout     time.Duration
}

// Decision answers a claim.
type Decision struct {
	Result message.ClaimResult
	Answer *model.Answer // with ClaimDone
}

// Reply is a decision for a claim that waited.
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

type record struct {
	fingerprint model.Fingerprint
	created     model.WallTime // of the key
	inProgress  bool
	verdict     model.Verdict // of an ended use
	holder      Holder
	expires     model.Instant // of a use in progress
	waiting     []Holder
	answer      *model.Answer
}

// Records are the idempotency records of the slots that a host owns. Make it
// with NewRecords.
type Records struct {
	byKey    map[recordKey]*record
	retained []recordKey // records with an answer, oldest first
	bytes    int         // of retained answers
}

// NewRecords returns an empty set.
func NewRecords() *Records { return &Records{byKey: make(map[recordKey]*record)} }

// Len returns the number of records.
func (r *Records) Len() int { return len(r.byKey) }

// Bytes returns the size of the retained answers.
func (r *Records) Bytes() int { return r.bytes }

// Claim decides on a claim at an owner with the given term.
func (r *Records) Claim(now model.Instant, wall model.WallTime, term Term, c Claim) Decision {
	created, err := KeyTime(c.Key)
	if err != nil || created > wall.Add(ClockSkew) {
		return Decision{Result: message.ClaimFromFuture}
	}
	key := recordKey{c.Slot, c.Account, c.Key}
	if known, ok := r.byKey[key]; ok {
		return known.claimAgain(now, c)
	}
	if !isProvablyNew(created, wall, term) {
		return Decision{Result: message.ClaimUnknown}
	}
	r.byKey[key] = &record{
		fingerprint: c.Fingerprint,
		created:     created,
		inProgress:  true,
		holder:      c.Holder,
		expires:     now.Add(c.Timeout + endGrace),
	}
	return Decision{Result: message.ClaimGranted}
}

// isProvablyNew reports whether no owner can have granted the key before. An
// owner before this term accepted keys up to ClockSkew ahead of its clock,
// which may itself have been ClockSkew ahead of ours.
func isProvablyNew(created, wall model.WallTime, term Term) bool {
	if created < wall.Add(-Retention) {
		return false
	}
	return term.Continuous || created > term.Began.Add(2*ClockSkew)
}

// claimAgain decides on a claim for a key that has a record.
func (rec *record) claimAgain(now model.Instant, c Claim) Decision {
	if rec.fingerprint != c.Fingerprint {
		return Decision{Result: message.ClaimMismatch}
	}
	if rec.inProgress && rec.holder == c.Holder {
		return Decision{Result: message.ClaimGranted}
	}
	if rec.inProgress && now < rec.expires {
		rec.wait(c.Holder)
		return Decision{Result: message.ClaimInProgress}
	}
	return rec.outcome()
}

// outcome is the decision for a use that has ended or counts as unknown.
func (rec *record) outcome() Decision {
	switch {
	case rec.inProgress || rec.verdict != model.Ran:
		return Decision{Result: message.ClaimUnknown}
	case rec.answer == nil:
		return Decision{Result: message.ClaimDropped}
	default:
		return Decision{Result: message.ClaimDone, Answer: rec.answer}
	}
}

func (rec *record) wait(h Holder) {
	for _, w := range rec.waiting {
		if w == h {
			return
		}
	}
	rec.waiting = append(rec.waiting, h)
}

// End records how a granted use ended and returns the replies to the claims
// that waited for it. A report of another claim than the holder's changes
// nothing: it belongs to a use that ended before.
func (r *Records) End(slot model.SlotID, account model.AccountID, key string, h Holder, verdict model.Verdict, answer *model.Answer) []Reply {
	k := recordKey{slot, account, key}
	rec, ok := r.byKey[k]
	if !ok || !rec.inProgress || rec.holder != h {
		return nil
	}
	waiting := rec.waiting
	rec.waiting = nil
	if verdict == model.NotRun {
		delete(r.byKey, k)
		return replies(waiting, key, Decision{Result: message.ClaimReleased})
	}
	rec.inProgress = false
	rec.verdict = verdict
	r.retain(k, rec, answer)
	return replies(waiting, key, rec.outcome())
}

func replies(waiting []Holder, key string, d Decision) []Reply {
	out := make([]Reply, 0, len(waiting))
	for _, h := range waiting {
		out = append(out, Reply{Holder: h, Key: key, Decision: d})
	}
	return out
}

// retain keeps an answer for retries and drops the oldest beyond the bound.
func (r *Records) retain(k recordKey, rec *record, answer *model.Answer) {
	if answer == nil || answer.Size() > MaxAnswerBytes {
		return
	}
	rec.answer = answer
	r.bytes += answer.Size()
	r.retained = append(r.retained, k)
	for r.bytes > maxRetainedBytes {
		r.dropOldestAnswer()
	}
}

func (r *Records) dropOldestAnswer() {
	k := r.retained[0]
	r.retained = r.retained[1:]
	if rec, ok := r.byKey[k]; ok {
		r.dropAnswer(rec)
	}
}

func (r *Records) dropAnswer(rec *record) {
	if rec.answer == nil {
		return
	}
	r.bytes -= rec.answer.Size()
	rec.answer = nil
}

// Expire removes the records whose keys are older than the retention and
// returns replies for claims that waited for a use that counts as unknown.
func (r *Records) Expire(now model.Instant, wall model.WallTime) []Reply {
	var out []Reply
	oldest := wall.Add(-Retention - ClockSkew)
	for k, rec := range r.byKey {
		if rec.inProgress && now >= rec.expires {
			out = append(out, replies(rec.waiting, k.key, rec.outcome())...)
			rec.waiting = nil
		}
		isActive := rec.inProgress && now < rec.expires
		if rec.created < oldest && !isActive {
			r.dropAnswer(rec)
			delete(r.byKey, k)
		}
	}
	r.forgetDropped()
	return out
}

// forgetDropped removes from the retention order what has no answer any more.
func (r *Records) forgetDropped() {
	kept := r.retained[:0]
	for _, k := range r.retained {
		if rec, ok := r.byKey[k]; ok && rec.answer != nil {
			kept = append(kept, k)
		}
	}
	r.retained = kept
}
