package decision

import (
	"fmt"
	"time"

	"pollensail.dev/decision/directory"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Where the configuration sets list_age, the owner of slot 0 in each failure
// domain, called the owner of the watch, follows the platform's list of hosts
// and servers in the store, and the other hosts poll one of these owners for
// changes. A host that gets no answer follows the list itself until it does.
// Calls to the store then grow with the changes and not with changes times
// hosts.

const (
	// listCheckInterval is how often the source of the list is checked.
	listCheckInterval = 100 * time.Millisecond
	// listRequestsPerAge is how many requests a host sends within list_age while
	// they are answered, and listRetriesPerAge how many while they are not, so
	// that it can try the owners in several domains before it follows the list
	// itself.
	listRequestsPerAge = 3
	listRetriesPerAge  = 5
	// listHysteresisDivisor sets the part of list_age, list_age/divisor, for
	// which a host that follows the list itself has to get answers from peers
	// before it relies on them again.
	listHysteresisDivisor = 2
)

// directoryState is the platform's list of hosts and servers, and how this
// host follows it.
type directoryState struct {
	list *directory.State
	// source is where this host gets changes from.
	source listSource
	// followedAt is when the store last answered this host about servers, and
	// freshAt the latest instant at which the list of servers is known to have
	// been up to date.
	followedAt model.Instant
	isFollowed bool // followedAt is set
	freshAt    model.Instant
	isFresh    bool // freshAt is set
	// answeredSince is the start of the current run of answers without a failure;
	// Never: no run.
	answeredSince model.Instant
	// resumedAt is when the list could be followed again after an interruption;
	// valid with hasResumed.
	resumedAt  model.Instant
	hasResumed bool
	request    listRequest
}

// listRequest is the last request for changes.
type listRequest struct {
	sequence  uint64
	at        model.Instant
	isPending bool // no answer has arrived yet
	failures  int  // requests in a row without a usable answer
}

func newDirectoryState() directoryState {
	return directoryState{list: directory.New(), answeredSince: model.Never}
}

func (s *State) startDirectory() { s.setDirectoryTimer() }

func (s *State) setDirectoryTimer() {
	s.timers.Set(timerKey{kind: timerDirectory}, s.now.Add(listCheckInterval))
}

// listAge returns the maximum age of the list; 0 where each host follows it in
// the store.
func (s *State) listAge() time.Duration {
	if s.snapshot == nil {
		return 0
	}
	return s.snapshot.ListAge
}

func (s *State) onDirectoryTimer() {
	s.setDirectoryTimer()
	d := &s.directory
	if s.listAge() <= 0 || !d.list.IsKnown() {
		return
	}
	if s.reliesOnPeers() {
		s.requestList()
	}
	s.chooseSource()
}

// reliesOnPeers reports whether this host depends on others for the list. The
// owner of the watch does while the store does not answer it.
func (s *State) reliesOnPeers() bool {
	d := &s.directory
	return !s.ownsSlot0() || !d.isFollowed || s.now.Sub(d.followedAt) > s.listAge()/2
}

// chooseSource decides whether this host follows the list in the store or
// polls a peer.
func (s *State) chooseSource() {
	d := &s.directory
	switch {
	case s.ownsSlot0():
		s.setListSource(sourceStoreShared, "owner of the watch")
	case !s.isListFresh():
		s.setListSource(sourceStore, fmt.Sprintf("no host that follows it has answered for %v", s.now.Sub(d.freshAt).Round(listCheckInterval)))
	case d.answeredSince != model.Never && s.now.Sub(d.answeredSince) >= s.listAge()/listHysteresisDivisor:
		s.setListSource(sourcePeers, "they answer")
	}
}

func (s *State) setListSource(source listSource, reason string) {
	d := &s.directory
	if d.source == source {
		return
	}
	d.source = source
	s.emitNotice(effect.NoticeList, source.String()+": "+reason)
	s.emit(effect.WatchHostList{
		IsOn:            source != sourcePeers,
		IsForOthers:     source == sourceStoreShared,
		HostsRevision:   d.list.Revision(model.RoleEntry),
		ServersRevision: d.list.Revision(model.RoleBackend),
	})
}

// listSource is where a host gets changes of the list from.
type listSource uint8

const (
	sourceStore       listSource = iota // the host follows the list in the store
	sourceStoreShared                   // the same, and other hosts poll it
	sourcePeers                         // the host polls one that follows the list
)

// String returns the name used in notices.
func (l listSource) String() string {
	switch l {
	case sourcePeers:
		return "peers"
	case sourceStoreShared:
		return "store, for others"
	default:
		return "store"
	}
}

// isListFresh reports whether the list of servers was up to date within
// list_age.
func (s *State) isListFresh() bool {
	d := &s.directory
	return d.isFresh && s.now.Sub(d.freshAt) <= s.listAge()
}

// onHostListSynced handles an answer of the store.
func (s *State) onHostListSynced(e event.HostListSynced) {
	d := &s.directory
	isResumed := e.Resumed && (s.listAge() <= 0 || !s.isListFresh())
	if isResumed {
		d.resumedAt, d.hasResumed = s.now, true
	}
	if e.Changes.Role == model.RoleBackend {
		d.followedAt, d.isFollowed = s.now, true
		s.markListFresh(s.now)
	}
	s.applyListChanges([]model.ListChanges{e.Changes}, isResumed, s.now)
}

func (s *State) markListFresh(at model.Instant) {
	d := &s.directory
	if !d.isFresh || at > d.freshAt {
		d.freshAt, d.isFresh = at, true
		s.servers.hostSets.Confirm(at)
	}
}

// applyListChanges applies changes and puts the list into use. resumedAt is
// valid with isResumed.
func (s *State) applyListChanges(changes []model.ListChanges, isResumed bool, resumedAt model.Instant) {
	d := &s.directory
	isChanged := false
	for _, c := range changes {
		isChanged = d.list.Apply(c) || isChanged
	}
	if isResumed {
		s.retainAbsentServers(resumedAt)
	}
	if (isChanged || isResumed) && d.list.IsKnown() {
		s.applyHostList(d.list.Entries())
	}
}

// requestList requests changes from a host that follows the list, if it is
// time to.
func (s *State) requestList() {
	d := &s.directory
	interval := s.listAge() / listRequestsPerAge
	if d.request.isPending || d.request.failures > 0 {
		interval = s.listAge() / listRetriesPerAge
	}
	if s.now.Sub(d.request.at) < interval {
		return
	}
	if d.request.isPending {
		s.recordListFailure()
	}
	s.sendListRequest()
}

// sendListRequest asks the owner of a watch for changes.
func (s *State) sendListRequest() {
	d := &s.directory
	to, ok := s.listProvider()
	if !ok {
		d.answeredSince = model.Never
		return
	}
	d.request.sequence++
	d.request.at, d.request.isPending = s.now, true
	s.send(to, message.ListAsk{
		Sequence:        d.request.sequence,
		HostsRevision:   d.list.Revision(model.RoleEntry),
		ServersRevision: d.list.Revision(model.RoleBackend),
	})
}

// askNextListProvider asks the owner in the next failure domain at once, after one has
// answered that it does not follow the list, until each domain was tried.
func (s *State) askNextListProvider() {
	if s.snapshot != nil && s.directory.request.failures < len(s.snapshot.Domains) {
		s.sendListRequest()
	}
}

func (s *State) recordListFailure() {
	d := &s.directory
	d.request.isPending = false
	d.request.failures++
	d.answeredSince = model.Never
}

// listProvider returns the host to poll: the owner of the watch in this host's
// failure domain, and after each failure that of the next domain.
func (s *State) listProvider() (model.HostID, bool) {
	domains := s.snapshot.Domains
	own := 0
	for i, domain := range domains {
		if domain == s.domain {
			own = i
		}
	}
	for i := range domains {
		next := domains[(own+s.directory.request.failures+i)%len(domains)]
		owner, ok := s.slotOwner(model.SlotID{Domain: next})
		if ok && owner.ID != s.self.ID {
			return owner.ID, true
		}
	}
	return "", false
}

// onListAsk answers with what changed, if this host follows the list.
func (s *State) onListAsk(from model.HostRef, m message.ListAsk) {
	d := &s.directory
	answer := message.ListAnswer{Sequence: m.Sequence}
	if d.source != sourcePeers && d.isFollowed && s.now.Sub(d.followedAt) <= s.listAge() {
		answer.IsFollowed = true
		answer.Age = s.now.Sub(d.followedAt)
		answer.Changes = s.changesSince(m)
		answer.Version, answer.Confirmed, answer.ConfigAge = s.advertisedConfirmation()
		answer.Resumed = d.hasResumed
		answer.ResumedAge = s.now.Sub(d.resumedAt)
	}
	s.send(from.ID, answer)
}

func (s *State) changesSince(m message.ListAsk) []model.ListChanges {
	var changes []model.ListChanges
	known := map[model.Role]uint64{
		model.RoleEntry:   m.HostsRevision,
		model.RoleBackend: m.ServersRevision,
	}
	for _, role := range directory.Roles {
		if c, ok := s.directory.list.ChangesSince(role, known[role]); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// onListAnswer applies changes from a peer. The list was up to date when the
// peer had its answer from the store, at most Age before this host sent its
// request.
func (s *State) onListAnswer(from model.HostRef, m message.ListAnswer) {
	d := &s.directory
	if !d.request.isPending || m.Sequence != d.request.sequence {
		return
	}
	if !m.IsFollowed || m.Age < 0 {
		s.recordListFailure()
		s.askNextListProvider()
		return
	}
	d.request.isPending = false
	d.request.failures = 0
	if d.answeredSince == model.Never {
		d.answeredSince = s.now
	}
	isResumed := m.Resumed && m.ResumedAge < relistGrace && !s.isListFresh()
	if isResumed {
		d.resumedAt, d.hasResumed = s.now.Add(-m.ResumedAge), true
	}
	if m.Confirmed {
		s.confirmFromPeer(m.Version, m.ConfigAge, d.request.at)
	}
	s.onPeerVersion(from, m.Version)
	s.markListFresh(d.request.at.Add(-m.Age))
	s.applyListChanges(m.Changes, isResumed, d.resumedAt)
}
