package decision

import "pollensail.dev/decision/configuration"

// SnapshotOf returns the active snapshot, nil if there is none.
func SnapshotOf(s *State) *configuration.Snapshot { return s.snapshot }
