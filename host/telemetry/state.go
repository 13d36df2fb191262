package telemetry

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"pollensail.dev/decision/effect"
)

// The metrics of the host's state. All are gauges.
var (
	descAlive     = stateDesc("alive", "1 if the control loop answers; without it the other gauges of the state are missing.")
	descReady     = stateDesc("ready", "1 if /readyz succeeds.")
	descAuthority = stateDesc("authority", "1 for the authority of the host, which may be connected, store_outage or isolated.", "authority")
	descVersion   = stateDesc("configuration_version", "Version of the tree in force, 0 for none.")
	descInFlight  = stateDesc("requests_in_flight", "Requests that wait or run.")
	descSlots     = stateDesc("slots", "Slots that the host owns.")
	descServers   = stateDesc("servers_out_of_use", "Backend servers that the host does not use normally.", "service", "state")
)

func stateDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("pollensail_"+name, help, labels, nil)
}

// stateCollector asks the control loop once for each scrape. It implements
// prometheus.Collector.
type stateCollector struct {
	queries *queries
	loop    Loop
}

// Describe sends nothing: the collector is unchecked, because a description by
// example would ask a loop that may not run yet.
func (stateCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the gauges.
func (c stateCollector) Collect(out chan<- prometheus.Metric) {
	gauge := func(desc *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value, labels...)
	}
	status, err := c.queries.ask(context.Background(), c.loop)
	gauge(descAlive, oneIf(err == nil))
	if err != nil {
		return
	}
	gauge(descReady, oneIf(status.Ready))
	gauge(descAuthority, 1, status.Authority)
	gauge(descVersion, float64(status.Version))
	gauge(descInFlight, float64(status.InFlight))
	gauge(descSlots, float64(len(status.Slots)))
	for k, n := range countServers(status.Servers) {
		gauge(descServers, n, k.service, k.state)
	}
}

func oneIf(is bool) float64 {
	if is {
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
