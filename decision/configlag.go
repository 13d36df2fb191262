package decision

import (
	"fmt"
	"time"

	"pollensail.dev/decision/model"
)

// maxLearnedVersions bounds the versions whose time of arrival is kept. A host that is
// further behind keeps the oldest ones, which determine its lag.
const maxLearnedVersions = 64

// learnedVersion is a version and when this host learned of it.
type learnedVersion struct {
	version uint64
	at      model.Instant
}

// versionLag measures how long this host knows of a newer version before it has one in
// force. The zero value knows of no version.
type versionLag struct {
	learned []learnedVersion // above the active version, ascending in version and time
	longest time.Duration    // until a newer version was in force, since the start
}

func (l *versionLag) learn(version uint64, now model.Instant) {
	n := len(l.learned)
	isNewest := n == 0 || version > l.learned[n-1].version
	if isNewest && n < maxLearnedVersions {
		l.learned = append(l.learned, learnedVersion{version, now})
	}
}

// advance records that a version is in force, and returns how long ago this host learned
// of a version that was newer than the one before.
func (l *versionLag) advance(version uint64, now model.Instant) time.Duration {
	if len(l.learned) == 0 || l.learned[0].version > version {
		return 0
	}
	lag := now.Sub(l.learned[0].at)
	l.longest = max(l.longest, lag)
	l.forget(version)
	return lag
}

// forget removes the versions up to the given one.
func (l *versionLag) forget(version uint64) {
	for len(l.learned) > 0 && l.learned[0].version <= version {
		l.learned = l.learned[1:]
	}
}

// fetchCounts counts the requests for roots and shards since a version was last put in
// force, so that the log of a late host says what it waited for.
type fetchCounts struct {
	sent       int // to peers and to the store
	unanswered int // in time
	failed     int // reads that the store did not answer with the content
}

// describeAdvance returns the detail of the notice that a version is in force. source is
// the peer that offered it, empty for the store.
func (s *State) describeAdvance(before, version uint64, source model.HostID, lag time.Duration) string {
	from := "the store"
	if source != "" {
		from = string(source)
	}
	n := s.config.fetches
	return fmt.Sprintf("version %d, %v after a version above %d was known; from %s; %d requests, %d unanswered, %d failed reads",
		version, lag, before, from, n.sent, n.unanswered, n.failed)
}

// count returns how many versions up to the given one are known that are not in force.
func (l *versionLag) count(version uint64) int {
	n := 0
	for n < len(l.learned) && l.learned[n].version <= version {
		n++
	}
	return n
}

// current returns how long this host has known of a newer version than the active one.
func (l *versionLag) current(now model.Instant) time.Duration {
	if len(l.learned) == 0 {
		return 0
	}
	return now.Sub(l.learned[0].at)
}
