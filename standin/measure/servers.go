package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

const (
	// oneWayLatency is the network latency between a host and a server.
	oneWayLatency = time.Millisecond
	// queuePerWorker is the number of requests for each worker of a server that
	// its queue holds before the server sheds requests.
	queuePerWorker = 2
)

// server simulates a backend server: workers with exponentially distributed
// service times, a bounded FIFO queue, and faults.
type server struct {
	id           model.ServerID
	clock        *fleettest.Fleet
	rand         *rand.Rand
	workers      int
	serviceTime  time.Duration // mean time that a worker takes for a request
	busyWorkers  int
	firstFailure time.Duration // time of the first failed response; 0 if none failed
	queue        []*attempt
	// errorRate returns the share of requests that fail at a time.
	// dropsResponse reports whether responses to hosts of a failure domain are
	// lost at a time.
	errorRate     func(at time.Duration) float64
	dropsResponse func(at time.Duration, hostDomain int) bool
}

// attempt is one attempt of a request at a server.
type attempt struct {
	hostDomain int // failure domain of the sending host
	deadline   time.Duration
	arrivedAt  time.Duration
	completed  bool
	inService  bool
	onResult   func(model.AttemptResult)
}

func newServers(clock *fleettest.Fleet, seed uint64, n, workers int, serviceTime time.Duration) []*server {
	servers := make([]*server, n)
	for i := range servers {
		servers[i] = &server{
			id:            serverID(i),
			clock:         clock,
			rand:          rand.New(rand.NewPCG(seed, uint64(1000+i))),
			workers:       workers,
			serviceTime:   serviceTime,
			errorRate:     func(time.Duration) float64 { return 0 },
			dropsResponse: func(time.Duration, int) bool { return false },
		}
	}
	return servers
}

func serverID(i int) model.ServerID { return model.ServerID(fmt.Sprintf("127.0.0.1:%d", 9000+i)) }

// send delivers an attempt to the server. Its onResult is called exactly once.
func (s *server) send(a *attempt) {
	s.clock.After(oneWayLatency, func() { s.arrive(a) })
}

func (s *server) arrive(a *attempt) {
	a.arrivedAt = s.clock.Now
	if len(s.queue) >= queuePerWorker*s.workers {
		s.complete(a, model.AttemptResult{Verdict: model.NotRun, Status: 503, Shed: true})
		return
	}
	s.clock.After(a.deadline-s.clock.Now, func() {
		s.complete(a, model.AttemptResult{Verdict: model.MayHaveRun, Reason: model.ReasonTimedOut})
	})
	s.queue = append(s.queue, a)
	s.startQueued()
}

func (s *server) startQueued() {
	for s.busyWorkers < s.workers && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		if a.completed {
			continue
		}
		a.inService = true
		s.busyWorkers++
		took := time.Duration(s.rand.ExpFloat64() * float64(s.serviceTime))
		s.clock.After(took, func() { s.finishService(a) })
	}
}

func (s *server) finishService(a *attempt) {
	if a.completed {
		return
	}
	if s.dropsResponse(s.clock.Now, a.hostDomain) {
		s.releaseWorker(a)
		return // the response is lost; the attempt ends at its deadline
	}
	status := 200
	if s.rand.Float64() < s.errorRate(s.clock.Now) {
		status = 500
		if s.firstFailure == 0 {
			s.firstFailure = s.clock.Now
		}
	}
	s.complete(a, model.AttemptResult{Verdict: model.Ran, Status: status})
}

func (s *server) releaseWorker(a *attempt) {
	if a.inService {
		a.inService = false
		s.busyWorkers--
	}
	s.startQueued()
}

func (s *server) complete(a *attempt, result model.AttemptResult) {
	if a.completed {
		return
	}
	a.completed = true
	s.releaseWorker(a)
	result.InFlight = s.busyWorkers + len(s.queue)
	result.ServerConcurrency = s.workers
	result.Latency = model.Instant(s.clock.Now - a.arrivedAt)
	s.clock.After(oneWayLatency, func() { a.onResult(result) })
}
