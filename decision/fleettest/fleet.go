package fleettest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
)

// Options configures a fleet. The zero value has no hosts and a network without
// faults.
type Options struct {
	Seed     uint64
	Hosts    []model.HostEntry // entry hosts
	Link     LinkQuality
	Snapshot *configuration.Snapshot
	// Configure applies a snapshot at a host.
	Configure func(*decision.State, *configuration.Snapshot)
	// Intercept may carry out an effect in place of the fleet, and reports
	// whether it did. Nil: never.
	Intercept func(*Host, effect.Effect) bool
	// Received is called for each message that arrives at a host. Nil: not called.
	Received func(*Host, message.Message)
}

// LinkQuality is the quality of the links between hosts.
type LinkQuality struct {
	Loss, Repeat       float64 // shares of the messages that are lost or sent twice
	MinDelay, MaxDelay time.Duration
}

// Fleet holds the hosts, the links and the store at one instant of virtual
// time.
type Fleet struct {
	Options
	Now   time.Duration // time since the start
	Hosts map[model.HostID]*Host
	Store *Store
	// Partitioned holds the directions of links in which all messages are lost.
	Partitioned map[Direction]bool
	// Admitted holds the first attempt of each forwarded request.
	Admitted []Admission
	// Written holds when the first byte of each attempt was written.
	Written []Admission
	// Outcomes holds the finished requests.
	Outcomes []Outcome
	Notices  []Notice

	rand        *rand.Rand
	queue       actionHeap
	scheduled   uint64 // number of actions scheduled so far; orders those due at the same time
	lastRequest uint64
	incarnation uint64
}

// Direction is one direction of a link.
type Direction struct{ From, To model.HostID }

// Admission is a request at the time of an attempt.
type Admission struct {
	At      time.Duration
	Host    model.HostID
	Request model.RequestID
	Account model.AccountID
}

// Outcome is the outcome of a finished request.
type Outcome struct {
	At   time.Duration
	Host model.HostID
	model.Outcome
}

// Notice is a notice that a host emitted.
type Notice struct {
	At   time.Duration
	Host model.HostRef
	effect.Notice
}

// New returns a fleet whose hosts have all started.
func New(o Options) *Fleet {
	f := &Fleet{
		Options:     o,
		Hosts:       make(map[model.HostID]*Host),
		Partitioned: make(map[Direction]bool),
		rand:        rand.New(rand.NewPCG(o.Seed, 1)),
	}
	f.Store = newStore(f)
	for _, entry := range o.Hosts {
		f.Start(entry)
	}
	return f
}

// Start starts a host, or restarts one that was killed, with a new incarnation.
func (f *Fleet) Start(entry model.HostEntry) *Host {
	f.incarnation++
	h := &Host{
		Ref:         model.HostRef{ID: model.HostID(entry.ID), Incarnation: f.incarnation},
		Entry:       entry,
		State:       decision.NewState(),
		fleet:       f,
		isAlive:     true,
		admitted:    make(map[model.RequestID]bool),
		clockOffset: model.Instant(f.rand.Int64N(int64(time.Hour))),
	}
	f.Hosts[h.Ref.ID] = h
	h.Post(event.Started{Self: h.Ref, Domain: entry.Domain, Seed: f.rand.Uint64()})
	h.Post(event.HostListRead{Entries: f.Options.Hosts})
	if f.Snapshot != nil {
		h.configure(f.Snapshot)
	}
	return h
}

// SetSnapshot applies a snapshot at each host after a random delay of up to
// lag.
func (f *Fleet) SetSnapshot(snapshot *configuration.Snapshot, lag time.Duration) {
	f.Snapshot = snapshot
	for _, entry := range f.Options.Hosts {
		h := f.Hosts[model.HostID(entry.ID)]
		f.After(f.randomDelay(0, lag), func() { h.configure(snapshot) })
	}
}

// After schedules a function to run after a time.
func (f *Fleet) After(d time.Duration, run func()) {
	f.scheduled++
	heap.Push(&f.queue, action{f.Now + d, f.scheduled, run})
}

// Run advances the virtual time and runs what is scheduled.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		a := heap.Pop(&f.queue).(action)
		f.Now = max(f.Now, a.at)
		a.run()
	}
	f.Now = end
}

// Request makes a request arrive at a host. It returns zero if the host is not
// alive.
func (f *Fleet) Request(id model.HostID, r event.RequestArrived) model.RequestID {
	f.lastRequest++
	r.Request = model.RequestID(f.lastRequest)
	h := f.Hosts[id]
	if !h.isAlive {
		return 0
	}
	h.Post(r)
	return r.Request
}

// randomDelay returns a uniformly distributed time from low up to high.
func (f *Fleet) randomDelay(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(f.rand.Int64N(int64(high-low)))
}

// send transmits a message over the link, which may lose, delay or duplicate
// it.
func (f *Fleet) send(from *Host, s effect.Send) {
	copies := 1
	if f.rand.Float64() < f.Link.Repeat {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.Link.Loss || f.Partitioned[Direction{from.Ref.ID, s.To}] {
			continue
		}
		f.After(f.randomDelay(f.Link.MinDelay, f.Link.MaxDelay), func() {
			if to := f.Hosts[s.To]; to != nil {
				if f.Received != nil {
					f.Received(to, s.Message)
				}
				to.Post(event.MessageReceived{From: from.Ref, Message: s.Message})
			}
		})
	}
}

type action struct {
	at     time.Duration
	serial uint64
	run    func()
}

type actionHeap []action

func (h actionHeap) Len() int { return len(h) }
func (h actionHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h actionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *actionHeap) Push(x any)   { *h = append(*h, x.(action)) }

func (h *actionHeap) Pop() any {
	old := *h
	a := old[len(old)-1]
	*h = old[:len(old)-1]
	return a
}
