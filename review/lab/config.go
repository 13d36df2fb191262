package main

// tenant, rule and document are the parts of the operator's configuration that
// the cases use.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst int
}

type rule struct {
	host, name, kind, prefix, service string
	split                             []any
	timeout                           string
	attempts                          int
}

// document returns the configuration as the operator writes it to op/config.
func document(version string, services []string, tenants []tenant, rules []rule) map[string]any {
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 330, "protocol": "h1", "tls": false,
		})
	}
	accounts := []any{}
	for _, t := range tenants {
		account := map[string]any{"name": t.name, "api_keys": t.keys, "priority": 0}
		if t.rate > 0 {
			account["rate_per_s"], account["burst"] = t.rate, t.burst
		}
		accounts = append(accounts, account)
	}
	byHost := map[string][]any{}
	var order []string
	for _, r := range rules {
		if _, ok := byHost[r.host]; !ok {
			order = append(order, r.host)
		}
		action := map[string]any{"timeout": r.timeout, "max_attempts": r.attempts}
		if r.service != "" {
			action["service"] = r.service
		} else {
			action["traffic_split"] = r.split
		}
		byHost[r.host] = append(byHost[r.host], map[string]any{
			"name": r.name, "kind": r.kind, "target_latency": "2000ms", "priority": 1, "public": false,
			"match": map[string]any{"path_prefix": r.prefix}, "action": action,
		})
	}
	listeners := []any{}
	for _, h := range order {
		listeners = append(listeners, map[string]any{"host": h, "rules": byHost[h]})
	}
	return map[string]any{
		"version": version,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864,
			"header_timeout": "3000ms", "idle_timeout": "15000ms",
		},
		"tenants": accounts, "listeners": listeners, "clusters": clusters,
	}
}
