package configuration

import (
	"time"

	"pollensail.dev/decision/model"
)

// The upper limits of settings exclude values that can only be mistakes.
const (
	maxSlotsPerDomain = 64
	maxBurst          = 1_000_000_000
	maxWeight         = 1000
	maxPriority       = 1_000_000_000
	maxCount          = 1_000_000_000
	maxColdRate       = 1_000_000
	maxColdSlack      = 1_000_000
	maxColdOvershoot  = 1000
	// minColdRate is one request in a day, the longest cold_ramp.
	minColdRate = 1.0 / 86_400
)

// MinListAge is the minimum of the setting list_age. It leaves time for several
// requests for the list between hosts.
const MinListAge = 500 * time.Millisecond

var rootDefinitions = []definition[Snapshot]{
	{Setting{Name: "domains", Kind: KindRoot, Required: true, List: true,
		Expected: "the names of the failure domains, each once"},
		func(s *Snapshot, v string) bool { return parseDomains(&s.Domains, v) }},
	{Setting{Name: "slots_per_domain", Kind: KindRoot, Default: "4",
		Expected: "a whole number from 1 to 64"},
		func(s *Snapshot, v string) bool { return parseCount(&s.SlotsPerDomain, v, 1, maxSlotsPerDomain) }},
	{Setting{Name: "list_age", Kind: KindRoot,
		Expected: "how old a host's copy of the list of hosts and servers may be before the host watches the list itself, " +
			"a duration from 500ms to 24h; unset: each host always watches it"},
		func(s *Snapshot, v string) bool { return parseDuration(&s.ListAge, v, MinListAge, maxTimeout) }},
	{Setting{Name: "withdrawal", Kind: KindRoot,
		Expected: "the longest time until a revoked key stops working on every host, a duration from 1s to 24h; " +
			"unset: valid keys keep working while the store is down for all hosts"},
		func(s *Snapshot, v string) bool {
			return parseDuration(&s.KeyRevocationDelay, v, time.Second, maxTimeout)
		}},
	{Setting{Name: "regions", Kind: KindRoot, List: true,
		Expected: `failure domains of the setting domains, each once and with its region, such as "north eu"`},
		func(s *Snapshot, v string) bool { return parseRegions(&s.Regions, v) }},
	{Setting{Name: "invalid_objects", Kind: KindRoot, Default: "reject",
		Expected: `what a client account, route or service with an invalid setting costs: "reject", the whole version, or ` +
			`"isolate", requests to this object, for a store that has accepted the version already`},
		func(s *Snapshot, v string) bool {
			s.IsolatesInvalid = v == "isolate"
			return v == "isolate" || v == "reject"
		}},
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
		Expected: "the account name that is sent to backend servers, without control characters; unset: the path of the account"},
		func(a *Account, v string) bool { return parseName(&a.Name, v) }},
	{Setting{Name: "priority", Kind: KindAccount,
		Expected: "the priority of the account's requests, from 0 (highest) to 1000000000; unset: the route's"},
		func(a *Account, v string) bool {
			a.HasPriority = true
			return parseCount(&a.Priority, v, 0, maxPriority)
		}},
	{Setting{Name: "routes", Kind: KindAccount, List: true,
		Expected: `routes or branches of routes that exist, without "routes/"; unset allows all`},
		func(a *Account, v string) bool { return parsePaths(&a.Routes, v) }},
	{Setting{Name: "allowed_regions", Kind: KindAccount, List: true,
		Expected: "regions of the root's setting regions, each once, whose servers may get the account's requests; unset allows all"},
		func(a *Account, v string) bool { return parseAllowedRegions(&a.AllowedRegions, v) }},
	{Setting{Name: "keys", Kind: KindAccount, OwnOnly: true, List: true, MergeByElement: true, Secret: true,
		Expected: `SHA-256 hashes of keys, each once in the whole tree, such as "sha256:" and 64 hexadecimal digits`},
		func(a *Account, v string) bool { return parseKeys(&a.Keys, v) }},
}

// routeDraft is a route under construction. It records which settings are set
// whose defaults depend on other settings.
type routeDraft struct {
	Route
	hasIdempotent     bool
	hasIdempotencyKey bool
}

var routeDefinitions = []definition[routeDraft]{
	{Setting{Name: "hosts", Kind: KindRoute, List: true,
		Expected: `names in the Host header in lower case, each once; unset: any name that no other route has`},
		func(r *routeDraft, v string) bool { return parseHosts(&r.Hosts, v) }},
	{Setting{Name: "path", Kind: KindRoute, Required: true, OwnOnly: true,
		Expected: `a prefix of request paths that no other route with the same host name has, such as "/rings"; ` +
			`one that ends with "/" matches only paths below it`},
		func(r *routeDraft, v string) bool { return parseURLPath(&r.Path, v) }},
	{Setting{Name: "methods", Kind: KindRoute, List: true,
		Expected: `HTTP methods in upper case, each once, such as "GET"; unset allows all`},
		func(r *routeDraft, v string) bool { return parseMethods(&r.Methods, v) }},
	{Setting{Name: "service", Kind: KindRoute,
		Expected: `the name of a service that exists, without "services/"; either this or split is required`},
		func(r *routeDraft, v string) bool { return parseService(&r.Service, v) }},
	{Setting{Name: "split", Kind: KindRoute, List: true,
		Expected: `services that exist, each with a weight of at least 0, such as "lookup 90"; the weights are not all 0`},
		func(r *routeDraft, v string) bool { return parseSplit(&r.Split, v) }},
	{Setting{Name: "class", Kind: KindRoute, Default: model.Interactive.String(),
		Expected: `"interactive", "mutation", "batch" or "upload"`},
		func(r *routeDraft, v string) bool { return parseClass(&r.Class, v) }},
	{Setting{Name: "open", Kind: KindRoute, Default: "false", Expected: `"true" or "false"`},
		func(r *routeDraft, v string) bool { return parseBool(&r.Open, v) }},
	{Setting{Name: "idempotent", Kind: KindRoute,
		Expected: `"true" or "false"; unset: false for the classes mutation and upload, true for the others`},
		func(r *routeDraft, v string) bool {
			r.hasIdempotent = true
			return parseBool(&r.Idempotent, v)
		}},
	{Setting{Name: "timeout", Kind: KindRoute, Default: "10s",
		Expected: `a duration from 1ms to 24h, such as "800ms"`},
		func(r *routeDraft, v string) bool { return parseDuration(&r.Timeout, v, minTimeout, maxTimeout) }},
	{Setting{Name: "idempotency_key", Kind: KindRoute,
		Expected: `"required" or "none"; unset: required where the route is not idempotent`},
		func(r *routeDraft, v string) bool {
			r.hasIdempotencyKey = true
			r.NeedsIdempotencyKey = v == "required"
			return v == "required" || v == "none"
		}},
	{Setting{Name: "target", Kind: KindRoute,
		Expected: `the latency up to which a response is fully useful, a duration of at most 24h; 0s: none`},
		func(r *routeDraft, v string) bool { return parseDuration(&r.Target, v, 0, maxTimeout) }},
	{Setting{Name: "attempts", Kind: KindRoute, Default: "3",
		Expected: "the maximum number of servers that a request is sent to, at least 1"},
		func(r *routeDraft, v string) bool { return parseCount(&r.Attempts, v, 1, maxCount) }},
	{Setting{Name: "priority", Kind: KindRoute, Default: "0",
		Expected: "the priority of the route's requests, from 0 (highest) to 1000000000"},
		func(r *routeDraft, v string) bool { return parseCount(&r.Priority, v, 0, maxPriority) }},
	{Setting{Name: "allowed_regions", Kind: KindRoute, List: true,
		Expected: "regions of the root's setting regions, each once, whose servers may get the route's requests; unset allows all"},
		func(r *routeDraft, v string) bool { return parseAllowedRegions(&r.AllowedRegions, v) }},
}

var serviceDefinitions = []definition[Service]{
	{Setting{Name: "servers", Kind: KindService, OwnOnly: true, List: true, MergeByElement: true,
		Expected: `addresses of backend servers, each once in the whole tree, such as "10.0.0.1:8080"`},
		func(s *Service, v string) bool { return parseServers(&s.Servers, v) }},
	{Setting{Name: "slots", Kind: KindService, Default: "4",
		Expected: "how many requests a server processes concurrently, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.ServerConcurrency, v, 1, maxCount) }},
	{Setting{Name: "connections", Kind: KindService, Default: "300",
		Expected: "how many connections a server accepts from all hosts together, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.Connections, v, 1, maxCount) }},
	{Setting{Name: "floor", Kind: KindService, Default: "50%",
		Expected: `the share of servers that always stays in use, "0%" to "100%"`},
		func(s *Service, v string) bool { return parsePercent(&s.Floor, v) }},
	{Setting{Name: "concurrency", Kind: KindService, Default: "64",
		Expected: "how many requests a host may have in flight to the service, at least 1"},
		func(s *Service, v string) bool { return parseCount(&s.Concurrency, v, 1, maxCount) }},
	{Setting{Name: "queue", Kind: KindService, Default: "64",
		Expected: "how many requests of a host may wait for the service, at least 0"},
		func(s *Service, v string) bool { return parseCount(&s.Queue, v, 0, maxCount) }},
	{Setting{Name: "detection", Kind: KindService, Default: "counted",
		Expected: `how failing servers are detected: "counted" over all hosts by a coordinator, which ejects them, ` +
			`or "shared", each failure broadcast to all hosts`},
		func(s *Service, v string) bool {
			s.SharedDetection = v == "shared"
			return v == "shared" || v == "counted"
		}},
	{Setting{Name: "balance", Kind: KindService, Default: "reported",
		Expected: `how the load of servers is taken into account: "reported", the last report while it is recent, ` +
			`or "estimated", the expected load between reports and the speed of each server`},
		func(s *Service, v string) bool {
			s.EstimatesLoad = v == "estimated"
			return v == "estimated" || v == "reported"
		}},
	{Setting{Name: "retry_share", Kind: KindService, Default: "10%",
		Expected: `the share of requests that may be retried on a second server, "0%" to "100%"`},
		func(s *Service, v string) bool { return parsePercent(&s.RetryShare, v) }},
	{Setting{Name: "retry_extra", Kind: KindService,
		Expected: "how many additional retries the fleet may make in any window, at least 1; unset: each host a few"},
		func(s *Service, v string) bool { return parseCount(&s.RetryExtra, v, 1, maxCount) }},
	{Setting{Name: "retry_window", Kind: KindService, Default: "10s",
		Expected: `the window of retry_extra, a duration from 1s to 24h`},
		func(s *Service, v string) bool { return parseDuration(&s.RetryWindow, v, time.Second, maxTimeout) }},
	{Setting{Name: "cold_ramp", Kind: KindService, Default: "10s",
		Expected: `the slow-start time of a new server, a duration from 0s to 24h, such as "10s"`},
		func(s *Service, v string) bool { return parseDuration(&s.SlowStart, v, 0, maxTimeout) }},
	{Setting{Name: "cold_rate", Kind: KindService,
		Expected: "how many requests a second all hosts together send a server during cold_ramp, " +
			"a number above 0 and at most 1000000; unset: no limit"},
		func(s *Service, v string) bool { return parseNumber(&s.ColdRate, v, minColdRate, maxColdRate) }},
	{Setting{Name: "cold_overshoot", Kind: KindService, Default: "1",
		Expected: "the factor by which requests may exceed cold_rate, a number from 1 to 1000"},
		func(s *Service, v string) bool { return parseNumber(&s.ColdOvershoot, v, 1, maxColdOvershoot) }},
	{Setting{Name: "cold_slack", Kind: KindService, Default: "0",
		Expected: "how many requests more may arrive in any one second, a whole number from 0 to 1000000"},
		func(s *Service, v string) bool { return parseCount(&s.ColdSlack, v, 0, maxColdSlack) }},
}
