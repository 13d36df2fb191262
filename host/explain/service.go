package explain

import (
	"slices"
	"strings"
	"time"

	"pollensail.dev/decision/model"
)

// usagePeriod is the length of a ServicePeriod.
const usagePeriod = 2 * time.Second

// ServicePeriod is what the logs say of one service in a period of
// usagePeriod. A request counts in the period in which it ended.
type ServicePeriod struct {
	Start    time.Time
	Requests int
	Unserved int
	// Reasons counts the unserved requests by reason.
	Reasons map[string]int
	// ServersUsed counts the servers that got a request; ServersKnown those that
	// any line of the logs names.
	ServersUsed, ServersKnown int
	Probes                    int // requests that tested suspected servers
	// ShortHosts counts the hosts that logged a request while they held the
	// service to be short of servers, Hosts all that logged one.
	ShortHosts, Hosts int
	// Unused are the servers without a request in the period.
	Unused []UnusedServer
}

// UnusedServer is a server that no host used in a period.
type UnusedServer struct {
	Server string
	// LastResult, LastReason and LastTrust are of its last request before the
	// period, IdleFor the time since that ended.
	LastResult, LastReason string
	LastTrust              float64
	IdleFor                time.Duration
}

// Service returns the periods of a service in order of time, empty if no
// request line names it.
func (l *Logs) Service(service string) []ServicePeriod {
	var lines []Line
	for _, line := range l.lines {
		if line.fields.isRequestLine() && line.fields.Service == service {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.fields.Time.Compare(b.fields.Time) })
	known := make(map[string]bool)
	for _, line := range lines {
		for _, server := range line.fields.servers() {
			known[server] = true
		}
	}
	last := make(map[string]lineFields)
	var periods []ServicePeriod
	for len(lines) > 0 {
		start := lines[0].fields.Time.Truncate(usagePeriod)
		end := slices.IndexFunc(lines, func(line Line) bool { return !line.fields.Time.Before(start.Add(usagePeriod)) })
		if end < 0 {
			end = len(lines)
		}
		period := summarize(start, lines[:end])
		period.ServersKnown = len(known)
		period.Unused = unusedServers(start, lines[:end], known, last)
		periods = append(periods, period)
		for _, line := range lines[:end] {
			for _, server := range line.fields.servers() {
				last[server] = line.fields
			}
		}
		lines = lines[end:]
	}
	return periods
}

// summarize counts the lines of one period.
func summarize(start time.Time, lines []Line) ServicePeriod {
	p := ServicePeriod{Start: start, Reasons: make(map[string]int)}
	used, hosts, short := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		f := line.fields
		p.Requests++
		if f.Result != string(model.Delivered) && f.Result != string(model.Late) {
			p.Unserved++
			p.Reasons[f.Reason]++
		}
		for _, server := range f.servers() {
			used[server] = true
		}
		hosts[line.host()] = true
		if f.ServiceShort {
			short[line.host()] = true
		}
		if f.Probe {
			p.Probes++
		}
	}
	p.ServersUsed, p.Hosts, p.ShortHosts = len(used), len(hosts), len(short)
	return p
}

// unusedServers returns the known servers that the lines do not name, with the
// last earlier line of each.
func unusedServers(start time.Time, lines []Line, known map[string]bool, last map[string]lineFields) []UnusedServer {
	used := make(map[string]bool)
	for _, line := range lines {
		for _, server := range line.fields.servers() {
			used[server] = true
		}
	}
	var unused []UnusedServer
	for server := range known {
		if used[server] {
			continue
		}
		u := UnusedServer{Server: server}
		if f, ok := last[server]; ok {
			u.LastResult, u.LastReason, u.LastTrust = f.Result, f.Reason, f.ServerTrust
			u.IdleFor = start.Sub(f.Time)
		}
		unused = append(unused, u)
	}
	slices.SortFunc(unused, func(a, b UnusedServer) int { return strings.Compare(a.Server, b.Server) })
	return unused
}
