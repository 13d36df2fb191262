package measure

import (
	"fmt"
	"strings"
	"time"

	"pollensail.dev/decision/configuration"
	"pollensail.dev/decision/effect"
	"pollensail.dev/decision/event"
	"pollensail.dev/decision/fleettest"
	"pollensail.dev/decision/model"
	"pollensail.dev/host/store"
)

const (
	domains = 4
	// warmUp is the time that a new fleet runs before the load starts. In this
	// time slots get their owners, and hosts that have just started become old
	// enough for their reports to count as evidence.
	warmUp         = 20 * time.Second
	requestTimeout = time.Second
)

// shippedFleet is the fleet with the policies that ship.
type shippedFleet struct {
	sim     *fleettest.Fleet
	servers []*server
	tree    encodedTree
	// unfinished holds the requests without an outcome.
	unfinished map[model.RequestID]*request
	// attempts lists all attempts in order of time.
	attempts []attemptRecord
}

// attemptRecord is the time and the server of an attempt.
type attemptRecord struct {
	at     time.Duration
	server model.ServerID
}

// encodedTree is a configuration tree in the encoding of the store.
type encodedTree struct {
	root   configuration.Root
	shards map[string]configuration.Shard
}

// newShippedFleet returns a running fleet of hosts without servers. The caller
// adds the servers, because they need the clock of the fleet.
func newShippedFleet(seed uint64, hosts int, regionLink fleettest.LinkQuality, tree configuration.Tree) *shippedFleet {
	p := &shippedFleet{unfinished: make(map[model.RequestID]*request), tree: encodeTree(tree)}
	p.sim = fleettest.New(fleettest.Options{Seed: seed, Link: regionLink, Intercept: p.intercept})
	p.sim.Options.Hosts = entryHosts(hosts)
	for _, entry := range p.sim.Options.Hosts {
		p.sim.Start(entry)
	}
	return p
}

func entryHosts(n int) []model.HostEntry {
	entries := make([]model.HostEntry, n)
	for i := range entries {
		entries[i] = model.HostEntry{ID: hostID(i), Role: model.RoleEntry, Domain: domainID(i % domains)}
	}
	return entries
}

func hostID(i int) string { return fmt.Sprintf("host-%02d", i) }

func domainID(i int) model.DomainID { return model.DomainID(fmt.Sprintf("domain-%d", i)) }

// encodeTree encodes a configuration tree as version 1.
func encodeTree(tree configuration.Tree) encodedTree {
	s := encodedTree{root: configuration.Root{Version: 1}, shards: make(map[string]configuration.Shard)}
	refs, shards, err := store.EncodeTree(tree)
	if err != nil {
		panic(err) // the trees are constant, so an error is a bug in an experiment
	}
	s.root.Shards = refs
	for _, shard := range shards {
		s.shards[shard.Hash] = shard
	}
	return s
}

// intercept executes the effects that concern the configuration tree, backend
// servers and the outcomes of requests. It reports whether it did.
func (p *shippedFleet) intercept(h *fleettest.Host, f effect.Effect) bool {
	switch f := f.(type) {
	case effect.ReadRoot:
		p.sim.After(0, func() { h.Post(event.RootRead{Root: p.tree.root, StoreVersion: 1}) })
	case effect.WatchRoot:
	case effect.ReadShards:
		p.sim.After(0, func() { h.Post(event.ShardsRead{Shards: p.tree.findShards(f.Hashes)}) })
	case effect.Forward:
		p.forward(h, f)
	case effect.RecordOutcome:
		p.recordOutcome(f.Outcome)
	default:
		return false
	}
	return true
}

func (s encodedTree) findShards(hashes []string) []configuration.Shard {
	var shards []configuration.Shard
	for _, hash := range hashes {
		if shard, ok := s.shards[hash]; ok {
			shards = append(shards, shard)
		}
	}
	return shards
}

func (p *shippedFleet) forward(h *fleettest.Host, f effect.Forward) {
	p.attempts = append(p.attempts, attemptRecord{p.sim.Now, f.Server})
	a := &attempt{
		hostDomain: hostDomain(string(h.Ref.ID)),
		deadline:   p.sim.Now + f.Deadline.Sub(h.Now()),
		onResult: func(result model.AttemptResult) {
			if req, ok := p.unfinished[f.Request]; ok {
				req.status = result.Status
			}
			h.Post(event.AttemptEnded{Request: f.Request, Attempt: f.Attempt, Server: f.Server, Result: result})
		},
	}
	for _, s := range p.servers {
		if s.id == f.Server {
			s.send(a)
		}
	}
}

func hostDomain(host string) int {
	var i int
	fmt.Sscanf(host, "host-%d", &i)
	return i % domains
}

func (p *shippedFleet) recordOutcome(o model.Outcome) {
	req, ok := p.unfinished[o.Request]
	if !ok {
		return
	}
	delete(p.unfinished, o.Request)
	req.completed = true
	req.ok = o.Result == model.Delivered && req.status == 200
	req.refused = o.Result == model.Refused
	req.rateLimited = o.Reason == model.ReasonOverRate || o.Reason == model.ReasonTokensUnavailable
}

func serviceSettings(servers []string, workers int) configuration.Settings {
	return configuration.Settings{
		"servers": strings.Join(servers, "\n"), "slots": fmt.Sprint(workers), "connections": "300",
		"floor": "60%", "concurrency": fmt.Sprint(hostConcurrency), "queue": fmt.Sprint(hostQueueLimit),
	}
}

// send implements fleet.
func (p *shippedFleet) send(req *request) {
	id := p.start(req)
	if id == 0 { // the host is down: the load balancer uses the next one
		req.host = (req.host + 1) % len(p.sim.Hosts)
		id = p.start(req)
	}
	p.unfinished[id] = req
}

func (p *shippedFleet) start(req *request) model.RequestID {
	path := "/lookup"
	if req.slow {
		path = "/slow"
	}
	return p.sim.Request(model.HostID(hostID(req.host)), event.RequestArrived{
		HasKey: true, Key: accountKey(req.account), Method: "GET", Path: path,
	})
}

func accountKey(account int) (key model.KeyHash) {
	key[0], key[1] = byte(account+1), byte(account>>8)
	return key
}

// ejections returns the number of ejections of servers so far.
func (p *shippedFleet) ejections() int {
	n := 0
	for _, notice := range p.sim.Notices {
		if notice.Kind == effect.NoticeEjected {
			n++
		}
	}
	return n
}

// settingsTree returns the configuration tree of an experiment.
func settingsTree(accounts []account, s site) configuration.Tree {
	list := make([]string, s.servers+s.slowServers)
	for i := range list {
		list[i] = string(serverID(i))
	}
	var names []string
	for i := range domains {
		names = append(names, string(domainID(i)))
	}
	t := configuration.Tree{Branches: map[configuration.Path]configuration.Settings{
		"":                {"domains": strings.Join(names, "\n"), "slots_per_domain": "4"},
		"accounts":        {},
		"routes":          {},
		"services":        {},
		"routes/lookup":   {"path": "/lookup", "service": "lookup", "class": "interactive", "timeout": requestTimeout.String()},
		"services/lookup": serviceSettings(list[:s.servers], s.workers),
	}}
	if s.slowServers > 0 {
		t.Branches["routes/slow"] = configuration.Settings{"path": "/slow", "service": "slow", "class": "interactive", "timeout": requestTimeout.String()}
		t.Branches["services/slow"] = serviceSettings(list[s.servers:], s.workers)
	}
	for i, a := range accounts {
		t.Branches[configuration.Path("accounts/"+string(a.id))] = configuration.Settings{
			"rate":  fmt.Sprintf("%g/s", a.rate),
			"burst": fmt.Sprint(a.burst),
			"keys":  fmt.Sprintf("sha256:%x", accountKey(i)),
		}
	}
	return t
}
