package placement

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/model"
)

// Rank returns the servers in the order of their rendezvous hash with the
// host, without repetitions. Hosts have different orders, and a server that
// comes or goes leaves the order of the others unchanged.
func Rank(host model.HostID, servers []model.ServerID) []model.ServerID {
	type scored struct {
		id    model.ServerID
		score uint64
	}
	seed := Hash(string(host), 0)
	all := make([]scored, len(servers))
	for i, id := range servers {
		all[i] = scored{id, Hash(string(id), seed)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
	})
	all = slices.CompactFunc(all, func(a, b scored) bool { return a.id == b.id })
	ranked := make([]model.ServerID, len(all))
	for i, s := range all {
		ranked[i] = s.id
	}
	return ranked
}

// FNV-1a, 64 bits, and the finalizer of SplitMix64. FNV alone spreads short
// strings with a common prefix, such as addresses, poorly over the high bits.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// Hash returns a hash of text that depends on seed. It is the same on every
// host and in every process.
func Hash(text string, seed uint64) uint64 {
	h := uint64(fnvOffset) ^ seed
	for i := range len(text) {
		h ^= uint64(text[i])
		h *= fnvPrime
	}
	h = (h ^ h>>30) * mixFirst
	h = (h ^ h>>27) * mixSecond
	return h ^ h>>31
}

// SubsetSize returns how many of a service's servers each host uses, so that
// hosts × subset ≤ servers × connections: at least 1, at most all. A service
// without a limit of connections (0) is used whole.
func SubsetSize(hosts, servers, connections int) int {
	if connections <= 0 || hosts <= 0 {
		return servers
	}
	return max(min(servers*connections/hosts, servers), min(servers, 1))
}

// ConnectionShare returns how many requests a host may have in flight at one
// server, so that all hosts together keep to the server's connections. It is
// at least 1, and 0 (no limit) for a service without a limit.
func ConnectionShare(hosts, servers, subset, connections int) int {
	if connections <= 0 || hosts <= 0 || subset <= 0 {
		return 0
	}
	return max(servers*connections/(hosts*subset), 1)
}
