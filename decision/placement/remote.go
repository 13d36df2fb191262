package placement

import "pollensail.dev/decision/model"

// saturatingSignals is how many equal signals in a row take a belief from one limit
// to the other, for each kind of signal. More of them change nothing.
const saturatingSignals = 5

// ObserveRemoteSignals updates the belief about a server with the signals from
// attempts of another host, with which unserved requests were lost.
func (p *Pool) ObserveRemoteSignals(now model.Instant, id model.ServerID, counts []model.SignalCount, unserved int) {
	if _, ok := p.byID[id]; !ok {
		return
	}
	for _, c := range counts {
		for range min(c.Count, saturatingSignals) {
			p.ObserveRemote(now, id, c.Signal, false)
		}
	}
	if unserved > 0 {
		p.ObserveRemoteUnserved(now, unserved)
	}
}
