package health

import (
	"time"

	"pollensail.dev/decision/model"
)

// phase is how far a server is kept from ordinary work.
type phase uint8

const (
	inUse phase = iota
	ejected
	inTrial
)

const (
	// trialTime ends a trial that too few requests decide.
	trialTime = 10 * time.Second
	// trialPasses is the number of good attempts that end a trial.
	trialPasses = 20
	// trialFailures is the number of bad attempts from which a trial may fail.
	trialFailures = 3
	// trialElsewhere is how many of these have to remain without any one
	// domain. One may be an accident.
	trialElsewhere = 2
	// offenceMemory is how long a readmitted server's next ejection counts as
	// a repetition.
	offenceMemory = 2 * time.Minute
)

// suspect is what a coordinator knows of a server that failed.
type suspect struct {
	id       model.ServerID
	phase    phase
	windows  []window // for each domain, while in use
	trial    []tally  // for each domain, while in trial
	ratio    float64  // of failures, when it was ejected
	until    model.Instant
	offences int // ejections in a row
	// immuneUntil keeps a server in use that was readmitted for a worse one.
	immuneUntil model.Instant
	readmitted  model.Instant
	lastBad     model.Instant
	avoiders    avoiders
}

// take counts attempts. What an ejected server does is the end of work that it
// had before.
func (s *suspect) take(now model.Instant, domain int, t tally) {
	if !t.isClean() {
		s.lastBad = now
	}
	switch s.phase {
	case inUse:
		for len(s.windows) <= domain {
			s.windows = append(s.windows, window{})
		}
		s.windows[domain].add(now, t)
	case inTrial:
		for len(s.trial) <= domain {
			s.trial = append(s.trial, tally{})
		}
		s.trial[domain].add(t)
	}
}

// counts returns the attempts in the newest n buckets, for each domain.
func (s *suspect) counts(now model.Instant, n int) []tally {
	counts := make([]tally, len(s.windows))
	for i := range s.windows {
		counts[i] = s.windows[i].last(now, n)
	}
	return counts
}

func (s *suspect) eject(now model.Instant, ratio float64) {
	isFirst := s.phase == inUse && now >= s.readmitted.Add(offenceMemory)
	if isFirst {
		s.offences = 0
	}
	s.phase = ejected
	s.ratio = ratio
	s.until = now.Add(backoff(s.offences))
	s.offences++
	s.windows = nil
	s.trial = nil
}

func (s *suspect) startTrial(now model.Instant) {
	s.phase = inTrial
	s.until = now.Add(trialTime)
	s.trial = nil
}

func (s *suspect) readmit(now model.Instant) {
	s.phase = inUse
	s.readmitted = now
	s.windows = nil
	s.trial = nil
	s.avoiders = nil
}

// isForgotten reports whether nothing about the server matters any more.
func (s *suspect) isForgotten(now model.Instant) bool {
	isRecent := now < s.lastBad.Add(buckets*bucketTime+ReportInterval)
	avoiders, _ := s.avoiders.count(now)
	isRepeater := s.offences > 0 && now < s.readmitted.Add(offenceMemory)
	return s.phase == inUse && !isRecent && avoiders == 0 && !isRepeater && now >= s.immuneUntil
}
