package health

import (
	"time"

	"pollensail.dev/decision/model"
)

// phase is whether and how a server is kept out of ordinary use.
type phase uint8

const (
	inUse   phase = iota
	ejected       // gets no requests
	inTrial       // gets one request at a time from each host, to decide whether it is readmitted
)

const (
	// maxTrialTime ends a trial that too few requests decide; the server is
	// then readmitted.
	maxTrialTime = 10 * time.Second
	// trialSuccesses is the number of successful attempts that end a trial.
	trialSuccesses = 20
	// minTrialFailures is the number of failures from which a trial may fail.
	minTrialFailures = 3
	// minTrialFailuresElsewhere is how many of these have to remain without
	// those of any single failure domain. One may be an accident.
	minTrialFailuresElsewhere = 2
	// repeatEjectionWindow is how long after its readmission a server's next
	// ejection counts as a repeated one.
	repeatEjectionWindow = 2 * time.Minute
)

// suspect is a coordinator's state of a server that has failed requests or is
// out.
type suspect struct {
	id                   model.ServerID
	phase                phase
	windows              []window      // by failure domain, while in use
	trial                []tally       // by failure domain, while in trial
	failureRatio         float64       // when it was ejected
	phaseEnds            model.Instant // while ejected or in trial
	consecutiveEjections int           // ejections in a row, until the server is in use for repeatEjectionWindow
	// immuneUntil prevents the ejection of a server that was readmitted by a
	// swap.
	immuneUntil   model.Instant
	readmittedAt  model.Instant
	lastFailure   model.Instant
	avoidingHosts avoidingHosts
}

// addCounts adds reported attempts. Those at an ejected server are ignored:
// they were sent before the ejection.
func (s *suspect) addCounts(now model.Instant, domain int, t tally) {
	if !t.isClean() {
		s.lastFailure = now
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

// counts returns the attempts in the newest n buckets, by failure domain.
func (s *suspect) counts(now model.Instant, n int) []tally {
	counts := make([]tally, len(s.windows))
	for i := range s.windows {
		counts[i] = s.windows[i].sumNewest(now, n)
	}
	return counts
}

func (s *suspect) eject(now model.Instant, ratio float64) {
	isFirst := s.phase == inUse && now >= s.readmittedAt.Add(repeatEjectionWindow)
	if isFirst {
		s.consecutiveEjections = 0
	}
	s.phase = ejected
	s.failureRatio = ratio
	s.phaseEnds = now.Add(backoff(s.consecutiveEjections))
	s.consecutiveEjections++
	s.windows = nil
	s.trial = nil
}

func (s *suspect) startTrial(now model.Instant) {
	s.phase = inTrial
	s.phaseEnds = now.Add(maxTrialTime)
	s.trial = nil
}

func (s *suspect) readmit(now model.Instant) {
	s.phase = inUse
	s.readmittedAt = now
	s.windows = nil
	s.trial = nil
	s.avoidingHosts = nil
}

// canForget reports whether nothing recorded of the server is still needed.
func (s *suspect) canForget(now model.Instant) bool {
	isRecent := now < s.lastFailure.Add(bucketCount*bucketDuration+ReportInterval)
	avoiders, _ := s.avoidingHosts.count(now)
	isRepeat := s.consecutiveEjections > 0 && now < s.readmittedAt.Add(repeatEjectionWindow)
	return s.phase == inUse && !isRecent && avoiders == 0 && !isRepeat && now >= s.immuneUntil
}
