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

// Where the root sets list_age, the owner of the watch in each failure domain
// follows the platform's list of hosts and servers in the store, and the other
// hosts ask one of them for changes. A host that gets no answer follows the list
// itself until it does. Calls to the store then grow with the changes and not with
// changes times hosts.

const (
	// listTick is how often the source of the list is looked at.
	listTick = 100 * time.Millisecond
	// listAsks is how many questions a host asks within list_age while they are
	// answered, and listTries how many while they are not, so that it can try the
	// owners in several domains before it follows the list itself.
	listAsks  = 3
	listTries = 5
	// listHysteresis is how long, in parts of list_age, answers have to come
	// before a host that follows the list itself relies on them.
	listHysteresis = 2
)

// directoryState is the platform's list and how this host follows it.
type directoryState struct {
	list *directory.State
	// source is where this host learns of changes.
	source listSource
	// followedAt is when the store last answered this host about servers, and
	// freshAt an instant at which the list of servers was up to date.
	followedAt model.Instant
	isFollowed bool // followedAt is set
	freshAt    model.Instant
	isFresh    bool // freshAt is set
	// answeredSince is since when answers have come without a gap.
	answeredSince model.Instant
	// resumedAt is when the list could be followed again after a time in which
	// it could not; valid with hasResumed.
	resumedAt  model.Instant
	hasResumed bool
	ask        listAsk
}

// listAsk is the last question for changes.
type listAsk struct {
	sequence uint64
	at       model.Instant
	isOpen   bool // no answer came yet
	failures int  // questions in a row without an answer of use
}

func newDirectoryState() directoryState {
	return directoryState{list: directory.New(), answeredSince: model.Never}
}

func (s *State) startDirectory() { s.setDirectoryTimer() }

func (s *State) setDirectoryTimer() {
	s.timers.Set(timerKey{kind: timerDirectory}, s.now.Add(listTick))
}

// listAge returns how old the list may be; 0 where each host follows it.
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
	if s.needsAnswers() {
		s.askList()
	}
	s.chooseSource()
}

// needsAnswers reports whether this host relies on others for the list. The owner
// of the watch does while the store does not answer it.
func (s *State) needsAnswers() bool {
	d := &s.directory
	return !s.ownsSlot0() || !d.isFollowed || s.now.Sub(d.followedAt) > s.listAge()/2
}

// chooseSource decides whether this host follows the list in the store.
func (s *State) chooseSource() {
	d := &s.directory
	switch {
	case s.ownsSlot0():
		s.followList(storeForOthers, "owner of the watch")
	case !s.isListFresh():
		s.followList(storeAlone, fmt.Sprintf("no host that follows it has answered for %v", s.now.Sub(d.freshAt).Round(listTick)))
	case d.answeredSince != model.Never && s.now.Sub(d.answeredSince) >= s.listAge()/listHysteresis:
		s.followList(peers, "they answer")
	}
}

func (s *State) followList(source listSource, reason string) {
	d := &s.directory
	if d.source == source {
		return
	}
	d.source = source
	s.notice(effect.NoticeList, source.String()+": "+reason)
	s.emit(effect.FollowList{
		IsOn:            source != peers,
		IsForOthers:     source == storeForOthers,
		HostsRevision:   d.list.Revision(model.RoleEntry),
		ServersRevision: d.list.Revision(model.RoleBackend),
	})
}

// listSource is where a host learns of changes of the list.
type listSource uint8

const (
	storeAlone     listSource = iota // it follows the list in the store
	storeForOthers                   // the same, and other hosts ask it
	peers                            // it asks a host that follows the list
)

// String returns the name in logs.
func (l listSource) String() string {
	switch l {
	case peers:
		return "peers"
	case storeForOthers:
		return "store, for others"
	default:
		return "store"
	}
}

// isListFresh reports whether the list of servers was up to date of late.
func (s *State) isListFresh() bool {
	d := &s.directory
	return d.isFresh && s.now.Sub(d.freshAt) <= s.listAge()
}

// onListFollowed takes an answer of the store.
func (s *State) onListFollowed(e event.ListFollowed) {
	d := &s.directory
	isResumed := e.Resumed && (s.listAge() <= 0 || !s.isListFresh())
	if isResumed {
		d.resumedAt, d.hasResumed = s.now, true
	}
	if e.Changes.Role == model.RoleBackend {
		d.followedAt, d.isFollowed = s.now, true
		s.freshList(s.now)
	}
	s.takeListChanges([]model.ListChanges{e.Changes}, isResumed, s.now)
}

func (s *State) freshList(at model.Instant) {
	d := &s.directory
	if !d.isFresh || at > d.freshAt {
		d.freshAt, d.isFresh = at, true
	}
}

// takeListChanges takes changes and puts the list into use. resumedAt counts
// where isResumed.
func (s *State) takeListChanges(changes []model.ListChanges, isResumed bool, resumedAt model.Instant) {
	d := &s.directory
	isChanged := false
	for _, c := range changes {
		isChanged = d.list.Take(c) || isChanged
	}
	if isResumed {
		s.listResumed(resumedAt)
	}
	if (isChanged || isResumed) && d.list.IsKnown() {
		s.takeHostList(d.list.Entries())
	}
}

// askList asks a host that follows the list for changes, if it is time to.
func (s *State) askList() {
	d := &s.directory
	pause := s.listAge() / listAsks
	if d.ask.isOpen || d.ask.failures > 0 {
		pause = s.listAge() / listTries
	}
	if s.now.Sub(d.ask.at) < pause {
		return
	}
	if d.ask.isOpen {
		s.listUnanswered()
	}
	to, ok := s.listOwner()
	if !ok {
		d.answeredSince = model.Never
		return
	}
	d.ask.sequence++
	d.ask.at, d.ask.isOpen = s.now, true
	s.send(to, message.ListAsk{
		Sequence:        d.ask.sequence,
		HostsRevision:   d.list.Revision(model.RoleEntry),
		ServersRevision: d.list.Revision(model.RoleBackend),
	})
}

func (s *State) listUnanswered() {
	d := &s.directory
	d.ask.isOpen = false
	d.ask.failures++
	d.answeredSince = model.Never
}

// listOwner returns the host to ask: the owner of the watch in this host's own
// failure domain, and after each failure that in the next one.
func (s *State) listOwner() (model.HostID, bool) {
	domains := s.snapshot.Domains
	own := 0
	for i, domain := range domains {
		if domain == s.domain {
			own = i
		}
	}
	for i := range domains {
		next := domains[(own+s.directory.ask.failures+i)%len(domains)]
		owner, ok := s.slotOwner(model.SlotID{Domain: next})
		if ok && owner.ID != s.self.ID {
			return owner.ID, true
		}
	}
	return "", false
}

// onListAsk answers what changed, where this host follows the list.
func (s *State) onListAsk(from model.HostRef, m message.ListAsk) {
	d := &s.directory
	answer := message.ListAnswer{Sequence: m.Sequence}
	if d.source != peers && d.isFollowed && s.now.Sub(d.followedAt) <= s.listAge() {
		answer.IsFollowed = true
		answer.Age = s.now.Sub(d.followedAt)
		answer.Changes = s.listChanges(m)
		answer.Version, answer.Confirmed, answer.ConfigAge = s.confirmation()
		answer.Resumed = d.hasResumed
		answer.ResumedAge = s.now.Sub(d.resumedAt)
	}
	s.send(from.ID, answer)
}

func (s *State) listChanges(m message.ListAsk) []model.ListChanges {
	var changes []model.ListChanges
	known := map[model.Role]uint64{
		model.RoleEntry:   m.HostsRevision,
		model.RoleBackend: m.ServersRevision,
	}
	for _, role := range directory.Roles {
		if c, ok := s.directory.list.Since(role, known[role]); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// onListAnswer takes changes. The list was up to date when the other host had its
// answer, at most Age before this host asked.
func (s *State) onListAnswer(from model.HostRef, m message.ListAnswer) {
	d := &s.directory
	if !d.ask.isOpen || m.Sequence != d.ask.sequence {
		return
	}
	if !m.IsFollowed || m.Age < 0 {
		s.listUnanswered()
		return
	}
	d.ask.isOpen = false
	d.ask.failures = 0
	if d.answeredSince == model.Never {
		d.answeredSince = s.now
	}
	isResumed := m.Resumed && m.ResumedAge < returnWithin && !s.isListFresh()
	if isResumed {
		d.resumedAt, d.hasResumed = s.now.Add(-m.ResumedAge), true
	}
	if m.Confirmed {
		s.hearConfirmation(m.Version, m.ConfigAge, d.ask.at)
	}
	s.configHeard(from, m.Version)
	s.freshList(d.ask.at.Add(-m.Age))
	s.takeListChanges(m.Changes, isResumed, d.resumedAt)
}
