package frontend

import (
	"sync"
	"sync/atomic"

	"pollensail.dev/decision/model"
	"pollensail.dev/host/backend"
)

// attemptSet holds the attempts of one exchange, several of which may run at the same
// time. The zero value has none.
type attemptSet struct {
	written atomic.Bool // an attempt has written to its server

	mu            sync.Mutex
	withdrawals   map[int]*atomic.Bool // of attempts, by number
	isClosed      bool                 // the exchange has ended and needs no further response
	cancellations map[int]*backend.Cancellation
	isCancelled   map[int]bool // by cancel; the response is not needed
	responses     map[int]*backend.Response
	hasRun        bool // a server has answered
	mayHaveRun    bool
}

// begin returns the Cancellation of a new attempt. It is cancelled already if cancel
// was called for the attempt before.
func (a *attemptSet) begin(number int) *backend.Cancellation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cancellation(number)
}

// withdrawal returns the flag that ends an attempt unless it has been written. The
// attempt may be about to begin.
func (a *attemptSet) withdrawal(number int) *atomic.Bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	w, ok := a.withdrawals[number]
	if !ok {
		w = new(atomic.Bool)
		if a.withdrawals == nil {
			a.withdrawals = make(map[int]*atomic.Bool)
		}
		a.withdrawals[number] = w
	}
	return w
}

// cancellation returns the Cancellation of an attempt that has not ended.
func (a *attemptSet) cancellation(number int) *backend.Cancellation {
	c, ok := a.cancellations[number]
	if !ok {
		c = new(backend.Cancellation)
		if a.cancellations == nil {
			a.cancellations = make(map[int]*backend.Cancellation)
		}
		a.cancellations[number] = c
	}
	return c
}

// end records the result of an attempt. It keeps the response, nil if there is none,
// unless the exchange has ended.
func (a *attemptSet) end(number int, verdict model.Verdict, response *backend.Response) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.cancellations, number)
	a.hasRun = a.hasRun || verdict == model.Ran
	a.mayHaveRun = a.mayHaveRun || verdict != model.NotRun
	switch {
	case response == nil:
	case a.isClosed || a.isCancelled[number]:
		response.Release()
	default:
		if a.responses == nil {
			a.responses = make(map[int]*backend.Response)
		}
		a.responses[number] = response
	}
}

// cancel cancels an attempt, or releases its response if it has ended. The attempt
// may be about to begin.
func (a *attemptSet) cancel(number int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if response := a.responses[number]; response != nil {
		response.Release()
		delete(a.responses, number)
		return
	}
	if a.isCancelled == nil {
		a.isCancelled = make(map[int]bool)
	}
	a.isCancelled[number] = true
	a.cancellation(number).Cancel()
}

// response returns the response of an attempt, nil if it has none.
func (a *attemptSet) response(number int) *backend.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.responses[number]
}

// takeResponse returns the response of an attempt, which the caller must release.
func (a *attemptSet) takeResponse(number int) *backend.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	response := a.responses[number]
	delete(a.responses, number)
	return response
}

// verdict returns the verdict on the attempts so far. A running one may have run.
func (a *attemptSet) verdict() model.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.hasRun:
		return model.Ran
	case a.mayHaveRun || len(a.cancellations) > 0:
		return model.MayHaveRun
	default:
		return model.NotRun
	}
}

// close cancels the running attempts and releases the responses.
func (a *attemptSet) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isClosed = true
	for _, c := range a.cancellations {
		c.Cancel()
	}
	for number, response := range a.responses {
		response.Release()
		delete(a.responses, number)
	}
}
