package scheduler

import "fmt"

// This file ejects outliers and readmits them on probation, and cancels attempts that are stuck.

const (
	// failureGain is the weight of the newest outcome in an engine's failure score.
	failureGain = 0.3
	// ejectionScore is the failure score at which an engine is ejected.
	ejectionScore = 0.5
	// probationScore is the failure score from which an engine gets one request at a time.
	probationScore = 0.25
	// minEjection is the duration, in seconds, of the first ejection.
	minEjection = 0.5
	// maxEjection is the longest duration, in seconds, of an ejection before the next probation.
	maxEjection = 4.0
	// overdueFactor is the number of times its predicted duration after which an attempt may be overdue.
	overdueFactor = 3
	// overdueGrace is the time in seconds that is added to an attempt's predicted duration before it is overdue.
	overdueGrace = 0.3
	// lostAfterOvertaken is the number of later attempts which an engine answers before it is taken to have lost an earlier one.
	lostAfterOvertaken = 2
	// predictionErrorFactor is the number of mean prediction errors that are allowed for, as in RFC 6298, section 2.
	predictionErrorFactor = 4
)

// recordSuccess lowers an engine's failure score.
func (s *Scheduler) recordSuccess(target *engine) {
	target.failureScore += failureGain * (0 - target.failureScore)
	target.lastSuccess = s.now
	s.lastSuccess[target.role] = s.now
	if target.failureScore < probationScore {
		target.ejectionTime = 0
	}
}

// recordFailure raises an engine's failure score. Two failures in a row eject it, whatever their cause: fast errors, a dead
// process, a cut link or silence.
func (s *Scheduler) recordFailure(target *engine) {
	target.failureScore += failureGain * (1 - target.failureScore)
	if target.failureScore >= ejectionScore && s.now >= target.ejectedUntil {
		s.eject(target)
	}
}

// recordAttemptFailure counts a failed attempt against its engine. A refused connection ejects at once. A slow attempt
// doesn't count where the engine has answered others since, unless the engine has lost it.
func (s *Scheduler) recordAttemptFailure(ended endedAttempt, status Status) {
	target := ended.engine
	lost := ended.overtaken >= lostAfterOvertaken
	slow := (status == TimedOut || status == Canceled) && target.lastSuccess >= ended.sentAt && !lost
	if status == ConnectFailed && target.failureScore < ejectionScore {
		s.eject(target)
	} else if !slow {
		s.recordFailure(target)
	}
}

// eject keeps new work from an engine for a time that doubles from one ejection to the next. The engine then returns on
// probation.
func (s *Scheduler) eject(target *engine) {
	target.failureScore = max(target.failureScore, ejectionScore)
	target.ejectionTime = min(maxEjection, max(minEjection, 2*target.ejectionTime))
	target.ejectedUntil = s.now + target.ejectionTime
	if target.ejectionTime == minEjection {
		s.emit(Log{Text: fmt.Sprintf("ejected %s, failure score %.2f", target.ID, target.failureScore)})
	}
}

// acceptsWork tells whether an engine may get new work: it isn't ejected, gets one request at a time while it is on probation,
// and has no attempt that is stuck because the engine is silent (a dead machine, a cut zone, a hung process).
func (s *Scheduler) acceptsWork(target *engine) bool {
	if s.now < target.ejectedUntil {
		return false
	}
	waiting := 0
	for _, requests := range [2][]*request{target.prefills, target.admitted} {
		for _, req := range requests {
			if !target.awaits(req) {
				continue
			}
			waiting++
			if s.isStuck(req.inFlight) && req.inFlight.overtaken < lostAfterOvertaken {
				return false
			}
		}
	}
	return target.failureScore < probationScore || waiting == 0
}

// awaits tells whether an attempt of the request is in flight at the engine, before its first token.
func (e *engine) awaits(req *request) bool {
	return req.inFlight != nil && req.inFlight.engine == e && req.stage != stageStreaming
}

// isStuck tells whether an attempt is overdue and its engine has either succeeded with nothing since, or has answered later
// attempts before it. Engines take what waits in order, so an overtaken attempt is lost, however loaded the engine is.
func (s *Scheduler) isStuck(waiting *attempt) bool {
	return s.now > s.overdueAt(waiting) &&
		(waiting.engine.lastSuccess < waiting.sentAt || waiting.overtaken >= lostAfterOvertaken)
}

// overdueAt is when an attempt will have taken longer than its prediction allows, with the error that predictions have
// lately had. Where all engines of a role are late, none is overdue.
func (s *Scheduler) overdueAt(waiting *attempt) float64 {
	at := waiting.sentAt + overdueFactor*waiting.expected + overdueGrace
	if waiting.overtaken < lostAfterOvertaken {
		at += predictionErrorFactor * s.predictionError[waiting.engine.role].get(s.now, 0, 0)
	}
	return at
}

// cancelStuckAttempt cancels a stuck attempt, so that the request is retried elsewhere while there is time. Attempts at an
// engine that still answers others go on: under overload a retry would only add to the load.
func (s *Scheduler) cancelStuckAttempt(req *request) {
	if req.inFlight == nil || req.inFlight.cancelRequested || !s.cfg.Limits.Cancel || s.attemptsLeft(req) < 2 {
		return
	}
	harmless := req.stage == stagePrefilling || req.class.Effect == Idempotent
	if harmless && s.isStuck(req.inFlight) {
		req.inFlight.cancelRequested = true
		s.emit(Cancel{ID: req.ID, Attempt: req.inFlight.number})
	}
}

// cancelAttemptWithoutState cancels an attempt whose state was released beside it, where its engine has answered nothing since: if the
// attempt has reached it at all, it finds no state. A new prefill is of more use than the wait, if attempts are left for one.
func (s *Scheduler) cancelAttemptWithoutState(req *request) {
	waiting := req.inFlight
	if waiting == nil || !waiting.stateReleased || waiting.cancelRequested || req.stage != stageDecoding {
		return
	}
	if req.class.Effect != Idempotent || !s.cfg.Limits.Cancel || !s.canPrefillAgain(req) {
		return
	}
	if waiting.engine.lastSuccess < waiting.sentAt {
		waiting.cancelRequested = true
		s.emit(Cancel{ID: req.ID, Attempt: waiting.number})
	}
}

// eligibleEngines returns the engines that fit, are listed as ready (rule 3) and accept work. Where none accepts work, it
// returns the one that failed least.
func (s *Scheduler) eligibleEngines(fits func(e *engine) bool) []*engine {
	var eligible []*engine
	var lastResort *engine
	for _, candidate := range s.engineList {
		if candidate.State != EngineReady || !fits(candidate) {
			continue
		}
		if s.acceptsWork(candidate) {
			eligible = append(eligible, candidate)
		} else if lastResort == nil || candidate.failedLessThan(lastResort) {
			lastResort = candidate
		}
	}
	if len(eligible) == 0 && lastResort != nil {
		return []*engine{lastResort}
	}
	return eligible
}

func (e *engine) failedLessThan(other *engine) bool {
	if e.failureScore != other.failureScore {
		return e.failureScore < other.failureScore
	}
	return e.ejectedUntil < other.ejectedUntil
}

// overtakeEarlier counts the attempts at the same stage that were sent before the request's attempt in flight and are
// still unanswered when it is answered.
func (req *request) overtakeEarlier(others []*request, at stage) {
	for _, other := range others {
		if other == req || other.stage != at || other.inFlight.usesReservation != req.inFlight.usesReservation {
			continue
		}
		if other.inFlight.sentAt < req.inFlight.sentAt {
			other.inFlight.overtaken++
		}
	}
}
