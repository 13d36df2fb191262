package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// site describes the deployment of one user at its current size.
type site struct {
	name        string
	hosts       int
	servers     int // of the service that is measured
	workers     int
	serviceTime time.Duration
	baseLoad    float64 // ordinary load on the service, requests per second
	slowServers int     // number of servers of a second service
}

// sites are the deployments of the users. The ordinary load keeps a fifth to a
// quarter of the workers busy.
var sites = []site{
	{name: "himal", hosts: 40, servers: 10, workers: 6, serviceTime: 60 * time.Millisecond, baseLoad: 200},
	{name: "caribwell", hosts: 40, servers: 10, workers: 3, serviceTime: 30 * time.Millisecond, baseLoad: 200},
}

// line describes the message loss, duplication and delay between hosts of one
// region.
var regionLink = fleettest.LinkQuality{Loss: 0.01, Repeat: 0.01, MinDelay: 2 * time.Millisecond, MaxDelay: 5 * time.Millisecond}

// skewedAccounts returns eight client accounts with skewed rates, which together
// send total requests per second. Each sends 80 % of its granted rate.
func skewedAccounts(total float64) []account {
	granted := []struct {
		id           string
		relativeRate float64
		burst        int
	}{
		{"museum", 200, 200}, {"institute", 100, 100}, {"coast", 40, 40}, {"north", 20, 20},
		{"south", 10, 20}, {"island", 5, 10}, {"school", 2, 6}, {"visitor", 1, 2},
	}
	scale := total / (0.8 * 378) // 378 is the sum of the relative rates
	accounts := make([]account, len(granted))
	for i, g := range granted {
		accounts[i] = account{
			id:          model.AccountID(g.id),
			rate:        g.relativeRate * scale,
			burst:       max(2, int(float64(g.burst)*scale)),
			offeredRate: 0.8 * g.relativeRate * scale,
		}
	}
	return accounts
}

// run is one simulation of a variant under a load.
type run struct {
	clock    *fleettest.Fleet
	servers  []*server
	load     *load
	shipped  *shippedFleet // nil for a baseline
	baseline *baselineFleet
	accounts []account
}

// variant is one of the policies that are compared.
type variant struct {
	name string
	// isShipped selects the shipped fleet. Otherwise the variant is a baseline
	// with failure detectors from newDetector, or without any if that is nil.
	isShipped   bool
	newDetector func() detector
}

var (
	shippedVariant  = variant{name: "pollensail", isShipped: true}
	noDetector      = variant{name: "plain"}
	perHostDetector = variant{name: "every host alone", newDetector: func() detector { return &failureRateDetector{} }}
	perHostBreaker  = variant{name: "paper's breaker", newDetector: func() detector { return &breaker{} }}
)

// newRun returns a simulation of a variant after its warm-up, with servers and
// a load that has not started. All variants with the same seed get the same
// arrivals and the same service times.
func newRun(v variant, s site, seed uint64, accounts []account) *run {
	r := &run{accounts: accounts}
	if v.isShipped {
		r.shipped = newShippedFleet(seed, s.hosts, regionLink, settingsTree(accounts, s))
		r.clock = r.shipped.sim
	} else {
		r.clock = fleettest.New(fleettest.Options{Seed: seed})
		r.baseline = newBaseline(r.clock, seed, s.hosts, accounts, v.newDetector)
	}
	r.servers = newServers(r.clock, seed, s.servers+s.slowServers, s.workers, s.serviceTime)
	r.load = &load{clock: r.clock, rand: rand.New(rand.NewPCG(seed, 3)), accounts: accounts, pickHost: uniformHost(s.hosts)}
	if v.isShipped {
		r.shipped.servers = r.servers
		r.load.fleet = r.shipped
	} else {
		r.baseline.servers = r.servers
		r.baseline.slowServers = s.slowServers
		r.load.fleet = r.baseline
	}
	r.clock.Run(warmUp)
	return r
}

// startLoad starts the load, which lasts for d.
func (r *run) startLoad(d time.Duration) {
	r.load.end = r.clock.Now + d
	r.load.start()
}

// drain runs the simulation until the load has ended and the last responses
// have arrived.
func (r *run) drain() { r.clock.Run(r.load.end - r.clock.Now + 2*requestTimeout) }

func (r *run) attempts() []attemptRecord {
	if r.shipped != nil {
		return r.shipped.attempts
	}
	return r.baseline.attempts
}

func (r *run) ejections() int {
	if r.shipped != nil {
		return r.shipped.ejections()
	}
	return r.baseline.ejectionCount
}

// errorRateFrom returns an error rate that is 0 before an instant and share
// from then on.
func errorRateFrom(share float64, from time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from {
			return 0
		}
		return share
	}
}

// notDetected is the result where a faulty server is not detected during the
// experiment.
const notDetected = -1

// detectionTime returns how long a server that fails a third of its requests
// stays in ordinary use, in milliseconds: from its first failure until the
// first whole second in which it gets at most a fifth of an even share of the
// attempts. Requests of later trials of the server do not count here; they
// show in failedPercent.
func detectionTime(v variant, s site, seed uint64) float64 {
	const observationTime = 20 * time.Second
	r := newRun(v, s, seed, skewedAccounts(s.baseLoad))
	r.startLoad(10*time.Second + observationTime)
	from := r.clock.Now + 10*time.Second
	bad := r.servers[3]
	bad.errorRate = errorRateFrom(1.0/3, from)
	r.drain()
	return ejectionDelay(r.attempts(), bad.id, bad.firstFailure, observationTime-time.Second, s.servers)
}

// ejectionDelay returns the start of the first second in which the server gets
// at most a fifth of an even share of the attempts, in milliseconds after from.
func ejectionDelay(attempts []attemptRecord, bad model.ServerID, from, observationTime time.Duration, servers int) float64 {
	const step = 50 * time.Millisecond
	const window = time.Second
	for start := from; start+window <= from+observationTime; start += step {
		all, used := 0, 0
		for _, a := range attempts {
			if a.at < start || a.at >= start+window {
				continue
			}
			all++
			if a.server == bad {
				used++
			}
		}
		if float64(used) <= 0.2*float64(all)/float64(servers) {
			return float64((start - from).Milliseconds())
		}
	}
	return notDetected
}

// failedPercent returns the share of the requests admitted during the 20 s after
// the start of the fault that do not succeed, in percent.
func failedPercent(v variant, s site, seed uint64) float64 {
	r := newRun(v, s, seed, skewedAccounts(s.baseLoad))
	r.startLoad(30 * time.Second)
	from := r.clock.Now + 10*time.Second
	r.servers[3].errorRate = errorRateFrom(1.0/3, from)
	r.drain()
	failed, all := 0, 0
	for _, req := range r.load.requests {
		if req.sent < from || req.rateLimited {
			continue
		}
		all++
		if !req.ok {
			failed++
		}
	}
	return percent(failed, all)
}

// goodputBesideSlow returns the goodput of a healthy service, in percent, while
// another service hardly answers. This reproduces the experiment of the paper.
// Each host gets 12 requests per second for the healthy service and 30 for the
// slow one, which is more than its limit of 16 requests in flight carries at a
// timeout of one second.
func goodputBesideSlow(v variant, s site, seed uint64) float64 {
	s.hosts, s.slowServers = 4, 4
	accounts := []account{
		{id: "healthy", rate: 100, burst: 100, offeredRate: 48},
		{id: "slow", rate: 200, burst: 200, offeredRate: 120, slow: true},
	}
	r := newRun(v, s, seed, accounts)
	for _, server := range r.servers[s.servers:] {
		server.serviceTime = 20 * time.Second
	}
	r.startLoad(20 * time.Second)
	r.drain()
	return r.goodput(0)
}

// fault is a fault or overload that apply adds to a run whose load has not
// started.
type fault struct {
	name       string
	loadFactor float64 // multiple of the ordinary load
	apply      func(r *run, from time.Duration)
}

// systemicFaults are the faults under which no server may be ejected, because
// no single server causes them.
var systemicFaults = []fault{
	{"one-way cut between a failure domain and a server", 1, func(r *run, from time.Duration) {
		r.servers[3].dropsResponse = func(at time.Duration, domain int) bool { return at >= from && domain == 0 }
	}},
	{"all servers fail 30 % of their work", 1, func(r *run, from time.Duration) {
		for _, s := range r.servers {
			s.errorRate = errorRateFrom(0.3, from)
		}
	}},
	{"overload shared by all servers", 6, func(*run, time.Duration) {}},
}

// falseEjections returns the number of ejections during 30 s of a fault that no
// single server causes.
func falseEjections(v variant, s site, seed uint64, f fault) float64 {
	r := newRun(v, s, seed, skewedAccounts(s.baseLoad*f.loadFactor))
	f.apply(r, r.clock.Now+5*time.Second)
	r.startLoad(35 * time.Second)
	r.drain()
	return float64(r.ejections())
}

// worstGoodput returns the lowest goodput of a client account that stays within
// its rate, in percent of its requests, while the largest account sends five
// times its rate and the servers are near their capacity.
func worstGoodput(v variant, s site, seed uint64) float64 {
	capacity := float64(s.servers*s.workers) / s.serviceTime.Seconds()
	accounts := skewedAccounts(0.75 * capacity)
	accounts[0].offeredRate = 5 * accounts[0].rate
	r := newRun(v, s, seed, accounts)
	r.startLoad(60 * time.Second)
	r.drain()
	worst := 100.0
	for i := range accounts[1:] {
		worst = min(worst, r.goodput(i+1))
	}
	return worst
}

// goodput returns the share of an account's requests within its rate that
// succeed, in percent.
func (r *run) goodput(account int) float64 {
	ok, all := 0, 0
	for _, req := range r.load.requests {
		if req.account != account || !req.withinRate {
			continue
		}
		all++
		if req.ok {
			ok++
		}
	}
	return percent(ok, all)
}

// refusalScenario is a condition under which the refusals of requests within
// the rate are measured: a pattern of arrivals, a fault, or both.
type refusalScenario struct {
	name  string
	apply func(r *run, s site)
}

// movingLoad sends each account's requests to four hosts, which change every
// 5 s.
func movingLoad(r *run, s site) {
	r.load.pickHost = func(rnd *rand.Rand, account int, at time.Duration) int {
		interval := int(at / (5 * time.Second))
		return (account*7 + interval*11 + rnd.IntN(4)) % s.hosts
	}
}

var refusalScenarios = []refusalScenario{
	{"steady, skewed", func(*run, site) {}},
	{"moves between hosts every 5 s", movingLoad},
	{"store outage and moving demand", func(r *run, s site) {
		movingLoad(r, s)
		r.clock.After(5*time.Second, func() {
			if r.shipped != nil {
				r.shipped.sim.Store.Down = true
			}
		})
	}},
	{"a host is killed and replaced", func(r *run, s site) {
		r.clock.After(5*time.Second, func() { r.replaceHost(s, 0) })
	}},
	{"a failure domain is lost", func(r *run, s site) {
		r.load.pickHost = func(rnd *rand.Rand, _ int, at time.Duration) int {
			for {
				if h := rnd.IntN(s.hosts); h%domains != 1 || at < warmUp+5*time.Second {
					return h
				}
			}
		}
		r.clock.After(5*time.Second, func() { r.killDomain(s, 1) })
	}},
}

// replaceHost kills a host and starts another in its place 20 s later. A host
// of a baseline instead loses its tokens and goes on with empty buckets.
func (r *run) replaceHost(_ site, host int) {
	if r.shipped == nil {
		for i := range r.baseline.hosts[host].buckets {
			r.baseline.hosts[host].buckets[i] = tokenBucket{at: r.clock.Now}
		}
		return
	}
	h := r.shipped.sim.Hosts[model.HostID(hostID(host))]
	h.Kill()
	r.clock.After(20*time.Second, func() { r.shipped.sim.Start(h.Entry) })
}

func (r *run) killDomain(s site, domain int) {
	if r.shipped == nil {
		return // the load skips these hosts, so their shares of the rates are lost
	}
	for i := range s.hosts {
		if i%domains == domain {
			r.shipped.sim.Hosts[model.HostID(hostID(i))].Kill()
		}
	}
}

// refusedPercent returns the share of requests within their account's rate and
// burst that the rate limiter refuses, in percent. Requests in flight at a host
// when it is killed do not count as refused.
func refusedPercent(v variant, s site, seed uint64, scenario refusalScenario) float64 {
	r := newRun(v, s, seed, skewedAccounts(s.baseLoad))
	scenario.apply(r, s)
	r.startLoad(60 * time.Second)
	r.drain()
	refused, all := 0, 0
	for _, req := range r.load.requests {
		if !req.withinRate {
			continue
		}
		all++
		if req.refused && req.rateLimited {
			refused++
		}
	}
	return percent(refused, all)
}

func percent(part, all int) float64 {
	if all == 0 {
		return 0
	}
	return 100 * float64(part) / float64(all)
}
