package peer

import "pollensail.dev/host/telemetry"

// Sources returns the counters as metrics.
func (p *Peers) Sources() []telemetry.MetricSource {
	sources := []telemetry.MetricSource{
		counter("peer_sent_bytes", "Bytes sent to other hosts over TCP.", p.counters.bytesSent.Load),
		counter("peer_received_bytes", "Bytes received from other hosts over TCP.", p.counters.bytesReceived.Load),
		counter("peer_dropped_messages", "Messages that were not sent: no link, queue full or too old.", p.counters.dropped.Load),
		counter("peer_stale_messages", "Messages that arrived too late.", p.counters.stale.Load),
		counter("peer_refused_links", "Incoming links dropped for a broken message or identity.", p.counters.refused.Load),
		{
			Name: "peer_links", Help: "Open links to and from other hosts.", IsGauge: true,
			Read: func() float64 { return float64(p.counters.links.Load()) },
		},
	}
	for i, k := range kinds {
		c := &p.counters.kinds[i]
		labels := map[string]string{"kind": k.messageType.Name()}
		sources = append(sources,
			labelled("peer_message_sent_total", "Messages sent, by type.", labels, c.sent.Load),
			labelled("peer_message_sent_bytes", "Bytes of messages sent, by type.", labels, c.bytesSent.Load),
			labelled("peer_message_received_total", "Messages received, by type.", labels, c.received.Load),
		)
	}
	return sources
}

func counter(name, help string, load func() uint64) telemetry.MetricSource {
	return labelled(name, help, nil, load)
}

func labelled(name, help string, labels map[string]string, load func() uint64) telemetry.MetricSource {
	return telemetry.MetricSource{Name: name, Help: help, Labels: labels, Read: func() float64 { return float64(load()) }}
}
