package decision

import (
	"time"

	"pollensail.dev/decision/model"
)

// A snapshot with a bound on the withdrawal of keys is served only while the
// host has proof that no newer version existed a short time ago: an answer of
// the store, counted from when the call left, or a peer's proof by its age. An
// open watch that says nothing is no proof.

const (
	// confirmedFor is how old the proof may be with which a host says that a
	// route or a key does not exist.
	confirmedFor = 4 * time.Second
	// withdrawalGuard is the part of the bound that is left for the way from
	// the decision to the server.
	withdrawalGuard = 10
	// readSomeAfter and readAfter are the parts of the bound, in tenths, after
	// which one host of the fleet and each host reads the root itself. In
	// between, one host's proof reaches the others by heartbeats.
	readSomeAfter = 4
	readAfter     = 5
)

// confirmVersion takes a proof that no version newer than the given one existed
// at an instant. It also holds for a newer version in force.
func (s *State) confirmVersion(version uint64, at model.Instant) {
	c := &s.config
	if version > c.root.Version {
		c.proof = versionProof{version, at}
		return
	}
	c.confirmedAt = max(c.confirmedAt, at)
	c.isConfirmed = true
}

// hearConfirmation takes a proof of another host with the age that it told. The
// age counts from when this host asked, so that a late answer counts as old.
func (s *State) hearConfirmation(version uint64, age time.Duration, askedAt model.Instant) {
	if age >= 0 {
		s.confirmVersion(version, askedAt.Add(-age))
	}
}

// versionProof is a proof for a version that is not in force yet.
type versionProof struct {
	version uint64
	at      model.Instant
}

// applyProof takes the proof that came with a version once it is in force.
func (s *State) applyProof() {
	c := &s.config
	if c.proof.version > 0 && c.proof.version <= c.root.Version {
		s.confirmVersion(c.proof.version, c.proof.at)
	}
}

// confirmationAge returns the age of the proof, negative where there is none.
func (s *State) confirmationAge() time.Duration {
	if !s.config.isConfirmed {
		return -1
	}
	return s.now.Sub(s.config.confirmedAt)
}

// confirmation returns what other hosts are told of the version in force, 0 for
// none: that no newer one existed the returned time ago, if that is confirmed.
func (s *State) confirmation() (version uint64, isConfirmed bool, age time.Duration) {
	if s.snapshot != nil {
		version = s.snapshot.Version
	}
	if age := s.confirmationAge(); age >= 0 {
		return version, true, age
	}
	return version, false, 0
}

// keysUntil returns the instant until which keys are accepted on the present
// proof.
func (s *State) keysUntil() model.Instant {
	bound := s.snapshot.Withdrawal
	switch {
	case bound <= 0:
		return model.Never
	case !s.config.isConfirmed:
		return 0
	default:
		return s.config.confirmedAt.Add(bound - bound/withdrawalGuard)
	}
}

// isConfirmationDue reports whether this host is to read the root because the
// newest proof that it has heard of grows old.
func (s *State) isConfirmationDue() bool {
	if s.snapshot == nil || s.snapshot.Withdrawal <= 0 {
		return false
	}
	bound := s.snapshot.Withdrawal
	age := s.confirmationAge()
	switch {
	case age < 0 || age > bound*readAfter/10:
		return true
	case age > bound*readSomeAfter/10:
		return s.rand.IntN(len(s.config.peers)+1) == 0
	default:
		return false
	}
}
