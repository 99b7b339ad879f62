package scheduler

// This file decides when a request is given up, and with which final response.

const (
	// minRetryAfter is the least Retry-After delay of a rejection, in seconds, before it is spread.
	minRetryAfter = 0.1
	// minResponseMargin is the least time in seconds before a client's deadline at which its final response is given.
	minResponseMargin = 0.01
	// responseMarginTicks is the number of ticks that this margin has at least.
	responseMarginTicks = 4
)

// giveUp is when a request is given up at the latest, and why.
type giveUp struct {
	at     float64
	reason GiveUpReason
}

// expire gives the final response to a request whose time is up, and demotes to the low tier one that can no longer start
// in time (paper, section IV-C, step 1). It tells whether the request has ended.
func (s *Scheduler) expire(req *request) bool {
	s.bestFirstToken = s.boundFirstToken(req)
	limit := s.giveUpLimit(req)
	req.finalResponseDue = limit.at
	req.lowTier = req.lowTier || s.now+s.bestFirstToken.total > req.firstTokenDue
	if s.now >= limit.at {
		s.finish(req, s.finalResponse(req, limit.reason))
	}
	return req.done
}

// giveUpLimit is now for a request that can have no further attempt, the last moment at which it could still start with
// some value for one that waits, and shortly before its deadline for all others.
func (s *Scheduler) giveUpLimit(req *request) giveUp {
	limit := giveUp{at: req.deadline - s.responseMargin(), reason: DeadlineNear}
	if req.inFlight != nil {
		return limit
	}
	if s.attemptsLeft(req) <= 0 {
		return giveUp{at: s.now, reason: AttemptsExhausted}
	}
	if req.mayHaveRun != nil && !s.repeatAllowed(req, req.mayHaveRun.engine) {
		return giveUp{at: s.now, reason: RepeatUnsafe}
	}
	valueUntil := req.deadline
	if req.class.LateValue <= 0 {
		valueUntil = req.firstTokenDue // a late answer is worth nothing
	}
	if lastStart := valueUntil - s.bestFirstToken.total; !s.mayExplore() && lastStart < limit.at {
		return giveUp{at: lastStart, reason: ObjectiveUnreachable}
	}
	return limit
}

// responseMargin is how long before the deadline a final response is given.
func (s *Scheduler) responseMargin() float64 {
	return max(minResponseMargin, responseMarginTicks*s.cfg.Tick)
}

// finalResponse is the best final response that the request's attempts allow. A rejection promises that a retry is harmless
// (rule 2), so a request that may have run is failed instead, unless all engines discard its repeats.
func (s *Scheduler) finalResponse(req *request, reason GiveUpReason) Action {
	mayHaveRun := req.mayHaveRun != nil || req.inFlight != nil
	retryHarmless := req.class.Effect == Idempotent || !mayHaveRun ||
		req.class.Effect == IdempotentByKey && req.class.DedupScope == DedupFleet
	if retryHarmless {
		return Reject{ID: req.ID, RetryAfter: s.retryAfter(), Reason: reason}
	}
	return Fail{ID: req.ID, Reason: reason}
}

// retryAfter is the Retry-After delay of a rejected client, or 0 where the site allows none. It is the shortest wait that is
// expected at an engine that prefills, spread so that clients which are rejected together don't return together.
func (s *Scheduler) retryAfter() float64 {
	if !s.cfg.Limits.RetryAfter {
		return 0
	}
	wait := s.cfg.Limits.MaxRetryAfter
	for _, candidate := range s.eligibleEngines(func(e *engine) bool { return e.role != Decode }) {
		wait = min(wait, s.queueingDelay(candidate))
	}
	return min(s.cfg.Limits.MaxRetryAfter, max(minRetryAfter, wait)*(0.5+s.rng.Float64()))
}
