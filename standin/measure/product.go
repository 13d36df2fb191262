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
	// settleTime is how long a new fleet runs before the load starts: slots
	// get their owners and restarted hosts count as evidence.
	settleTime = 20 * time.Second
	timeout    = time.Second
)

// product is the fleet as it ships.
type product struct {
	fleet   *fleettest.Fleet
	servers []*server
	tree    stored
	// calls are by request.
	calls map[model.RequestID]*call
	// attempts counts what each server got, with the time.
	attempts []useOf
}

// useOf is an attempt at a server by a host.
type useOf struct {
	at     time.Duration
	server model.ServerID
}

// stored is a tree in its stored form.
type stored struct {
	root   configuration.Root
	shards map[string]configuration.Shard
}

// newProduct returns a running fleet of hosts. The servers are added by the
// caller, because they need the fleet's clock.
func newProduct(seed uint64, hosts int, line fleettest.Line, tree configuration.Tree) *product {
	p := &product{calls: make(map[model.RequestID]*call), tree: encodeTree(tree)}
	p.fleet = fleettest.New(fleettest.Options{Seed: seed, Line: line, Intercept: p.carryOut})
	p.fleet.Options.Hosts = entryHosts(hosts)
	for _, entry := range p.fleet.Options.Hosts {
		p.fleet.Start(entry)
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

// encodeTree encodes a tree as version 1.
func encodeTree(tree configuration.Tree) stored {
	s := stored{root: configuration.Root{Version: 1}, shards: make(map[string]configuration.Shard)}
	refs, shards, err := store.EncodeTree(tree)
	if err != nil {
		panic(err) // the trees of experiments are fixed
	}
	s.root.Shards = refs
	for _, shard := range shards {
		s.shards[shard.Hash] = shard
	}
	return s
}

// carryOut takes the effects that concern the tree and backend servers.
func (p *product) carryOut(h *fleettest.Host, f effect.Effect) bool {
	switch f := f.(type) {
	case effect.ReadRoot:
		p.fleet.After(0, func() { h.Post(event.RootRead{Root: p.tree.root, StoreVersion: 1}) })
	case effect.WatchRoot:
	case effect.ReadShards:
		p.fleet.After(0, func() { h.Post(event.ShardsRead{Shards: p.tree.read(f.Hashes)}) })
	case effect.Forward:
		p.forward(h, f)
	case effect.Record:
		p.record(f.Outcome)
	default:
		return false
	}
	return true
}

func (s stored) read(hashes []string) []configuration.Shard {
	var shards []configuration.Shard
	for _, hash := range hashes {
		if shard, ok := s.shards[hash]; ok {
			shards = append(shards, shard)
		}
	}
	return shards
}

func (p *product) forward(h *fleettest.Host, f effect.Forward) {
	p.attempts = append(p.attempts, useOf{p.fleet.Now, f.Server})
	a := &attempt{
		domain:   domainOf(string(h.Ref.ID)),
		deadline: p.fleet.Now + f.Deadline.Sub(h.Now()),
		done: func(result model.AttemptResult) {
			if c, ok := p.calls[f.Request]; ok {
				c.status = result.Status
			}
			h.Post(event.AttemptEnded{Request: f.Request, Server: f.Server, Result: result})
		},
	}
	for _, s := range p.servers {
		if s.id == f.Server {
			s.send(a)
		}
	}
}

func domainOf(host string) int {
	var i int
	fmt.Sscanf(host, "host-%d", &i)
	return i % domains
}

func (p *product) record(o model.Outcome) {
	c, ok := p.calls[o.Request]
	if !ok {
		return
	}
	delete(p.calls, o.Request)
	c.ended = true
	c.ok = o.Result == model.Delivered && c.status == 200
	c.refused = o.Result == model.Refused
	c.limited = o.Reason == model.ReasonOverRate || o.Reason == model.ReasonTokensUnavailable
}

func service(servers []string, slots int) configuration.Settings {
	return configuration.Settings{
		"servers": strings.Join(servers, "\n"), "slots": fmt.Sprint(slots), "connections": "300",
		"floor": "60%", "concurrency": fmt.Sprint(plainConcurrency), "queue": fmt.Sprint(plainQueue),
	}
}

// send implements policy.
func (p *product) send(c *call) {
	id := p.request(c)
	if id == 0 { // the host is down: the balancer has noticed
		c.host = (c.host + 1) % len(p.fleet.Hosts)
		id = p.request(c)
	}
	p.calls[id] = c
}

func (p *product) request(c *call) model.RequestID {
	path := "/lookup"
	if c.slow {
		path = "/slow"
	}
	return p.fleet.Request(model.HostID(hostID(c.host)), event.RequestArrived{
		HasKey: true, Key: keyOf(c.account), Method: "GET", Path: path,
	})
}

func keyOf(account int) (key model.KeyHash) {
	key[0], key[1] = byte(account+1), byte(account>>8)
	return key
}

// ejections counts the decisions to take a server out of use.
func (p *product) ejections() int {
	n := 0
	for _, notice := range p.fleet.Notices {
		if notice.Kind == effect.NoticeEjected {
			n++
		}
	}
	return n
}

// tree returns the settings of an experiment.
func tree(accounts []account, s site) configuration.Tree {
	list := make([]string, s.servers+s.slow)
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
		"routes/lookup":   {"path": "/lookup", "service": "lookup", "class": "interactive", "timeout": timeout.String()},
		"services/lookup": service(list[:s.servers], s.slots),
	}}
	if s.slow > 0 {
		t.Branches["routes/slow"] = configuration.Settings{"path": "/slow", "service": "slow", "class": "interactive", "timeout": timeout.String()}
		t.Branches["services/slow"] = service(list[s.servers:], s.slots)
	}
	for i, a := range accounts {
		t.Branches[configuration.Path("accounts/"+string(a.id))] = configuration.Settings{
			"rate":  fmt.Sprintf("%g/s", a.rate),
			"burst": fmt.Sprint(a.burst),
			"keys":  fmt.Sprintf("sha256:%x", keyOf(i)),
		}
	}
	return t
}
