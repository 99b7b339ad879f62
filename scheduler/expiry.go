package scheduler

// minRetryAfter is the least Retry-After delay of a rejection, in seconds, before it is spread.
const minRetryAfter = 0.1

// This file decides when a request is given up, and with which final answer.

// expire answers a request whose time is nearly up, or that can have no further attempt, and drops to the
// low tier one that can no longer start in time.
func (s *Scheduler) expire(q *request) bool {
	best, until := s.bestTimeToFirstToken(q), q.deadline
	if q.class.LateValue <= 0 {
		until = q.firstTokenDue // a late answer is worth nothing
	}
	why := DeadlineNear
	q.finalResponseDue = q.deadline - s.responseMargin()
	if s.leastTimeToFirstToken = best; q.attemptInFlight < 0 && !s.mayExplore() && until-best < q.finalResponseDue {
		q.finalResponseDue, why = until-best, ObjectiveUnreachable // what can no longer be served with some worth is given up at once
	}
	switch {
	case q.attemptInFlight >= 0:
	case s.attemptsLeft(q) <= 0:
		q.finalResponseDue, why = s.now, AttemptsExhausted
	case q.mayHaveRun && !s.repeatAllowed(q, q.mayHaveRunAt):
		q.finalResponseDue, why = s.now, RepeatUnsafe
	}
	q.lowTier = q.lowTier || s.now+best > q.firstTokenDue
	if s.now >= q.finalResponseDue {
		s.finish(q, s.finalResponse(q, why))
	}
	return q.done
}

// responseMargin is how long before the deadline a final answer is given.
func (s *Scheduler) responseMargin() float64 { return max(0.01, 4*s.cfg.Tick) }

// finalResponse is the best final answer that the ledger allows: a refusal tells the client that a further try is
// harmless (rule 2).
func (s *Scheduler) finalResponse(q *request, why GiveUpReason) Action {
	may := q.mayHaveRun || q.attemptInFlight >= 0
	if q.class.Effect == Idempotent || !may || q.class.Effect == IdempotentByKey && q.class.DedupScope == DedupFleet {
		return Reject{q.ID, s.retryAfter(), why}
	}
	return Fail{q.ID, why}
}

// retryAfter is when a refused client may ask again: after the shortest wait that we expect at a reader, spread
// so that those refused together do not return together. 0 = it is not told.
func (s *Scheduler) retryAfter() float64 {
	if !s.cfg.Limits.RetryAfter {
		return 0
	}
	wait := s.cfg.Limits.MaxRetryAfter
	for _, e := range s.eligibleEngines(func(e *engine) bool { return e.role != Decode }) {
		wait = min(wait, s.queueingDelay(e))
	}
	return min(s.cfg.Limits.MaxRetryAfter, max(minRetryAfter, wait)*(0.5+s.rng.Float64()))
}
