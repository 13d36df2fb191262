package idempotency

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Export returns the records of a slot for its next owner, sorted by account
// and key.
func (r *Records) Export(now model.Instant, slot model.SlotID) []message.ClaimState {
	var states []message.ClaimState
	for k, rec := range r.byKey {
		if k.slot == slot {
			states = append(states, rec.export(now, k))
		}
	}
	slices.SortFunc(states, func(a, b message.ClaimState) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Key, b.Key))
	})
	return states
}

func (rec *record) export(now model.Instant, k recordKey) message.ClaimState {
	return message.ClaimState{
		Account:     k.account,
		Key:         k.key,
		Fingerprint: rec.fingerprint,
		Verdict:     rec.verdict,
		InProgress:  rec.inProgress,
		Holder:      rec.holder.Host,
		Ask:         rec.holder.Ask,
		Expires:     rec.expires.Sub(now),
		Answer:      rec.response,
	}
}

// Import replaces the records of a slot by those of its previous owner.
func (r *Records) Import(now model.Instant, slot model.SlotID, states []message.ClaimState) {
	r.Drop(slot)
	for _, state := range states {
		r.restore(now, slot, state)
	}
}

func (r *Records) restore(now model.Instant, slot model.SlotID, state message.ClaimState) {
	created, err := KeyTime(state.Key)
	if err != nil {
		return
	}
	k := recordKey{slot, state.Account, state.Key}
	rec := &record{
		fingerprint: state.Fingerprint,
		created:     created,
		inProgress:  state.InProgress,
		verdict:     state.Verdict,
		holder:      Holder{state.Holder, state.Ask},
		expires:     now.Add(state.Expires),
	}
	r.byKey[k] = rec
	r.retain(k, rec, state.Answer)
}

// Drop removes the records of a slot that this host does not own any more. The
// replies direct the waiting claims to the new owner.
func (r *Records) Drop(slot model.SlotID) []Reply {
	var out []Reply
	for k, rec := range r.byKey {
		if k.slot != slot {
			continue
		}
		out = append(out, repliesTo(rec.waiters, k.key, Decision{Result: message.ClaimNotOwner})...)
		r.dropResponse(rec)
		delete(r.byKey, k)
	}
	r.compactRetained()
	return out
}
