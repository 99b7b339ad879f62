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

// recordEvidence moves an engine's failure score. Two failures in a row eject it, whatever their cause: fast errors,
// a dead process, a cut link or silence. It comes back by single trials.
func (s *Scheduler) recordEvidence(e *engine, bad float64) {
	e.failureScore += failureGain * (bad - e.failureScore)
	if bad == 0 {
		e.lastSuccess, s.lastSuccess[e.role] = s.now, s.now
		if e.failureScore < probationScore {
			e.ejectionTime = 0
		}
	} else if e.failureScore >= ejectionScore && s.now >= e.ejectedUntil {
		s.eject(e)
	}
}

func (s *Scheduler) eject(e *engine) {
	e.failureScore = max(e.failureScore, ejectionScore)
	e.ejectionTime = min(maxEjection, max(0.5, 2*e.ejectionTime))
	e.ejectedUntil = s.now + e.ejectionTime
	if e.ejectionTime == 0.5 {
		s.emit(Log{fmt.Sprintf("ejected %s, failure score %.2f", e.ID, e.failureScore)})
	}
}

// acceptsWork tells whether an engine is fit for new work: not ejected, one trial at a time while its failure
// score is high, and not silent (a dead machine, a cut zone, a stuck process), before a time-out tells.
func (s *Scheduler) acceptsWork(e *engine) bool {
	if s.now < e.ejectedUntil {
		return false
	}
	waiting := 0
	for _, xs := range [2][]*request{e.prefills, e.admitted} {
		for _, q := range xs {
			if q.stage == stagePrefilling && q.prefillEngine == e || q.stage == stageDecoding {
				waiting++
				if s.isStuck(q, e) && q.overtaken < lostAfterOvertaken {
					return false
				}
			}
		}
	}
	return e.failureScore < probationScore || waiting == 0
}

// isStuck: an attempt is overdue, and its engine has done nothing else for us since, or has answered later ones
// before it: engines take what waits in order, so that one was lost, however loaded the engine is.
func (s *Scheduler) isStuck(q *request, e *engine) bool {
	return s.now > s.overdueAt(q, e) && (e.lastSuccess < q.sentAt || q.overtaken >= lostAfterOvertaken)
}

// overdueAt is when an attempt has taken longer than our predictions, as wrong as they have lately been, allow.
// Where all engines are late, none is.
func (s *Scheduler) overdueAt(q *request, e *engine) float64 {
	t := q.sentAt + overdueFactor*q.expected + overdueGrace
	if q.overtaken < lostAfterOvertaken {
		t += predictionErrorFactor * s.predictionError[e.role].get(s.now, 0, 0)
	}
	return t
}

// cancelStuckAttempt calls off a stuck attempt, so that the request goes elsewhere while there is time. Attempts at an
// engine that still answers others are left alone: under load a retry would only add to it.
func (s *Scheduler) cancelStuckAttempt(q *request) {
	if q.attemptInFlight >= 0 && !q.cancelRequested && s.cfg.Limits.Cancel && s.attemptsLeft(q) >= 2 &&
		(q.stage == stagePrefilling || q.class.Effect == Idempotent) && s.isStuck(q, q.at()) {
		q.cancelRequested = true
		s.emit(Cancel{q.ID, q.attemptInFlight})
	}
}

// eligibleEngines returns the engines that may be sent something new and that fit: those listed ready (rule 3) and
// trusted; where none is trusted, the one that failed least.
func (s *Scheduler) eligibleEngines(fit func(e *engine) bool) []*engine {
	var good []*engine
	var last *engine
	for _, e := range s.engineList {
		if e.State != EngineReady || !fit(e) {
			continue
		}
		if s.acceptsWork(e) {
			good = append(good, e)
		} else if last == nil || e.failureScore < last.failureScore ||
			e.failureScore == last.failureScore && e.ejectedUntil < last.ejectedUntil {
			last = e
		}
	}
	if len(good) == 0 && last != nil {
		good = []*engine{last}
	}
	return good
}

// overtakeEarlier counts those of xs, at the same stage, that were sent before q and are still unanswered when q is.
func (q *request) overtakeEarlier(xs []*request, s stage) {
	for _, x := range xs {
		if x != q && x.stage == s && x.stateReserved == q.stateReserved && x.sentAt < q.sentAt {
			x.overtaken++
		}
	}
}
