package scheduler

import "slices"

// This file decides whether a request may have a further attempt, and where (rule 2).

// repeatAllowed tells whether the ledger allows an attempt that could have an effect at e (rule 2).
func (s *Scheduler) repeatAllowed(q *request, e *engine) bool {
	if !q.mayHaveRun || q.class.Effect == Idempotent {
		return true
	}
	if q.class.Effect == AtMostOnce || s.now > q.mayHaveRunSince+q.class.DedupWindow-2*s.cfg.Tick {
		return false
	}
	g := q.class.DedupScope
	return g == DedupFleet || g == DedupZone && e.Zone == q.mayHaveRunAt.Zone ||
		g == DedupCell && e.Cell == q.mayHaveRunAt.Cell
}

// attemptsLeft is how many attempts a request may still have.
func (s *Scheduler) attemptsLeft(q *request) int {
	return s.cfg.Limits.MaxAttempts - q.attemptsSent + q.attemptsUncounted
}

// exemptUnsentAttempt takes off an attempt that was never written, where such do not count: as many as may be made.
func (s *Scheduler) exemptUnsentAttempt(ev Outcome) {
	q := s.requests[ev.ID]
	if s.cfg.Limits.UnsentAttemptsAreFree && q != nil && q.attemptInFlight == ev.Attempt &&
		q.attemptsUncounted < s.cfg.Limits.MaxAttempts &&
		(ev.Status == ConnectFailed || ev.Status == NotSent) {
		q.attemptsUncounted++
	}
}

// retryCandidates returns engines less the one that failed the request last, unless it is the only one. A request that
// has met refused connections waits for an ejected engine, if its time allows: engines die together.
func (s *Scheduler) retryCandidates(q *request, xs []*engine) []*engine {
	if q.attemptsUncounted > 0 {
		xs = slices.DeleteFunc(xs, func(e *engine) bool {
			return s.now < e.ejectedUntil && e.ejectedUntil < q.deadline-s.responseMargin()
		})
	}
	if len(xs) < 2 || q.lastFailedAt == nil {
		return xs
	}
	return slices.DeleteFunc(xs, func(e *engine) bool { return e == q.lastFailedAt })
}
