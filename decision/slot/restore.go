package slot

import "pollensail.dev/decision/model"

// A store that comes back from an older copy loses what it has acknowledged since. A
// slot's record may then be missing, or name an earlier owner, while the present owner
// acts on. So a record that was not written since the last restore proves nothing about
// the owner: a claimant collects acknowledgements and waits as for an owner that is
// silent, and takes a term above all of before. The owner writes its record again,
// unless its authority ended so long ago that another host may have claimed the slot by a
// record that is lost too; then it gives way.

// termsPerRestore is the distance between the first terms after two restores. Terms that
// the store has lost are therefore not given out again.
const termsPerRestore = 1 << 16

// maxTermRestores bounds the restores that count for terms, so that terms fit into 32
// bits.
const maxTermRestores = 1 << 15

// observeRestores records how often the store has come back, as far as a host knows.
func (s *State) observeRestores(n uint64) { s.restores = max(s.restores, n) }

// isCurrent reports whether the record is in the store and was written since the last
// known restore, so that no later change of it is lost.
func (s *State) isCurrent(record model.SlotRecord, version uint64) bool {
	return version != 0 && record.Restores >= s.restores
}

// nextTerm returns the term of a claim that follows the given record, if any.
func (s *State) nextTerm(v *slot, before model.SlotRecord, version uint64) uint64 {
	term := max(before.Term, v.term, v.claim.knownTerm) + 1
	if s.isCurrent(before, version) {
		return term
	}
	return max(term, min(s.restores, maxTermRestores)*termsPerRestore)
}
