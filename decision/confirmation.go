package decision

import (
	"time"

	"pollensail.dev/decision/model"
)

// A snapshot with a bound on key revocation (the setting withdrawal) is served
// with bounded staleness: only while the host has a confirmation that no newer
// version existed a short time ago. A confirmation is an answer of the store,
// dated from when the call was sent, or a peer's confirmation, dated by its
// age. An open watch without an event confirms nothing.

const (
	// maxNotFoundAge is how old the confirmation may be when a host answers that
	// a route or a key does not exist.
	maxNotFoundAge = 4 * time.Second
	// revocationGuardDivisor sets the part of the bound, bound/divisor, that is
	// reserved for the time from the decision to the arrival at the server.
	revocationGuardDivisor = 10
	// sampledReadTenths and forcedReadTenths are ages of the confirmation in
	// tenths of the bound. After the first, one host of the fleet on average
	// reads the root in each tick, and heartbeats spread its confirmation. After
	// the second, a host without a newer confirmation reads the root itself.
	sampledReadTenths = 4
	forcedReadTenths  = 5
)

// confirmVersion records a confirmation that no version newer than the given
// one existed at an instant. If a newer version is active by now, it holds for
// that one too; if an older one is, it waits until the version becomes active.
func (s *State) confirmVersion(version uint64, at model.Instant) {
	c := &s.config
	if version > c.root.Version {
		c.pendingConfirmation = versionConfirmation{version, at}
		return
	}
	c.confirmedAt = max(c.confirmedAt, at)
	c.isConfirmed = true
}

// confirmFromPeer records a peer's confirmation of the age that it reported.
// The age counts back from when this host sent its request, so that a late
// answer counts as old.
func (s *State) confirmFromPeer(version uint64, age time.Duration, askedAt model.Instant) {
	if age >= 0 {
		s.confirmVersion(version, askedAt.Add(-age))
	}
}

// versionConfirmation is a confirmation for a version that is not active yet.
type versionConfirmation struct {
	version uint64
	at      model.Instant
}

// applyPendingConfirmation applies the confirmation that arrived before its
// version became active.
func (s *State) applyPendingConfirmation() {
	c := &s.config
	if c.pendingConfirmation.version > 0 && c.pendingConfirmation.version <= c.root.Version {
		s.confirmVersion(c.pendingConfirmation.version, c.pendingConfirmation.at)
	}
}

// confirmationAge returns the age of the confirmation, negative if there is
// none.
func (s *State) confirmationAge() time.Duration {
	if !s.config.isConfirmed {
		return -1
	}
	return s.now.Sub(s.config.confirmedAt)
}

// advertisedConfirmation returns the active version, 0 for none, and the age of
// its confirmation, as other hosts are told of them. The age is valid with
// isConfirmed.
func (s *State) advertisedConfirmation() (version uint64, isConfirmed bool, age time.Duration) {
	if s.snapshot != nil {
		version = s.snapshot.Version
	}
	if age := s.confirmationAge(); age >= 0 {
		return version, true, age
	}
	return version, false, 0
}

// keysValidUntil returns the instant until which keys are accepted on the
// current confirmation.
func (s *State) keysValidUntil() model.Instant {
	bound := s.snapshot.KeyRevocationDelay
	switch {
	case bound <= 0:
		return model.Never
	case !s.config.isConfirmed:
		return 0
	default:
		return s.config.confirmedAt.Add(bound - bound/revocationGuardDivisor)
	}
}

// isConfirmationDue reports whether this host is to read the root because the
// newest confirmation that it has is getting old.
func (s *State) isConfirmationDue() bool {
	if s.snapshot == nil || s.snapshot.KeyRevocationDelay <= 0 {
		return false
	}
	bound := s.snapshot.KeyRevocationDelay
	age := s.confirmationAge()
	switch {
	case age < 0 || age > bound*forcedReadTenths/10:
		return true
	case age > bound*sampledReadTenths/10:
		return s.rand.IntN(len(s.config.peers)+1) == 0
	default:
		return false
	}
}
