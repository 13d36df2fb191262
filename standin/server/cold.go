package server

import "time"

// isCold reports whether a cold start is in progress. The caller holds mu.
func (s *Server) isCold(now time.Time) bool {
	return now.Sub(s.coldStart) < s.config.ColdStartDuration
}

// countCold counts a work request that arrives during a cold start. The caller holds
// mu.
func (s *Server) countCold(now time.Time) {
	if !s.isCold(now) {
		return
	}
	s.stats.Cold++
	s.coldArrivals = append(s.coldArrivals, now)
	for now.Sub(s.coldArrivals[0]) >= time.Second {
		s.coldArrivals = s.coldArrivals[1:]
	}
	s.stats.ColdPeak = max(s.stats.ColdPeak, len(s.coldArrivals))
}
