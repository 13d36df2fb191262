package measure

import (
	"math/rand/v2"
	"time"

	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
)

// site is one of the users at today's size.
type site struct {
	name    string
	hosts   int
	servers int // of the service in question
	slots   int
	work    time.Duration
	rate    float64 // ordinary load on the service, requests a second
	slow    int     // servers of a second service
}

// Sites are the users. The ordinary load keeps a fifth to a quarter of the
// slots busy.
var sites = []site{
	{name: "himal", hosts: 40, servers: 10, slots: 6, work: 60 * time.Millisecond, rate: 200},
	{name: "caribwell", hosts: 40, servers: 10, slots: 3, work: 30 * time.Millisecond, rate: 200},
}

// line is the quality of the links between hosts in one region.
var line = fleettest.Line{Loss: 0.01, Repeat: 0.01, MinDelay: 2 * time.Millisecond, MaxDelay: 5 * time.Millisecond}

// usersAccounts are eight client accounts, a few of them large. Together they
// send 80 % of what they are granted.
func usersAccounts(total float64) []account {
	granted := []struct {
		id    string
		parts float64
		burst int
	}{
		{"museum", 200, 200}, {"institute", 100, 100}, {"coast", 40, 40}, {"north", 20, 20},
		{"south", 10, 20}, {"island", 5, 10}, {"school", 2, 6}, {"visitor", 1, 2},
	}
	scale := total / (0.8 * 378)
	accounts := make([]account, len(granted))
	for i, g := range granted {
		accounts[i] = account{
			id:    model.AccountID(g.id),
			rate:  g.parts * scale,
			burst: max(2, int(float64(g.burst)*scale)),
			sends: 0.8 * g.parts * scale,
		}
	}
	return accounts
}

// run is one policy under one load.
type run struct {
	clock    *fleettest.Fleet
	servers  []*server
	load     *load
	product  *product // nil for a plain variant
	plain    *plain
	accounts []account
}

// variant is a policy to compare.
type variant struct {
	name string
	// detector makes the plain variant's detector; isProduct takes the product.
	isProduct bool
	detector  func() detector
}

var (
	shipped  = variant{name: "pollensail", isProduct: true}
	noDetect = variant{name: "plain"}
	everyOne = variant{name: "every host alone", detector: func() detector { return &alone{} }}
	paper    = variant{name: "paper's breaker", detector: func() detector { return &breaker{} }}
)

// newRun builds a variant with servers and a load that has not started. All
// variants of one seed get the same arrivals and the same server times.
func newRun(v variant, s site, seed uint64, accounts []account) *run {
	r := &run{accounts: accounts}
	if v.isProduct {
		r.product = newProduct(seed, s.hosts, line, tree(accounts, s))
		r.clock = r.product.fleet
	} else {
		r.clock = fleettest.New(fleettest.Options{Seed: seed})
		r.plain = newPlain(r.clock, seed, s.hosts, accounts, v.detector)
	}
	r.servers = newServers(r.clock, seed, s.servers+s.slow, s.slots, s.work)
	r.load = &load{clock: r.clock, rand: rand.New(rand.NewPCG(seed, 3)), accounts: accounts, hosts: anyHost(s.hosts)}
	if v.isProduct {
		r.product.servers = r.servers
		r.load.policy = r.product
	} else {
		r.plain.servers = r.servers
		r.plain.slow = s.slow
		r.load.policy = r.plain
	}
	r.clock.Run(settleTime)
	return r
}

// start begins the load for a time.
func (r *run) start(d time.Duration) {
	r.load.until = r.clock.Now + d
	r.load.start()
}

// finish lets the load end and the last answers arrive.
func (r *run) finish() { r.clock.Run(r.load.until - r.clock.Now + 2*timeout) }

func (r *run) attempts() []useOf {
	if r.product != nil {
		return r.product.attempts
	}
	return r.plain.attempts
}

func (r *run) ejections() int {
	if r.product != nil {
		return r.product.ejections()
	}
	return r.plain.opened
}

// failShare lets a server fail a share of its work from an instant on.
func failShare(share float64, from time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from {
			return 0
		}
		return share
	}
}

// never is the value for a detection that did not come within the experiment.
const never = -1

// detectionTime is how long a server that fails a third of its work stays in
// ordinary use: from its first failure until it first gets, for a whole second, at
// most a fifth of a healthy server's attempts. Milliseconds. Trials later on
// show in the share of failed requests.
func detectionTime(v variant, s site, seed uint64) float64 {
	const watched = 20 * time.Second
	r := newRun(v, s, seed, usersAccounts(s.rate))
	r.start(10*time.Second + watched)
	from := r.clock.Now + 10*time.Second
	bad := r.servers[3]
	bad.fails = failShare(1.0/3, from)
	r.finish()
	return outOfUse(r.attempts(), bad.id, bad.failed, watched-time.Second, s.servers)
}

// outOfUse returns when the first second begins in which the server gets at
// most a fifth of its even share, in milliseconds after from.
func outOfUse(attempts []useOf, bad model.ServerID, from, watched time.Duration, servers int) float64 {
	const step = 50 * time.Millisecond
	const window = time.Second
	for start := from; start+window <= from+watched; start += step {
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
	return never
}

// failedShare is the share of admitted requests in the 20 s after the fault
// that ended without success, in percent.
func failedShare(v variant, s site, seed uint64) float64 {
	r := newRun(v, s, seed, usersAccounts(s.rate))
	r.start(30 * time.Second)
	from := r.clock.Now + 10*time.Second
	r.servers[3].fails = failShare(1.0/3, from)
	r.finish()
	failed, all := 0, 0
	for _, c := range r.load.calls {
		if c.sent < from || c.limited {
			continue
		}
		all++
		if !c.ok {
			failed++
		}
	}
	return percent(failed, all)
}

// besideSlow is the goodput of a healthy service, in percent, while another
// one hardly answers: the experiment of the paper. Each host gets 12 requests a
// second for the healthy and 30 for the slow one, more than its bound of 16 in
// flight carries at a timeout of a second.
func besideSlow(v variant, s site, seed uint64) float64 {
	s.hosts, s.slow = 4, 4
	accounts := []account{
		{id: "healthy", rate: 100, burst: 100, sends: 48},
		{id: "slow", rate: 200, burst: 200, sends: 120, slow: true},
	}
	r := newRun(v, s, seed, accounts)
	for _, server := range r.servers[s.servers:] {
		server.work = 20 * time.Second
	}
	r.start(20 * time.Second)
	r.finish()
	return r.goodput(0)
}

// fault changes a run that is about to start.
type fault struct {
	name  string
	rate  float64 // times the ordinary load
	apply func(r *run, from time.Duration)
}

// healthyFaults are the faults in which no server is to be ejected.
var healthyFaults = []fault{
	{"one-way cut between a failure domain and a server", 1, func(r *run, from time.Duration) {
		r.servers[3].mute = func(at time.Duration, domain int) bool { return at >= from && domain == 0 }
	}},
	{"all servers fail 30 % of their work", 1, func(r *run, from time.Duration) {
		for _, s := range r.servers {
			s.fails = failShare(0.3, from)
		}
	}},
	{"overload shared by all servers", 6, func(*run, time.Duration) {}},
}

// falseEjections counts decisions to take a server out of use in 30 s of a
// fault that is not any single server's.
func falseEjections(v variant, s site, seed uint64, f fault) float64 {
	r := newRun(v, s, seed, usersAccounts(s.rate*f.rate))
	f.apply(r, r.clock.Now+5*time.Second)
	r.start(35 * time.Second)
	r.finish()
	return float64(r.ejections())
}

// worstServed is the goodput of the worst-served client account among those
// that stay within their rate, in percent of what it sent, while the largest
// sends five times its rate and the servers are near their capacity.
func worstServed(v variant, s site, seed uint64) float64 {
	capacity := float64(s.servers*s.slots) / s.work.Seconds()
	accounts := usersAccounts(0.75 * capacity)
	accounts[0].sends = 5 * accounts[0].rate
	r := newRun(v, s, seed, accounts)
	r.start(60 * time.Second)
	r.finish()
	worst := 100.0
	for i := range accounts[1:] {
		worst = min(worst, r.goodput(i+1))
	}
	return worst
}

// goodput is the share of an account's requests within its rate that were
// answered with success, in percent.
func (r *run) goodput(account int) float64 {
	ok, all := 0, 0
	for _, c := range r.load.calls {
		if c.account != account || !c.within {
			continue
		}
		all++
		if c.ok {
			ok++
		}
	}
	return percent(ok, all)
}

// demand is a way in which requests within the rate arrive.
type demand struct {
	name  string
	apply func(r *run, s site)
}

// moveDemand sends each account's requests to four hosts, which change.
func moveDemand(r *run, s site) {
	r.load.hosts = func(rnd *rand.Rand, account int, at time.Duration) int {
		turn := int(at / (5 * time.Second))
		return (account*7 + turn*11 + rnd.IntN(4)) % s.hosts
	}
}

var demands = []demand{
	{"steady, skewed", func(*run, site) {}},
	{"moves between hosts every 5 s", moveDemand},
	{"store outage and moving demand", func(r *run, s site) {
		moveDemand(r, s)
		r.clock.After(5*time.Second, func() {
			if r.product != nil {
				r.product.fleet.Store.Down = true
			}
		})
	}},
	{"a host is killed and replaced", func(r *run, s site) {
		r.clock.After(5*time.Second, func() { r.replace(s, 0) })
	}},
	{"a failure domain is lost", func(r *run, s site) {
		r.load.hosts = func(rnd *rand.Rand, _ int, at time.Duration) int {
			for {
				if h := rnd.IntN(s.hosts); h%domains != 1 || at < settleTime+5*time.Second {
					return h
				}
			}
		}
		r.clock.After(5*time.Second, func() { r.loseDomain(s, 1) })
	}},
}

// replace kills a host and starts another in its place 20 s later. A plain
// host forgets its tokens; it starts with none.
func (r *run) replace(_ site, host int) {
	if r.product == nil {
		for i := range r.plain.hosts[host].buckets {
			r.plain.hosts[host].buckets[i] = bucket{at: r.clock.Now}
		}
		return
	}
	h := r.product.fleet.Hosts[model.HostID(hostID(host))]
	h.Kill()
	r.clock.After(20*time.Second, func() { r.product.fleet.Start(h.Entry) })
}

func (r *run) loseDomain(s site, domain int) {
	if r.product == nil {
		return // its hosts are not sent to any more, their parts are lost
	}
	for i := range s.hosts {
		if i%domains == domain {
			r.product.fleet.Hosts[model.HostID(hostID(i))].Kill()
		}
	}
}

// refusedWithinRate is the share of requests within their account's rate and
// burst that were refused for want of tokens, in percent. Requests that were
// in flight at a killed host are not refusals.
func refusedWithinRate(v variant, s site, seed uint64, d demand) float64 {
	r := newRun(v, s, seed, usersAccounts(s.rate))
	d.apply(r, s)
	r.start(60 * time.Second)
	r.finish()
	refused, all := 0, 0
	for _, c := range r.load.calls {
		if !c.within {
			continue
		}
		all++
		if c.refused && c.limited {
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
