package placement

import (
	"cmp"
	"slices"

	"pollensail.dev/decision/model"
)

// Rank returns the servers in the order of rendezvous (highest random weight)
// hashing for the host, without duplicates. Different hosts get different
// orders, and adding or removing a server leaves the order of the others
// unchanged.
func Rank(host model.HostID, servers []model.ServerID) []model.ServerID {
	type scored struct {
		id    model.ServerID
		score uint64
	}
	seed := Hash(string(host), 0)
	byScore := make([]scored, len(servers))
	for i, id := range servers {
		byScore[i] = scored{id, Hash(string(id), seed)}
	}
	slices.SortFunc(byScore, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.id, b.id))
	})
	byScore = slices.CompactFunc(byScore, func(a, b scored) bool { return a.id == b.id })
	ranked := make([]model.ServerID, len(byScore))
	for i, s := range byScore {
		ranked[i] = s.id
	}
	return ranked
}

// Constants of 64-bit FNV-1a and of the finalizer of SplitMix64. FNV alone
// spreads short strings with a common prefix, such as addresses, poorly over
// the high bits.
const (
	fnvOffset      = 14695981039346656037
	fnvPrime       = 1099511628211
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// Hash returns a hash of text that depends on seed. It is the same on every
// host and in every process.
func Hash(text string, seed uint64) uint64 {
	h := uint64(fnvOffset) ^ seed
	for i := range len(text) {
		h ^= uint64(text[i])
		h *= fnvPrime
	}
	return mixHash(h)
}

// mixHash spreads the bits of a hash, or of two that were combined.
func mixHash(h uint64) uint64 {
	h = (h ^ h>>30) * mixMultiplier1
	h = (h ^ h>>27) * mixMultiplier2
	return h ^ h>>31
}

// SubsetSize returns how many of a service's servers each host uses, so that
// hosts × subset ≤ servers × connections: at least 1, at most all. For a
// service without a limit of connections (0) it returns all.
func SubsetSize(hosts, servers, connections int) int {
	if connections <= 0 || hosts <= 0 {
		return servers
	}
	return max(min(servers*connections/hosts, servers), min(servers, 1))
}

// ConnectionShare returns how many requests a host may have in flight at one
// server, so that all hosts together stay within the server's limit of
// connections. It is at least 1; for a service without a limit it is 0 (no
// limit).
func ConnectionShare(hosts, servers, subset, connections int) int {
	if connections <= 0 || hosts <= 0 || subset <= 0 {
		return 0
	}
	return max(servers*connections/(hosts*subset), 1)
}
