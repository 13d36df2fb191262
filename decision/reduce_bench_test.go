package decision_test

import (
	"fmt"
	"testing"
	"time"

	"pollensail.dev/decision"
	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/model"
)

// soloHost is one host that owns every slot, with a store that answers at
// once.
type soloHost struct {
	state   *decision.State
	now     model.Instant
	nextID  model.RequestID
	version uint64
}

func newSoloHost(b *testing.B, accounts int) *soloHost {
	h := &soloHost{state: decision.NewState()}
	decision.SetSnapshot(h.state, benchSnapshot(accounts))
	h.post(event.Started{Self: model.HostRef{ID: "h0", Incarnation: 1}, Domain: "d0", Seed: 1})
	h.post(event.HostsListed{Entries: entryHosts(1, 1)})
	for range 100 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.post(event.TimerFired{})
	}
	if !h.request(0) {
		b.Fatal("the host does not forward")
	}
	return h
}

func benchSnapshot(accounts int) *configuration.Snapshot {
	list := make([]configuration.Account, accounts)
	for i := range list {
		list[i] = configuration.Account{
			ID: model.AccountID(fmt.Sprintf("institutes/a%d", i)), Rate: 1e6, Burst: 1e6, Weight: 1,
		}
	}
	s := limitsSnapshot(1, 1, list)
	s.AddService(&configuration.Service{
		ID: "lookup", Servers: benchServers(10), Slots: 6, Connections: 300,
		Concurrency: 64, Queue: 64,
	})
	return s
}

func benchServers(n int) []model.ServerID {
	servers := make([]model.ServerID, n)
	for i := range servers {
		servers[i] = model.ServerID(fmt.Sprintf("10.0.0.%d:80", i+1))
	}
	return servers
}

// post applies an event, answers the store calls that it leads to, and returns
// the first Forward.
func (h *soloHost) post(body event.Body) *effect.Forward {
	var forward *effect.Forward
	var answers []event.Body
	for _, f := range decision.Reduce(h.state, event.Event{At: h.now, Wall: 1_800_000_000_000, Body: body}) {
		switch f := f.(type) {
		case effect.Forward:
			forward = &f
		case effect.ReadSlot:
			answers = append(answers, event.SlotRead{Slot: f.Slot, SentAt: h.now})
		case effect.SwapSlot:
			h.version++
			answers = append(answers, event.SlotSwapped{Slot: f.Slot, Record: f.Record, Version: h.version, SentAt: h.now})
		}
	}
	for _, a := range answers {
		h.post(a)
	}
	return forward
}

// request runs one request of an account from its arrival to its answer in
// three events. It reports whether the request was forwarded.
func (h *soloHost) request(account int) bool {
	h.nextID++
	h.now = h.now.Add(10 * time.Microsecond)
	arrived := lookup(account)
	arrived.Request = h.nextID
	forward := h.post(arrived)
	if forward == nil {
		return false
	}
	h.post(event.AttemptEnded{Request: h.nextID, Server: forward.Server, Result: model.AttemptResult{
		Verdict: model.Ran, Status: 200, InFlight: 2, Slots: 6, Latency: model.Instant(5 * time.Millisecond),
	}})
	h.post(event.AnswerSent{Request: h.nextID, Complete: true})
	return true
}

// BenchmarkRequest measures what a request costs the control goroutine: three
// events from arrival to answer.
func BenchmarkRequest(b *testing.B) {
	for _, accounts := range []int{8, 200} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			h := newSoloHost(b, accounts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if !h.request(i % accounts) {
					b.Fatal("a request within its rate was not forwarded")
				}
			}
			b.ReportMetric(3*float64(b.N)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
