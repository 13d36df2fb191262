package configuration

import (
	"time"

	"pollensail.dev/decision/model"
)

// The limits of settings. They exclude values that can only be mistakes.
const (
	maxSlotsPerDomain = 64
	maxBurst          = 1_000_000
	maxWeight         = 1000
	maxPriority       = 1000
	maxAttempts       = 10
	maxCount          = 1_000_000
)

// MinListAge is the shortest list_age. It leaves time for several questions
// between hosts.
const MinListAge = 500 * time.Millisecond

var rootDefinitions = []definition[Snapshot]{
	{Setting{Name: "domains", Kind: KindRoot, Required: true, List: true,
		Expected: "the names of the failure domains, each once"},
		func(s *Snapshot, v string) bool { return parseDomains(&s.Domains, v) }},
	{Setting{Name: "slots_per_domain", Kind: KindRoot, Default: "4",
		Expected: "a whole number from 1 to 64"},
		func(s *Snapshot, v string) bool { return parseCount(&s.SlotsPerDomain, v, 1, maxSlotsPerDomain) }},
	{Setting{Name: "list_age", Kind: KindRoot,
		Expected: "how old the list of hosts and servers may be before a host follows it itself, " +
			"a duration from 500ms to 10m; unset: each host always does"},
		func(s *Snapshot, v string) bool { return parseDuration(&s.ListAge, v, MinListAge, maxTimeout) }},
	{Setting{Name: "withdrawal", Kind: KindRoot,
		Expected: "how soon a withdrawn key stops on every host, a duration from 1s to 10m; " +
			"unset: valid keys work while the store is down for all"},
		func(s *Snapshot, v string) bool { return parseDuration(&s.Withdrawal, v, time.Second, maxTimeout) }},
}

var accountDefinitions = []definition[Account]{
	{Setting{Name: "rate", Kind: KindAccount, Required: true,
		Expected: `requests a second or a minute over the whole fleet, such as "20/s" or "90/m", or "unlimited"`},
		func(a *Account, v string) bool { return parseRate(&a.Rate, v) }},
	{Setting{Name: "burst", Kind: KindAccount, Required: true,
		Expected: "a whole number of requests, at least 1"},
		func(a *Account, v string) bool { return parseCount(&a.Burst, v, 1, maxBurst) }},
	{Setting{Name: "weight", Kind: KindAccount, Default: "1",
		Expected: "a whole number from 1 to 1000"},
		func(a *Account, v string) bool { return parseCount(&a.Weight, v, 1, maxWeight) }},
	{Setting{Name: "name", Kind: KindAccount, OwnOnly: true,
		Expected: "the name that backend servers are told, printable ASCII; unset: the path of the account"},
		func(a *Account, v string) bool { return parseName(&a.Name, v) }},
	{Setting{Name: "priority", Kind: KindAccount,
		Expected: "the rank of the account's requests, 0 the highest, to 1000; unset: the route's"},
		func(a *Account, v string) bool {
			a.HasPriority = true
			return parseCount(&a.Priority, v, 0, maxPriority)
		}},
	{Setting{Name: "routes", Kind: KindAccount, List: true,
		Expected: `routes or branches of routes that exist, without "routes/"; unset allows all`},
		func(a *Account, v string) bool { return parsePaths(&a.Routes, v) }},
	{Setting{Name: "keys", Kind: KindAccount, OwnOnly: true, List: true, MergeByElement: true, Secret: true,
		Expected: `SHA-256 hashes of keys, each once in the whole tree, such as "sha256:" and 64 hexadecimal digits`},
		func(a *Account, v string) bool { return parseKeys(&a.Keys, v) }},
}

// routeDraft is a route while it is put together.
type routeDraft struct {
	Route
	idempotentSet bool
	keySet        bool
}

var routeDefinitions = []definition[routeDraft]{
	{Setting{Name: "hosts", Kind: KindRoute, List: true,
		Expected: `names in the Host field in lower case, each once; unset: any name that no other route has`},
		func(r *routeDraft, v string) bool { return parseHosts(&r.Hosts, v) }},
	{Setting{Name: "path", Kind: KindRoute, Required: true, OwnOnly: true,
		Expected: `a prefix of request paths that no other route of the host name has, such as "/rings"; ` +
			`one that ends with "/" has what lies below it only`},
		func(r *routeDraft, v string) bool { return parseURLPath(&r.Path, v) }},
	{Setting{Name: "methods", Kind: KindRoute, List: true,
		Expected: `HTTP methods in upper case, each once, such as "GET"; unset allows all`},
		func(r *routeDraft, v string) bool { return parseMethods(&r.Methods, v) }},
	{Setting{Name: "service", Kind: KindRoute,
		Expected: `the name of a service that exists, without "services/"; either this or split is required`},
		func(r *routeDraft, v string) bool { return parseService(&r.Service, v) }},
	{Setting{Name: "split", Kind: KindRoute, List: true,
		Expected: `services that exist, each with a weight from 1 to 1000000, such as "lookup 90"`},
		func(r *routeDraft, v string) bool { return parseSplit(&r.Split, v) }},
	{Setting{Name: "class", Kind: KindRoute, Default: model.Interactive.String(),
		Expected: `"interactive", "mutation" or "batch"`},
		func(r *routeDraft, v string) bool { return parseClass(&r.Class, v) }},
	{Setting{Name: "open", Kind: KindRoute, Default: "false", Expected: `"true" or "false"`},
		func(r *routeDraft, v string) bool { return parseBool(&r.Open, v) }},
	{Setting{Name: "idempotent", Kind: KindRoute,
		Expected: `"true" or "false"; unset: false for class mutation, true for the others`},
		func(r *routeDraft, v string) bool {
			r.idempotentSet = true
			return parseBool(&r.Idempotent, v)
		}},
	{Setting{Name: "timeout", Kind: KindRoute, Default: "10s",
		Expected: `a duration from 1ms to 10m, such as "800ms"`},
		func(r *routeDraft, v string) bool { return parseDuration(&r.Timeout, v, minTimeout, maxTimeout) }},
	{Setting{Name: "idempotency_key", Kind: KindRoute,
		Expected: `"required" or "none"; unset: required where the route is not idempotent`},
		func(r *routeDraft, v string) bool {
			r.keySet = true
			r.NeedsIdempotencyKey = v == "required"
			return v == "required" || v == "none"
		}},
	{Setting{Name: "target", Kind: KindRoute,
		Expected: `the latency up to which an answer is of full use, a duration from 1ms to 10m`},
		func(r *routeDraft, v string) bool { return parseDuration(&r.Target, v, minTimeout, maxTimeout) }},
	{Setting{Name: "attempts", Kind: KindRoute, Default: "3",
		Expected: "how many servers a request is sent to at most, 1 to 10"},
		func(r *routeDraft, v string) bool { return parseCount(&r.Attempts, v, 1, maxAttempts) }},
	{Setting{Name: "priority", Kind: KindRoute, Default: "0",
		Expected: "the rank of the route's requests, 0 the highest, to 1000"},
		func(r *routeDraft, v string) bool { return parseCount(&r.Priority, v, 0, maxPriority) }},
}

var serviceDefinitions = []definition[Service]{
	{Setting{Name: "servers", Kind: KindService, OwnOnly: true, List: true, MergeByElement: true,
		Expected: `addresses of backend servers, each once in the whole tree, such as "10.0.0.1:8080"`},
		func(s *Service, v string) bool { return parseServers(&s.Servers, v) }},
	{Setting{Name: "slots", Kind: KindService, Default: "4",
		Expected: "how many requests a server works on at once, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.Slots, v, 1, maxCount) }},
	{Setting{Name: "connections", Kind: KindService, Default: "300",
		Expected: "how many connections a server takes over all hosts, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.Connections, v, 1, maxCount) }},
	{Setting{Name: "floor", Kind: KindService, Default: "50%",
		Expected: `the share of servers that stays in use, "0%" to "100%"`},
		func(s *Service, v string) bool { return parsePercent(&s.Floor, v) }},
	{Setting{Name: "concurrency", Kind: KindService, Default: "64",
		Expected: "how many requests a host has in flight to the service, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.Concurrency, v, 1, maxCount) }},
	{Setting{Name: "queue", Kind: KindService, Default: "64",
		Expected: "how many requests of a host wait for the service, at least 0"},
		func(s *Service, v string) bool { return parseCount(&s.Queue, v, 0, maxCount) }},
	{Setting{Name: "detection", Kind: KindService, Default: "counted",
		Expected: `how failing servers are found: "counted" over all hosts by a coordinator, which ejects them, ` +
			`or "shared", each failure told to all hosts`},
		func(s *Service, v string) bool {
			s.SharedDetection = v == "shared"
			return v == "shared" || v == "counted"
		}},
	{Setting{Name: "retry_share", Kind: KindService, Default: "10%",
		Expected: `the share of requests that may be sent to a second server, "0%" to "100%"`},
		func(s *Service, v string) bool { return parsePercent(&s.RetryShare, v) }},
	{Setting{Name: "retry_extra", Kind: KindService,
		Expected: "how many requests more the fleet may send again in any window, at least 1; unset: each host a few"},
		func(s *Service, v string) bool { return parseCount(&s.RetryExtra, v, 1, maxCount) }},
	{Setting{Name: "retry_window", Kind: KindService, Default: "10s",
		Expected: `the window of retry_extra, a duration from 1s to 10m`},
		func(s *Service, v string) bool { return parseDuration(&s.RetryWindow, v, time.Second, maxTimeout) }},
	{Setting{Name: "cold_ramp", Kind: KindService, Default: "10s",
		Expected: `a duration from 0s to 10m, such as "10s"`},
		func(s *Service, v string) bool { return parseDuration(&s.ColdRamp, v, 0, maxTimeout) }},
}
