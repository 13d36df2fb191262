package fleettest

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// Options describe a fleet. The zero value has no hosts and a perfect network.
type Options struct {
	Seed     uint64
	Hosts    []model.HostEntry // entry hosts
	Line     Line
	Snapshot *configuration.Snapshot
	// Configure puts a snapshot into force at a host.
	Configure func(*decision.State, *configuration.Snapshot)
	// Intercept may carry out an effect in place of the fleet. It reports
	// whether it did. Nil: never.
	Intercept func(*Host, effect.Effect) bool
}

// Line is the quality of the lines between hosts.
type Line struct {
	Loss, Repeat       float64 // shares of messages
	MinDelay, MaxDelay time.Duration
}

// Fleet is hosts, lines and the store at one instant of virtual time.
type Fleet struct {
	Options
	Now   time.Duration // since the start
	Hosts map[model.HostID]*Host
	Store *Store
	// Cut holds the one-way lines that lose everything.
	Cut map[Direction]bool
	// Admitted are the requests that were forwarded, by their first attempt.
	Admitted []Admission
	// Written is when the first byte of each attempt was written.
	Written []Admission
	// Outcomes are the finished requests.
	Outcomes []Outcome
	Notices  []Notice

	rand        *rand.Rand
	queue       actionHeap
	actions     uint64
	lastRequest uint64
	incarnation uint64
}

// Direction is a one-way line.
type Direction struct{ From, To model.HostID }

// Admission is a request at the time of an attempt.
type Admission struct {
	At      time.Duration
	Host    model.HostID
	Request model.RequestID
	Account model.AccountID
}

// Outcome is a finished request.
type Outcome struct {
	At   time.Duration
	Host model.HostID
	model.Outcome
}

// Notice is a notice of a host.
type Notice struct {
	At   time.Duration
	Host model.HostRef
	effect.Notice
}

// New returns a fleet whose hosts have all started.
func New(o Options) *Fleet {
	f := &Fleet{
		Options: o,
		Hosts:   make(map[model.HostID]*Host),
		Cut:     make(map[Direction]bool),
		rand:    rand.New(rand.NewPCG(o.Seed, 1)),
	}
	f.Store = newStore(f)
	for _, entry := range o.Hosts {
		f.Start(entry)
	}
	return f
}

// Start starts a host, or a new life of one that was killed.
func (f *Fleet) Start(entry model.HostEntry) *Host {
	f.incarnation++
	h := &Host{
		Ref:      model.HostRef{ID: model.HostID(entry.ID), Incarnation: f.incarnation},
		Entry:    entry,
		State:    decision.NewState(),
		fleet:    f,
		alive:    true,
		admitted: make(map[model.RequestID]bool),
		offset:   model.Instant(f.rand.Int64N(int64(time.Hour))),
	}
	f.Hosts[h.Ref.ID] = h
	h.Post(event.Started{Self: h.Ref, Domain: entry.Domain, Seed: f.rand.Uint64()})
	h.Post(event.HostsListed{Entries: f.Options.Hosts})
	if f.Snapshot != nil {
		h.configure(f.Snapshot)
	}
	return h
}

// SetSnapshot puts a snapshot into force at each host after a delay of up to
// the given lag.
func (f *Fleet) SetSnapshot(snapshot *configuration.Snapshot, lag time.Duration) {
	f.Snapshot = snapshot
	for _, entry := range f.Options.Hosts {
		h := f.Hosts[model.HostID(entry.ID)]
		f.After(f.between(0, lag), func() { h.configure(snapshot) })
	}
}

// After runs an action after a time.
func (f *Fleet) After(d time.Duration, run func()) {
	f.actions++
	heap.Push(&f.queue, action{f.Now + d, f.actions, run})
}

// Run lets time pass.
func (f *Fleet) Run(d time.Duration) {
	end := f.Now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		a := heap.Pop(&f.queue).(action)
		f.Now = max(f.Now, a.at)
		a.run()
	}
	f.Now = end
}

// Request lets a request arrive at a host. It returns zero where the host does
// not run.
func (f *Fleet) Request(id model.HostID, r event.RequestArrived) model.RequestID {
	f.lastRequest++
	r.Request = model.RequestID(f.lastRequest)
	h := f.Hosts[id]
	if !h.alive {
		return 0
	}
	h.Post(r)
	return r.Request
}

func (f *Fleet) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(f.rand.Int64N(int64(high-low)))
}

// deliver carries a message over the line.
func (f *Fleet) deliver(from *Host, s effect.Send) {
	copies := 1
	if f.rand.Float64() < f.Line.Repeat {
		copies = 2
	}
	for range copies {
		if f.rand.Float64() < f.Line.Loss || f.Cut[Direction{from.Ref.ID, s.To}] {
			continue
		}
		f.After(f.between(f.Line.MinDelay, f.Line.MaxDelay), func() {
			if to := f.Hosts[s.To]; to != nil {
				to.Post(event.PeerReceived{From: from.Ref, Message: s.Message})
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
