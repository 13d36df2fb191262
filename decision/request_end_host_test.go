package decision

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Paths of the routes of an endingHost.
const (
	pathOpen    = "/open"    // idempotent, without an API key
	pathKeyed   = "/keyed"   // idempotent, with an API key
	pathOnce    = "/once"    // not idempotent
	pathClaimed = "/claimed" // not idempotent, with an idempotency key
)

// Settings of the routes of an endingHost.
const (
	endingTimeout     = 3 * time.Second
	endingTarget      = 800 * time.Millisecond
	endingAnswerTime  = 400 * time.Millisecond // if it knows one
	endingRetryShare  = 0.2
	endingRetryWindow = time.Second
	endingRevocation  = 4 * time.Second // where key revocation is bounded
)

// endingStart is when an endingHost gets its configuration.
const endingStart = model.Instant(time.Second)

const ordersService = model.ServiceID("orders")

// endingPeer owns all slots.
var endingPeer = model.HostRef{ID: model.HostID(hostName(1)), Incarnation: 1}

// failer is what *testing.T, *qt.C and *rapid.T have in common.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// endingSettings are the configuration and the surroundings of an endingHost.
type endingSettings struct {
	servers     int // of each service
	concurrency int // bulkhead of each service
	queue       int
	connections int // that each server accepts from all hosts
	retryExtra  int // 0: an unbounded budget
	attempts    int // of idempotent routes; 0: the default
	isNew       bool
	hasBound    bool // key revocation is bounded
	seed        uint64
}

// endingHost is one host with stand-ins for its callers, its servers, the owner of
// its slots and its timer. The test chooses when and how these act. After each
// event, the host checks what must hold of the ends of requests.
type endingHost struct {
	t        failer
	settings endingSettings
	state    *State
	now      model.Instant
	timerAt  model.Instant
	// timerFirst says that the timer precedes an attempt that ends at the same time.
	timerFirst bool

	requests  []*endingRequest
	byID      map[model.RequestID]*endingRequest
	outcomes  map[model.RequestID]int
	claims    []message.Claim    // not answered
	claimEnds []message.ClaimEnd // not acknowledged
	// granted holds the claims that were granted and have not ended, ended those whose
	// end the host has sent, by number.
	granted      map[uint64]message.Claim
	ended        map[uint64]bool
	claimAnswers map[uint64]message.ClaimResult

	version         uint64
	keyOwner        model.AccountID // of strictKey; empty: none
	removedRoutes   map[string]bool
	removedServices map[model.ServiceID]bool
	leaving         map[model.ServerID]bool
	regions         endingRegions
	since           model.WallTime // start of the servers that came back last

	waitingEndsAt model.Instant // in a planned stop with a grace time; 0: never
	waitingEnded  bool          // the host has handled an event since
	stopSummaries []model.StopSummary

	stopRequested, trafficClosing, trafficClosed, exited bool

	trace []string
}

// endingRequest is a request of a caller of an endingHost.
type endingRequest struct {
	id         model.RequestID
	path       string
	service    model.ServiceID
	idempotent bool
	hasKey     bool             // an API key
	ofRoute    []model.RegionID // the allowed regions of its route when it arrived
	attempts   []*endingAttempt
	deadline   model.Instant
	callerLeft bool
	end        string // the kind of effect that answered it; empty: none yet
	delivered  *endingAttempt
	refusal    effect.Refuse
	// fallback is an attempt that was answered with an error while others were at
	// work; nil after a further attempt.
	fallback *endingAttempt
	sent     bool
}

// endingAttempt is an attempt of a request.
type endingAttempt struct {
	effect.Forward
	request   *endingRequest
	sentAt    model.Instant
	cancelled bool // by the host
	// isBrokenOff says that the host cancelled the attempt while the caller waited
	// for its answer and no other attempt had answered.
	isBrokenOff bool
	reported    bool // the host knows its result
	result      model.AttemptResult
}

// newEndingHost returns a host with two services. tb is used to build it only.
func newEndingHost(tb testing.TB, t failer, settings endingSettings) *endingHost {
	m := newSim(tb, simOptions{hosts: 2, servers: settings.servers, rate: 1, floor: 0.5, seed: settings.seed})
	h := &endingHost{
		t: t, settings: settings, state: m.hosts[0].state, now: endingStart,
		byID: make(map[model.RequestID]*endingRequest), outcomes: make(map[model.RequestID]int),
		granted: make(map[uint64]message.Claim), ended: make(map[uint64]bool),
		claimAnswers: make(map[uint64]message.ClaimResult),
		version:      4, keyOwner: "a",
		removedRoutes: make(map[string]bool), removedServices: make(map[model.ServiceID]bool),
		leaving: make(map[model.ServerID]bool),
	}
	for _, kind := range []timerKind{timerConfig, timerDirectory} { // the test plays these parts
		h.state.timers.Cancel(timerKey{kind: kind})
	}
	h.timerAt = h.state.armedDeadline
	h.configure()
	h.confirm()
	h.state.applyLimitsConfig()
	announcement := message.Heartbeat{StoreAge: -1}
	for _, id := range h.state.snapshot.Slots() {
		announcement.Slots = append(announcement.Slots, message.SlotOwned{Slot: id, Owner: endingPeer, Term: 1})
	}
	h.reduce(event.MessageReceived{From: endingPeer, Message: announcement})
	if !settings.isNew {
		for i := range 50 {
			answerTime := endingAnswerTime + time.Duration(i%10-5)*10*time.Millisecond
			h.state.pool(simService).RecordAnswer(model.Interactive, answerTime)
			h.state.pool(ordersService).RecordAnswer(model.Mutation, answerTime)
		}
	}
	return h
}

// serverIDs returns the servers of a service.
func (h *endingHost) serverIDs(service model.ServiceID) []model.ServerID {
	var ids []model.ServerID
	for i := range h.settings.servers {
		port := 9000 + i
		if service == ordersService {
			port += 500
		}
		ids = append(ids, model.ServerID(fmt.Sprintf("127.0.0.1:%d", port)))
	}
	return ids
}

func (h *endingHost) snapshot() *configuration.Snapshot {
	var domains []model.DomainID
	for i := range simDomains {
		domains = append(domains, domainName(i))
	}
	snapshot := configuration.NewSnapshot(h.version, domains, 4)
	snapshot.Regions = h.regions.ofDomain
	if h.settings.hasBound {
		snapshot.KeyRevocationDelay = endingRevocation
	}
	for _, id := range []model.ServiceID{simService, ordersService} {
		if h.removedServices[id] {
			continue
		}
		snapshot.AddService(&configuration.Service{
			ID: id, Servers: h.serverIDs(id), ServerConcurrency: 6, Connections: h.settings.connections, Floor: 0.5,
			Concurrency: h.settings.concurrency, Queue: h.settings.queue, SharedDetection: true,
			RetryShare: endingRetryShare, RetryExtra: h.settings.retryExtra, RetryWindow: endingRetryWindow,
		})
	}
	for _, route := range []*configuration.Route{
		{Path: pathOpen, Service: simService, Open: true, Idempotent: true},
		{Path: pathKeyed, Service: simService, Idempotent: true},
		{Path: pathOnce, Service: ordersService, Open: true, Class: model.Mutation},
		{Path: pathClaimed, Service: ordersService, Class: model.Mutation, NeedsIdempotencyKey: true},
	} {
		route.ID = model.RouteID(route.Path[1:])
		route.Timeout, route.Target = endingTimeout, endingTarget
		if route.Idempotent {
			route.Attempts = h.settings.attempts
		}
		route.AllowedRegions = h.regions.ofRoute[route.Path]
		if !h.removedRoutes[route.Path] {
			snapshot.AddRoute(route)
		}
	}
	for _, id := range []model.AccountID{"a", "b"} {
		account := &configuration.Account{ID: id, AllowedRegions: h.regions.ofAccount[id]}
		if id == h.keyOwner {
			account.Keys = []model.KeyHash{strictKey}
		}
		snapshot.AddAccount(account)
	}
	return snapshot
}

// configure puts the present settings into force.
func (h *endingHost) configure() {
	if h.exited {
		return
	}
	h.version++
	h.note("configuration %d: key of %q, without routes %v and services %v", h.version, h.keyOwner, h.removedRoutes, h.removedServices)
	s := h.state
	s.now = max(s.now, h.now)
	s.effects = nil
	s.activate(configuration.Root{Version: h.version}, "", h.snapshot())
	s.fireDue()
	s.armTimer()
	h.apply(s.effects)
}

func (h *endingHost) giveKeyTo(owner model.AccountID) {
	h.keyOwner = owner
	h.configure()
}

// confirm delivers a confirmation of the store that the configuration is the newest.
func (h *endingHost) confirm() {
	root := configuration.Root{Version: h.version}
	h.reduce(event.RootRead{Root: root, StoreVersion: h.version, SentAt: h.now})
}

// setLeaving delivers a list in which the server is leaving, or was started again.
func (h *endingHost) setLeaving(isLeaving bool, servers ...model.ServerID) {
	h.note("leaving %t: %v", isLeaving, servers)
	for _, id := range servers {
		h.leaving[id] = isLeaving
	}
	h.since++
	var entries []model.HostEntry
	for i := range 2 {
		entries = append(entries, model.HostEntry{ID: hostName(i), Role: model.RoleEntry})
	}
	for _, service := range []model.ServiceID{simService, ordersService} {
		for _, id := range h.serverIDs(service) {
			entries = append(entries, model.HostEntry{
				ID: string(id), Role: model.RoleBackend, Service: service, Leaving: h.leaving[id], Since: h.since,
				Domain: h.regions.domainOf[id],
			})
		}
	}
	h.reduce(event.HostListRead{Entries: entries})
}

// arrive delivers a request.
func (h *endingHost) arrive(path string) *endingRequest {
	q := &endingRequest{
		id:         model.RequestID(len(h.requests) + 1),
		path:       path,
		service:    simService,
		ofRoute:    h.regions.ofRoute[path],
		idempotent: path == pathOpen || path == pathKeyed,
		hasKey:     path == pathKeyed || path == pathClaimed,
		deadline:   h.now.Add(endingTimeout),
	}
	if !q.idempotent {
		q.service = ordersService
	}
	h.requests = append(h.requests, q)
	h.byID[q.id] = q
	arrived := event.RequestArrived{Request: q.id, Method: "GET", Path: path}
	if q.hasKey {
		arrived.HasKey, arrived.Key = true, strictKey
	}
	if path == pathClaimed {
		arrived.IdempotencyKey = claimKey(q.id)
	}
	h.reduce(arrived)
	return q
}

// claimKey returns the idempotency key of a request.
func claimKey(id model.RequestID) string {
	return fmt.Sprintf("00000000-0001-7000-8000-%012d", id)
}

// finish reports the end of an attempt.
func (h *endingHost) finish(a *endingAttempt, result model.AttemptResult) {
	if a.reported {
		h.t.Fatalf("the test ends attempt %d of request %d twice", a.Attempt, a.request.id)
	}
	result.Latency = h.now - a.sentAt
	if a.MaxRetainedBytes > 0 && result.Status == 200 {
		result.Answer = &model.Response{Status: 200}
	}
	a.reported, a.result = true, result
	if a.hasAnswer() && len(a.request.running()) > 0 {
		a.request.fallback = a
	}
	h.reduce(event.AttemptEnded{Request: a.request.id, Attempt: a.Attempt, Server: a.Server, Result: result})
}

func (h *endingHost) leave(q *endingRequest) {
	q.callerLeft = true
	h.reduce(event.CallerLeft{Request: q.id})
}

// send reports that the response was written.
func (h *endingHost) send(q *endingRequest, sent event.ResponseSent) {
	q.sent = true
	sent.Request = q.id
	h.reduce(sent)
}

// stop requests a planned stop.
func (h *endingHost) stop(balancerDelay, grace time.Duration) {
	h.stopRequested = true
	if grace > 0 {
		h.waitingEndsAt = h.now.Add(grace * 5 / 6)
	}
	h.reduce(event.StopRequested{BalancerDelay: balancerDelay, Grace: grace})
}

func (h *endingHost) closeTraffic() {
	h.trafficClosed = true
	h.reduce(event.TrafficClosed{})
}

// answerClaim answers the oldest claim of a request. Like the owner of a slot, it
// gives the same claim no second final answer, and grants none that had to wait.
func (h *endingHost) answerClaim(result message.ClaimResult) {
	claim := h.claims[0]
	h.claims = h.claims[1:]
	before, isAnswered := h.claimAnswers[claim.Ask]
	switch {
	case isAnswered && before != message.ClaimInProgress:
		result = before
	case isAnswered && result == message.ClaimGranted:
		result = message.ClaimReleased
	}
	if result != message.ClaimNotOwner {
		h.claimAnswers[claim.Ask] = result
	}
	if result == message.ClaimGranted && !h.ended[claim.Ask] {
		h.granted[claim.Ask] = claim
	}
	answer := message.ClaimAnswer{Ask: claim.Ask, Key: claim.Key, Result: result}
	if result == message.ClaimDone {
		answer.Answer = &model.Response{Status: 200}
	}
	h.note("claim %d of %s: %v", claim.Ask, claim.Key, result)
	h.reduce(event.MessageReceived{From: endingPeer, Message: answer})
}

// acknowledgeClaimEnd acknowledges the oldest claim end.
func (h *endingHost) acknowledgeClaimEnd() {
	end := h.claimEnds[0]
	h.claimEnds = slices.DeleteFunc(h.claimEnds, func(e message.ClaimEnd) bool { return e.Ask == end.Ask })
	h.reduce(event.MessageReceived{From: endingPeer, Message: message.ClaimEndAck{Ask: end.Ask}})
}

// advance lets time pass. The timer fires when it is due, and attempts end at their
// deadline.
func (h *endingHost) advance(d time.Duration) {
	end := h.now.Add(d)
	for !h.exited {
		a := h.nextDeadline()
		attemptAt := model.Never
		if a != nil {
			attemptAt = a.Deadline
		}
		next := min(h.timerAt, attemptAt)
		if next > end {
			break
		}
		h.now = max(h.now, next)
		if h.timerAt < attemptAt || h.timerAt == attemptAt && h.timerFirst {
			h.timerAt = model.Never
			h.reduce(event.TimerFired{})
			continue
		}
		h.finish(a, model.AttemptResult{Verdict: model.MayHaveRun, Reason: model.ReasonTimedOut})
	}
	h.now = max(h.now, end)
}

// advanceToTimer lets time pass until the timer has fired.
func (h *endingHost) advanceToTimer() {
	if h.timerAt != model.Never {
		h.advance(max(0, h.timerAt.Sub(h.now)))
	}
}

// nextDeadline returns the running attempt that has its deadline first.
func (h *endingHost) nextDeadline() *endingAttempt {
	var first *endingAttempt
	for _, a := range h.running() {
		if first == nil || a.Deadline < first.Deadline {
			first = a
		}
	}
	return first
}

// running returns the attempts whose end was not reported.
func (h *endingHost) running() []*endingAttempt {
	var running []*endingAttempt
	for _, q := range h.requests {
		running = append(running, q.running()...)
	}
	return running
}

func (q *endingRequest) running() []*endingAttempt {
	var running []*endingAttempt
	for _, a := range q.attempts {
		if !a.reported {
			running = append(running, a)
		}
	}
	return running
}

// unsent returns the requests that have an answer which was not written yet.
func (h *endingHost) unsent() []*endingRequest {
	var unsent []*endingRequest
	for _, q := range h.requests {
		if q.end != "" && !q.sent {
			unsent = append(unsent, q)
		}
	}
	return unsent
}

// open returns the requests that have no answer yet.
func (h *endingHost) open() []*endingRequest {
	var open []*endingRequest
	for _, q := range h.requests {
		if q.end == "" {
			open = append(open, q)
		}
	}
	return open
}

// reduce applies an event at the present time.
func (h *endingHost) reduce(body event.Body) {
	if h.exited {
		return
	}
	h.note("%s", describeEvent(body))
	h.apply(Reduce(h.state, event.Event{At: h.now, Wall: 1, Body: body}))
}

// describeEvent returns a short text for the trace.
func describeEvent(body event.Body) string {
	switch e := body.(type) {
	case event.RequestArrived:
		return fmt.Sprintf("request %d arrives for %s", e.Request, e.Path)
	case event.AttemptEnded:
		return fmt.Sprintf("request %d attempt %d at %s ended: %+v", e.Request, e.Attempt, e.Server, e.Result)
	case event.MessageReceived:
		return fmt.Sprintf("%T received", e.Message)
	case event.HostListRead:
		return "host list read"
	default:
		return fmt.Sprintf("%T%+v", body, body)
	}
}

// apply carries out effects and checks the invariants.
func (h *endingHost) apply(effects []effect.Effect) {
	for _, e := range slices.Clone(effects) {
		h.carryOut(e)
	}
	h.checkState()
}

func (h *endingHost) carryOut(e effect.Effect) {
	switch e := e.(type) {
	case effect.SetTimer:
		h.timerAt = e.At
	case effect.Forward:
		h.note("  -> Forward request %d attempt %d to %s", e.Request, e.Attempt, e.Server)
		h.onForward(e)
	case effect.CancelAttempt:
		h.note("  -> CancelAttempt request %d attempt %d", e.Request, e.Attempt)
		h.onCancel(e)
	case effect.Deliver:
		h.note("  -> Deliver request %d", e.Request)
		h.onDeliver(e)
	case effect.Refuse:
		h.note("  -> Refuse request %d: %s, %s", e.Request, e.Reason, e.Verdict)
		h.onRefuse(e)
	case effect.Replay:
		h.note("  -> Replay request %d", e.Request)
		h.answer(e.Request, "Replay")
	case effect.RecordOutcome:
		h.outcomes[e.Outcome.Request]++
	case effect.CloseTraffic:
		h.note("  -> CloseTraffic")
		h.trafficClosing = true
	case effect.RecordStop:
		h.stopSummaries = append(h.stopSummaries, e.Summary)
	case effect.Exit:
		h.note("  -> Exit")
		h.onExit()
	case effect.Send:
		h.onSend(e.Message)
	}
}

func (h *endingHost) onSend(m message.Message) {
	switch m := m.(type) {
	case message.Claim:
		h.claims = append(h.claims, m)
	case message.ClaimEnd:
		h.onClaimEnd(m)
		h.claimEnds = append(h.claimEnds, m)
	}
}

// note adds a line to the trace that a failure prints.
func (h *endingHost) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if !strings.HasPrefix(line, " ") {
		line = fmt.Sprintf("%v %s", time.Duration(h.now), line)
	}
	h.trace = append(h.trace, line)
}

// fail ends the test with a message and the events up to now.
func (h *endingHost) fail(format string, args ...any) {
	h.t.Helper()
	h.t.Fatalf("%s\nsettings %+v\n%s", fmt.Sprintf(format, args...), h.settings, strings.Join(h.trace, "\n"))
}
