package decision

import (
	"pollensail.dev/decision/message"
	"pollensail.dev/decision/model"
	"pollensail.dev/decision/placement"
)

// shareLoadReports tells the other hosts of the loads of a service's servers that differ
// most from what is expected.
func (s *State) shareLoadReports(service model.ServiceID, pool *placement.Pool) {
	for _, r := range pool.TakeLoadReports(s.now) {
		s.addServerLoad(message.ServerLoad{
			Service:  service,
			Server:   r.Server,
			Running:  r.Running,
			Waiting:  r.Waiting,
			Slots:    r.Slots,
			Age:      r.Age,
			Start:    r.Start,
			Slowness: r.Slowness,
		})
	}
}

// addServerLoad tells the other hosts of a server's load, with the next batch of health
// signals.
func (s *State) addServerLoad(load message.ServerLoad) {
	s.servers.signalBroadcast.AddLoad(s.now, load)
	s.runSignalRound()
}

// onServerLoad handles a report of a server's load from another host.
func (s *State) onServerLoad(load message.ServerLoad) {
	pool := s.pool(load.Service)
	if pool == nil {
		return
	}
	problem := pool.RecordRemoteLoad(s.now, load.Server, placement.LoadReport{
		Running:  load.Running,
		Waiting:  load.Waiting,
		Slots:    load.Slots,
		Age:      load.Age,
		Start:    load.Start,
		Slowness: load.Slowness,
	})
	if problem != "" {
		s.noteInvalidLoad(load.Server, problem)
	}
}
