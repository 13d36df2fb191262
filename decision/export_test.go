package decision

import "pollensail.dev/decision/configuration"

// SetSnapshot puts a configuration into force without a store.
func SetSnapshot(s *State, snapshot *configuration.Snapshot) { s.snapshot = snapshot }
