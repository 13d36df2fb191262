package configuration

import "maps"

// CanRebuild reports whether the shards of the root and of inner branches are
// the same in both roots, so that the change concerns single objects.
func CanRebuild(old, new Root) bool {
	for _, pair := range [][2]Root{{old, new}, {new, old}} {
		for _, ref := range ChangedShards(pair[0], pair[1]) {
			if IsInnerShard(ref.Name) {
				return false
			}
		}
	}
	return true
}

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

// Rebuild returns a build that starts from the snapshot of old, without the
// objects of the shards that new does not have. CanRebuild must hold. The
// snapshot is not changed.
func Rebuild(snapshot *Snapshot, old, new Root) *Build {
	next := *snapshot
	next.Version = new.Version
	gone := ChangedShards(new, old)
	tops := make(map[string]bool)
	for _, ref := range append(ChangedShards(old, new), gone...) {
		tops[shardTop(ref.Name)] = true
	}
	for top := range tops {
		next.unshare(top)
	}
	for _, ref := range gone {
		next.drop(ref.Name)
	}
	return newBuild(&next, false)
}

// unshare gives the snapshot maps of its own for the objects of a top branch.
func (s *Snapshot) unshare(top string) {
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

// drop removes the objects of a shard.
func (s *Snapshot) drop(shard string) {
	part, _ := rangeOf(shard)
	switch part.top {
	case TopAccounts:
		for id, a := range s.Accounts {
			if part.holds(TopAccounts, string(id)) {
				s.dropAccount(a)
			}
		}
	case TopRoutes:
		for id, r := range s.Routes {
			if part.holds(TopRoutes, string(id)) {
				delete(s.Routes, id)
				s.index.remove(r)
			}
		}
	case TopServices:
		for id := range s.Services {
			if part.holds(TopServices, string(id)) {
				delete(s.Services, id)
			}
		}
	}
}

func (s *Snapshot) dropAccount(a *Account) {
	delete(s.Accounts, a.ID)
	for _, k := range a.Keys {
		delete(s.Keys, k)
	}
}
