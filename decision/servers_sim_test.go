package decision

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

const (
	simService = model.ServiceID("lookup")
	simDomains = 4
)

// simOptions describe a simulated fleet. Where hosts is 0, newSim sets the
// ordinary load of today's fleet.
type simOptions struct {
	hosts, servers int
	rate           float64 // requests a second over the fleet
	floor          float64
	loss           float64 // share of the messages between hosts
	seed           uint64
}

// sim is a discrete-event simulation of hosts' reducers, servers and links in
// virtual time.
type sim struct {
	simOptions
	c       *qt.C
	now     model.Instant
	rand    *rand.Rand
	queue   simQueue
	order   int
	hosts   []*simHost
	servers []*simServer
	list    []model.HostEntry
	owner   int // index of the coordinator's host
	term    uint64
	nextID  model.RequestID
	halted  bool // no new requests

	outcomes     []model.Outcome
	ejected      []model.ServerID // from notices of the coordinator
	firstFailure model.Instant
	failures     int // attempts that failed at servers
	evidence     int // messages
	sets         int
}

type simHost struct {
	sim      *sim
	state    *State
	index    int
	domain   int
	timer    int // number of the latest timer
	server   map[model.RequestID]model.ServerID
	attempts map[attemptKey]*simAttempt
}

// attemptKey identifies an attempt of a request.
type attemptKey struct {
	request model.RequestID
	attempt int
}

// simServer processes 6 requests at a time; the others wait in its queue.
type simServer struct {
	id       model.ServerID
	index    int
	busy     int
	waiting  []*simAttempt
	meanTime time.Duration // mean service time of a request
	// logSpread is the standard deviation of the logarithm of service times, whose
	// median is meanTime; 0: they are exponentially distributed.
	logSpread   float64
	fails       func(now model.Instant, host *simHost) bool
	losesAnswer func(now model.Instant, host *simHost) bool // its answers are lost
	resets      func() bool                                 // breaks the connection of a request at once
	swallows    func() bool                                 // never answers a request
	isDraining  bool
	unreachable func(host *simHost) bool // the host cannot connect to it
	onArrival   func()                   // is called for each request that reaches it
	// refuses returns whether the server refuses a request, and for how long it
	// wants no more of its sender.
	refuses  func(host *simHost) (wait time.Duration, ok bool)
	received int
}

type simAttempt struct {
	host    *simHost
	forward effect.Forward
	started model.Instant
	working bool
	ended   bool
}

type simEvent struct {
	at    model.Instant
	order int
	run   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSim(t testing.TB, o simOptions) *sim {
	if o.hosts == 0 {
		o.hosts, o.servers, o.rate, o.floor = 40, 10, 200, 0.6
	}
	m := &sim{simOptions: o, c: qt.New(t), term: firstTerm, firstFailure: model.Never}
	m.rand = rand.New(rand.NewPCG(o.seed, 99))
	for i := range o.servers {
		s := &simServer{id: model.ServerID(fmt.Sprintf("127.0.0.1:%d", 9000+i)), index: i, meanTime: 40 * time.Millisecond}
		m.servers = append(m.servers, s)
	}
	for i := range o.hosts {
		m.hosts = append(m.hosts, m.newHost(i))
		m.list = append(m.list, model.HostEntry{ID: hostName(i), Role: model.RoleEntry})
	}
	for _, h := range m.hosts {
		h.reduce(event.HostListRead{Entries: m.list})
	}
	m.at(0, m.arrive)
	return m
}

func hostName(i int) string { return fmt.Sprintf("host-%02d", i) }

func domainName(i int) model.DomainID { return model.DomainID(fmt.Sprintf("domain-%d", i%simDomains)) }

func (m *sim) newHost(i int) *simHost {
	h := &simHost{sim: m, state: NewState(), index: i, domain: i % simDomains}
	h.server = make(map[model.RequestID]model.ServerID)
	h.attempts = make(map[attemptKey]*simAttempt)
	h.state.servers.ownership = h
	h.state.snapshot = m.snapshot()
	self := model.HostRef{ID: model.HostID(hostName(i)), Incarnation: 1}
	h.reduce(event.Started{Self: self, Domain: domainName(i), Seed: m.seed + uint64(i)})
	h.state.applyServerConfig()
	h.disableOtherConcerns()
	return h
}

// disableOtherConcerns keeps the host in contact with the store and stops the
// periodic events of other concerns, because this simulation is about servers.
// It also makes the host's random choices depend on the seed alone, and not on
// how many of them the start of other concerns used up.
func (h *simHost) disableOtherConcerns() {
	h.state.rand = rand.New(rand.NewPCG(h.sim.seed, uint64(h.index)))
	h.state.limits.members.StoreReached(model.Instant(24 * time.Hour))
	for _, id := range []uint64{limitsTimerHeartbeat, limitsTimerSlots, limitsTimerSweep} {
		h.state.timers.Cancel(timerKey{timerLimits, id})
	}
}

func (m *sim) snapshot() *configuration.Snapshot {
	var domains []model.DomainID
	for i := range simDomains {
		domains = append(domains, domainName(i))
	}
	snapshot := configuration.NewSnapshot(1, domains, 4)
	service := &configuration.Service{
		ID: simService, ServerConcurrency: 6, Connections: 300, Floor: m.floor,
		Concurrency: 64, Queue: 64, SlowStart: 10 * time.Second,
	}
	for _, s := range m.servers {
		service.Servers = append(service.Servers, s.id)
	}
	snapshot.AddService(service)
	snapshot.AddRoute(&configuration.Route{
		ID: "lookup", Path: "/lookup", Service: simService, Open: true, Idempotent: true, Timeout: time.Second,
	})
	return snapshot
}

// slotOwner and ownsSlot implement slotOwnership: the test sets the owner.
func (h *simHost) slotOwner(model.SlotID) (model.HostRef, bool) {
	return model.HostRef{ID: model.HostID(hostName(h.sim.owner)), Incarnation: 1}, true
}

func (h *simHost) ownsSlot(model.SlotID) (uint64, bool) {
	return h.sim.term, h.index == h.sim.owner
}

// at runs f after a delay.
func (m *sim) at(delay time.Duration, f func()) {
	m.order++
	heap.Push(&m.queue, simEvent{m.now.Add(delay), m.order, f})
}

// run advances virtual time to the given instant.
func (m *sim) run(until time.Duration) {
	for len(m.queue) > 0 && m.queue[0].at <= model.Instant(until) {
		e := heap.Pop(&m.queue).(simEvent)
		m.now = max(m.now, e.at)
		e.run()
	}
	m.now = model.Instant(until)
}

func (m *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.rand.ExpFloat64() * float64(mean))
}

func (m *sim) arrive() {
	if m.halted {
		return
	}
	m.nextID++
	h := m.hosts[m.rand.IntN(len(m.hosts))]
	h.reduce(event.RequestArrived{Request: m.nextID, Method: "GET", Path: "/lookup"})
	m.at(m.exponential(time.Duration(float64(time.Second)/m.rate)), m.arrive)
}

func (h *simHost) reduce(body event.Body) {
	effects := slices.Clone(Reduce(h.state, event.Event{At: h.sim.now, Wall: 1, Body: body}))
	for _, e := range effects {
		h.apply(e)
	}
}

func (h *simHost) apply(e effect.Effect) {
	m := h.sim
	switch e := e.(type) {
	case effect.SetTimer:
		h.timer++
		number := h.timer
		m.at(e.At.Sub(m.now), func() {
			if h.timer == number {
				h.reduce(event.TimerFired{})
			}
		})
	case effect.Forward:
		h.server[e.Request] = e.Server
		a := &simAttempt{host: h, forward: e}
		h.attempts[attemptKey{e.Request, e.Attempt}] = a
		m.at(time.Millisecond, func() { m.serverOf(e.Server).arrive(a) })
	case effect.CancelAttempt:
		if a := h.attempts[attemptKey{e.Request, e.Attempt}]; a != nil {
			m.serverOf(a.forward.Server).end(a, model.AttemptResult{Reason: model.ReasonTimedOut})
		}
	case effect.Deliver:
		m.at(0, func() { h.reduce(event.ResponseSent{Request: e.Request, Complete: true}) })
	case effect.Refuse:
		m.at(0, func() { h.reduce(event.ResponseSent{Request: e.Request, Complete: true}) })
	case effect.RecordOutcome:
		m.outcomes = append(m.outcomes, e.Outcome)
	case effect.Notice:
		if e.Kind == effect.NoticeEjected {
			m.ejected = append(m.ejected, model.ServerID(e.Detail))
		}
	case effect.Send:
		h.send(e)
	}
}

func (h *simHost) send(e effect.Send) {
	m := h.sim
	switch e.Message.(type) {
	case message.Evidence:
		m.evidence++
	case message.EjectionSet:
		m.sets++
	}
	if m.rand.Float64() < m.loss {
		return
	}
	delay := 2*time.Millisecond + time.Duration(m.rand.IntN(3000))*time.Microsecond
	m.at(delay, func() {
		for _, to := range m.hosts {
			if to.state.self.ID == e.To {
				to.reduce(event.MessageReceived{From: h.state.self, Message: e.Message})
			}
		}
	})
}

func (m *sim) serverOf(id model.ServerID) *simServer {
	i := slices.IndexFunc(m.servers, func(s *simServer) bool { return s.id == id })
	return m.servers[i]
}

// arrive accepts a request at the server and ends it at its deadline.
func (s *simServer) arrive(a *simAttempt) {
	m := a.host.sim
	a.started = m.now
	if s.unreachable != nil && s.unreachable(a.host) {
		s.end(a, model.AttemptResult{Verdict: model.NotRun, Reason: model.ReasonServerFailed})
		return
	}
	s.received++
	if s.onArrival != nil {
		s.onArrival()
	}
	m.at(a.forward.Deadline.Sub(m.now), func() {
		s.end(a, model.AttemptResult{Reason: model.ReasonTimedOut})
	})
	if s.refuses != nil {
		if wait, ok := s.refuses(a.host); ok {
			s.end(a, model.AttemptResult{Verdict: model.NotRun, Status: 503, Shed: true, RetryAfter: wait})
			return
		}
	}
	if s.resets != nil && s.resets() {
		s.end(a, model.AttemptResult{Reason: model.ReasonServerFailed})
		return
	}
	if s.swallows != nil && s.swallows() {
		return
	}
	s.waiting = append(s.waiting, a)
	s.work(m)
}

func (s *simServer) work(m *sim) {
	for s.busy < 6 && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		if a.ended {
			continue
		}
		s.busy++
		a.working = true
		m.at(s.serviceTime(m), func() { s.finish(a) })
	}
}

// serviceTime draws the time to run one request.
func (s *simServer) serviceTime(m *sim) time.Duration {
	if s.logSpread > 0 {
		return time.Duration(float64(s.meanTime) * math.Exp(m.rand.NormFloat64()*s.logSpread))
	}
	return m.exponential(s.meanTime)
}

func (s *simServer) finish(a *simAttempt) {
	m := a.host.sim
	if a.ended {
		return
	}
	if s.losesAnswer != nil && s.losesAnswer(m.now, a.host) {
		a.working = false // the attempt ends at its deadline
		s.busy--
		s.work(m)
		return
	}
	status := 200
	if s.fails != nil && s.fails(m.now, a.host) {
		status = 500
	}
	s.end(a, model.AttemptResult{Verdict: model.Ran, Status: status})
}

func (s *simServer) end(a *simAttempt, result model.AttemptResult) {
	if a.ended {
		return
	}
	m := a.host.sim
	a.ended = true
	if a.working {
		s.busy--
	}
	result.InFlight, result.ServerConcurrency = s.busy+len(s.waiting), 6
	result.Draining = s.isDraining
	result.Latency = m.now - a.started
	if result.Status != 200 {
		m.firstFailure = min(m.firstFailure, m.now)
		m.failures++
	}
	m.at(time.Millisecond, func() {
		a.host.reduce(event.AttemptEnded{Request: a.forward.Request, Attempt: a.forward.Attempt, Server: s.id, Result: result})
	})
	s.work(m)
}

// countEjecting counts the hosts that have the server ejected or in trial.
func (m *sim) countEjecting(id model.ServerID) int {
	n := 0
	for _, h := range m.hosts {
		applied := h.state.servers.appliedEjections[simService]
		if slices.Contains(applied.ejected, id) || slices.Contains(applied.trial, id) {
			n++
		}
	}
	return n
}

// failing returns a fault in which a share of the requests fails from the
// given time on.
func (m *sim) failing(share float64, from time.Duration) func(model.Instant, *simHost) bool {
	return func(now model.Instant, _ *simHost) bool {
		return now >= model.Instant(from) && m.rand.Float64() < share
	}
}
