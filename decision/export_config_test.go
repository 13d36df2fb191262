package decision

import "pollensail.dev/decision/configuration"

// SnapshotOf returns the snapshot in force, nil where there is none.
func SnapshotOf(s *State) *configuration.Snapshot { return s.snapshot }
