package configuration

import "maps"

// CanCompileIncrementally reports whether NewIncrementalCompiler can compile
// the new tree: the shards of the root branch and of inner branches are the
// same in both roots, so that only objects change.
func CanCompileIncrementally(old, new Root) bool {
	for _, pair := range [][2]Root{{old, new}, {new, old}} {
		for _, ref := range ChangedShards(pair[0], pair[1]) {
			if IsInnerShard(ref.Name) {
				return false
			}
		}
	}
	return true
}

// CanBeBase reports whether an incremental compiler may start from the snapshot,
// which may be nil. Which objects are unusable can depend on any other object.
func (s *Snapshot) CanBeBase() bool { return s != nil && !s.HasProblems }

// ChangedShards returns the shards of new that old does not have.
func ChangedShards(old, new Root) []ShardRef {
	known := make(map[ShardRef]bool, len(old.Shards))
	for _, ref := range old.Shards {
		known[ref] = true
	}
	var changed []ShardRef
	for _, ref := range new.Shards {
		if !known[ref] {
			changed = append(changed, ref)
		}
	}
	return changed
}

// NewIncrementalCompiler returns a compiler that starts from the snapshot of
// old, without the objects of the shards that new does not have. The caller
// adds the ChangedShards of new. CanCompileIncrementally and CanBeBase must be true. The
// snapshot is copied on write, so it does not change.
func NewIncrementalCompiler(snapshot *Snapshot, old, new Root) *Compiler {
	next := *snapshot
	next.Version = new.Version
	removed := ChangedShards(new, old)
	tops := make(map[string]bool)
	for _, ref := range append(ChangedShards(old, new), removed...) {
		tops[shardTop(ref.Name)] = true
	}
	for top := range tops {
		next.cloneMaps(top)
	}
	for _, ref := range removed {
		next.removeShard(ref.Name)
	}
	return newCompiler(&next, false)
}

// cloneMaps replaces the snapshot's maps of the objects below a top branch with
// copies that can be changed.
func (s *Snapshot) cloneMaps(top string) {
	switch top {
	case TopAccounts:
		s.Accounts = maps.Clone(s.Accounts)
		s.Keys = maps.Clone(s.Keys)
	case TopRoutes:
		s.Routes = maps.Clone(s.Routes)
		s.index.byKey = maps.Clone(s.index.byKey)
	case TopServices:
		s.Services = maps.Clone(s.Services)
	}
}

// removeShard removes the objects of a shard.
func (s *Snapshot) removeShard(shard string) {
	part, _ := parseShardName(shard)
	switch part.top {
	case TopAccounts:
		for id, a := range s.Accounts {
			if part.contains(TopAccounts, string(id)) {
				s.removeAccount(a)
			}
		}
	case TopRoutes:
		for id, r := range s.Routes {
			if part.contains(TopRoutes, string(id)) {
				delete(s.Routes, id)
				s.index.remove(r)
			}
		}
	case TopServices:
		for id := range s.Services {
			if part.contains(TopServices, string(id)) {
				delete(s.Services, id)
			}
		}
	}
}

func (s *Snapshot) removeAccount(a *Account) {
	delete(s.Accounts, a.ID)
	for _, k := range a.Keys {
		delete(s.Keys, k)
	}
}
