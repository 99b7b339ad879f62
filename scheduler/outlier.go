package scheduler

import "fmt"

// This file ejects outliers, readmits them on probation, and cancels stuck attempts.

const (
	// failureGain is the weight of the newest outcome in an engine's failure score, which is between 0 and 1.
	failureGain = 0.3
	// ejectionScore is the failure score at which an engine is ejected.
	ejectionScore = 0.5
	// probationScore is the failure score at and above which an engine is on probation: it gets one request at a time.
	probationScore = 0.25
	// minEjection is the duration, in seconds, of the first ejection.
	minEjection = 0.5
	// maxEjection is the longest duration, in seconds, of an ejection before the next probation.
	maxEjection = 4.0
	// overdueFactor is the multiple of an attempt's predicted duration after which it may be overdue.
	overdueFactor = 3
	// overdueGrace is the time in seconds that is added to this multiple.
	overdueGrace = 0.3
	// lostOvertakeCount is the number of later attempts that an engine must answer first for an earlier attempt to count as lost.
	lostOvertakeCount = 2
	// predictionErrorFactor is the factor by which the mean prediction error is multiplied to get a safety margin, as in RFC 6298,
	// section 2.
	predictionErrorFactor = 4
)

// recordSuccess lowers an engine's failure score.
func (s *Scheduler) recordSuccess(target *engine) {
	target.failureScore += failureGain * (0 - target.failureScore)
	target.lastSuccess = s.now
	s.lastSuccess[target.role] = s.now
	if target.failureScore < probationScore {
		target.ejectionDuration = 0
	}
}

// recordFailure raises an engine's failure score. Two consecutive failures eject the engine. The cause makes no difference: fast errors,
// a dead process, a cut link or no response.
func (s *Scheduler) recordFailure(target *engine) {
	target.failureScore += failureGain * (1 - target.failureScore)
	if target.failureScore >= ejectionScore && s.now >= target.ejectedUntil {
		s.eject(target)
	}
}

// recordAttemptFailure counts a failed attempt against its engine. A failed connection ejects the engine immediately. An attempt that timed
// out or was canceled doesn't count if the engine has answered another one since it was sent. It does count if it was overtaken by
// lostOvertakeCount attempts, because the engine has then lost it.
func (s *Scheduler) recordAttemptFailure(ended endedAttempt, status Status) {
	target := ended.engine
	lost := ended.overtakenBy >= lostOvertakeCount
	slow := (status == TimedOut || status == Canceled) && target.lastSuccess >= ended.sentAt && !lost
	if status == ConnectFailed && target.failureScore < ejectionScore {
		s.eject(target)
	} else if !slow {
		s.recordFailure(target)
	}
}

// eject excludes an engine from new work. The time doubles with each ejection, from minEjection to maxEjection, until a probation ends
// well. After that time the engine is readmitted on probation.
func (s *Scheduler) eject(target *engine) {
	target.failureScore = max(target.failureScore, ejectionScore)
	target.ejectionDuration = min(maxEjection, max(minEjection, 2*target.ejectionDuration))
	target.ejectedUntil = s.now + target.ejectionDuration
	if target.ejectionDuration == minEjection {
		s.emit(Log{Text: fmt.Sprintf("ejected %s, failure score %.2f", target.ID, target.failureScore)})
	}
}

// acceptsWork reports whether an engine may get new work. An engine that is ejected may not. Neither may an engine with a stuck attempt
// that doesn't count as lost, because such an engine doesn't respond (a dead machine, a cut zone, a hung process). An engine on probation
// may get work only while no attempt there waits for its outcome or first token.
func (s *Scheduler) acceptsWork(target *engine) bool {
	if s.now < target.ejectedUntil {
		return false
	}
	pending := 0
	for _, requests := range [2][]*request{target.prefills, target.admitted} {
		for _, req := range requests {
			if !target.hasPendingAttempt(req) {
				continue
			}
			pending++
			if s.isStuck(req.inFlight) && req.inFlight.overtakenBy < lostOvertakeCount {
				return false
			}
		}
	}
	return target.failureScore < probationScore || pending == 0
}

// hasPendingAttempt reports whether an attempt of the request is in flight at the engine and its stream has not started.
func (e *engine) hasPendingAttempt(req *request) bool {
	return req.inFlight != nil && req.inFlight.engine == e && req.stage != stageStreaming
}

// isStuck reports whether an attempt is overdue and its engine has either had no success since it was sent, or answered
// lostOvertakeCount later attempts before it. Engines process waiting attempts in order, so even at a loaded engine an overtaken
// attempt is lost.
func (s *Scheduler) isStuck(pending *attempt) bool {
	return s.now > s.overdueAt(pending) &&
		(pending.engine.lastSuccess < pending.sentAt || pending.overtakenBy >= lostOvertakeCount)
}

// overdueAt returns the time at which an attempt becomes overdue. Unless the attempt counts as lost, this includes a margin for the
// recent prediction error of the role. With the margin, attempts don't become overdue when all engines of the role are late.
func (s *Scheduler) overdueAt(pending *attempt) float64 {
	at := pending.sentAt + overdueFactor*pending.predictedSeconds + overdueGrace
	if pending.overtakenBy < lostOvertakeCount {
		at += predictionErrorFactor * s.predictionError[pending.engine.role].get(s.now, 0, 0)
	}
	return at
}

// cancelStuckAttempt cancels a stuck attempt if a repeat is harmless. The request can then be retried elsewhere before its deadline. An
// attempt at an engine that still answers others continues, because under overload a retry would only add to the load.
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

// cancelAttemptWithoutState cancels an attempt whose state was released while it was in flight, if its engine has had no success since
// the attempt was sent. Even if the attempt reaches the engine, the engine finds no state. A new prefill is then more useful than
// waiting, provided that the request has enough attempts left.
func (s *Scheduler) cancelAttemptWithoutState(req *request) {
	pending := req.inFlight
	if pending == nil || !pending.stateReleased || pending.cancelRequested || req.stage != stageDecoding {
		return
	}
	if req.class.Effect != Idempotent || !s.cfg.Limits.Cancel || !s.canPrefillAgain(req) {
		return
	}
	if pending.engine.lastSuccess < pending.sentAt {
		pending.cancelRequested = true
		s.emit(Cancel{ID: req.ID, Attempt: pending.number})
	}
}

func (e *engine) failedLessThan(other *engine) bool {
	if e.failureScore != other.failureScore {
		return e.failureScore < other.failureScore
	}
	return e.ejectedUntil < other.ejectedUntil
}

// countOvertaken is called when the request's attempt in flight is answered. It counts this for each attempt of others that was sent
// earlier and is still unanswered. Only attempts at the same stage that both use a reservation, or both use none, are compared.
func (req *request) countOvertaken(others []*request, at stage) {
	for _, other := range others {
		if other == req || other.stage != at || other.inFlight.usesReservation != req.inFlight.usesReservation {
			continue
		}
		if other.inFlight.sentAt < req.inFlight.sentAt {
			other.inFlight.overtakenBy++
		}
	}
}
