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
	// period, IdleFor the time since that ended. LastResult is "cancelled" if the
	// host cancelled the attempt at this server.
	LastResult, LastReason string
	LastTrust              float64
	IdleFor                time.Duration
}

// Service returns the periods of a service in order of time, empty if no
// request line names it.
func (l *Logs) Service(service string) []ServicePeriod {
	lines := l.requestLines(service)
	known := triedServers(lines)
	last := make(map[string]lineFields) // last earlier line of each server
	var periods []ServicePeriod
	for len(lines) > 0 {
		start := lines[0].fields.Time.Truncate(usagePeriod)
		n := countBefore(lines, start.Add(usagePeriod))
		period := summarize(start, lines[:n])
		period.ServersKnown = len(known)
		period.Unused = unusedServers(start, lines[:n], known, last)
		periods = append(periods, period)
		for _, line := range lines[:n] {
			for _, server := range line.fields.servers() {
				last[server] = line.fields.at(server)
			}
		}
		lines = lines[n:]
	}
	return periods
}

// cancelledResult is the result of a request at a server whose attempt was cancelled.
const cancelledResult = "cancelled"

// at returns the fields as they apply to one of the servers of the request.
func (f lineFields) at(server string) lineFields {
	if slices.Contains(f.Cancelled, server) {
		f.Result, f.Reason, f.ServerTrust = cancelledResult, "", 0
	}
	return f
}

// requestLines returns the lines of a service's requests in order of time.
func (l *Logs) requestLines(service string) []Line {
	var lines []Line
	for _, line := range l.lines {
		if line.fields.isRequestLine() && line.fields.Service == service {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.fields.Time.Compare(b.fields.Time) })
	return lines
}

// countBefore returns how many of the sorted lines are before an instant.
func countBefore(lines []Line, end time.Time) int {
	n := slices.IndexFunc(lines, func(line Line) bool { return !line.fields.Time.Before(end) })
	if n < 0 {
		return len(lines)
	}
	return n
}

// summarize counts the lines of one period.
func summarize(start time.Time, lines []Line) ServicePeriod {
	p := ServicePeriod{
		Start:       start,
		Requests:    len(lines),
		Reasons:     make(map[string]int),
		ServersUsed: len(triedServers(lines)),
	}
	hosts, short := make(map[string]bool), make(map[string]bool)
	for _, line := range lines {
		f := line.fields
		if f.Result != string(model.Delivered) && f.Result != string(model.Late) {
			p.Unserved++
			p.Reasons[f.Reason]++
		}
		hosts[line.host()] = true
		if f.ServiceShort {
			short[line.host()] = true
		}
		if f.Probe {
			p.Probes++
		}
	}
	p.Hosts, p.ShortHosts = len(hosts), len(short)
	return p
}

// unusedServers returns the known servers that the lines do not name, with the
// last earlier line of each.
func unusedServers(start time.Time, lines []Line, known map[string]bool, last map[string]lineFields) []UnusedServer {
	used := triedServers(lines)
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
