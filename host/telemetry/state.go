package telemetry

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"pollensail.dev/decision/effect"
)

// The metrics of the host's state, all of them gauges.
var (
	descAlive     = stateDesc("alive", "1 if the control loop answers; without it the other gauges of the state are missing.")
	descReady     = stateDesc("ready", "1 if /readyz succeeds.")
	descAuthority = stateDesc("authority", "1 for the authority of the host, which may be connected, store_outage or isolated.", "authority")
	descVersion   = stateDesc("configuration_version", "Version of the tree in force, 0 for none.")
	descLag       = stateDesc("configuration_lag_seconds", "Time for which a newer version than the one in force has been known.")
	descMaxLag    = stateDesc("configuration_max_lag_seconds", "Longest time until a newer version that was known was in force, since the start of the process.")
	descInFlight  = stateDesc("requests_in_flight", "Requests that wait or run.")
	descSlots     = stateDesc("slots", "Slots that the host owns.")
	descEvacuated = stateDesc("evacuated_domains", "Failure domains to whose servers nothing is sent, as this host knows it.")
	descLoad      = stateDesc("service_load", "Expected requests per slot over the servers of a service; statistic is mean or max.", "service", "statistic")
	descSlowness  = stateDesc("service_max_slowness", "Greatest response time of a server in relation to the mean of its service.", "service")
	descReportAge = stateDesc("service_report_age_seconds", "Median age of the servers' last load reports.", "service")
	descChoices   = stateDesc("service_choices", "Choices of a server since the start of the process; domain is own or other.", "service", "domain")
	descBadLoad   = stateDesc("service_invalid_load_reports", "Load reports that broke a rule, since the start of the process.", "service")
	descServers   = stateDesc("servers_out_of_use", "Backend servers that the host does not use normally.", "service", "state")
)

func stateDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("pollensail_"+name, help, labels, nil)
}

// stateCollector queries the control loop once per scrape and returns the host's
// state as gauges. It implements prometheus.Collector.
type stateCollector struct {
	queries *statusQueries
	loop    Loop
}

// Describe sends nothing, which makes the collector unchecked. DescribeByCollect
// would query the control loop, which may not run yet.
func (stateCollector) Describe(chan<- *prometheus.Desc) {}

// Collect queries the control loop and sends the gauges.
func (c stateCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	status, err := c.queries.query(context.Background(), c.loop)
	gauge(descAlive, boolValue(err == nil))
	if err != nil {
		return
	}
	gauge(descReady, boolValue(status.Ready))
	gauge(descAuthority, 1, status.Authority)
	gauge(descVersion, float64(status.Version))
	gauge(descLag, status.ConfigLag.Seconds())
	gauge(descMaxLag, status.MaxConfigLag.Seconds())
	gauge(descInFlight, float64(status.InFlight))
	gauge(descSlots, float64(len(status.Slots)))
	gauge(descEvacuated, float64(countEvacuated(status.Evacuation.Domains)))
	for _, b := range status.Balance {
		service := string(b.Service)
		gauge(descLoad, b.MeanLoad, service, "mean")
		gauge(descLoad, b.MaxLoad, service, "max")
		gauge(descSlowness, b.MaxSlowness, service)
		gauge(descReportAge, b.ReportAge.Seconds(), service)
		gauge(descChoices, float64(b.Choices-b.OutsideChoices), service, "own")
		gauge(descChoices, float64(b.OutsideChoices), service, "other")
		gauge(descBadLoad, float64(b.InvalidReports), service)
	}
	for k, n := range countServers(status.Servers) {
		gauge(descServers, n, k.service, k.state)
	}
}

func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

type serverKey struct{ service, state string }

func countServers(servers []effect.ServerStatus) map[serverKey]float64 {
	counts := make(map[serverKey]float64)
	for _, s := range servers {
		counts[serverKey{string(s.Service), s.State}]++
	}
	return counts
}
