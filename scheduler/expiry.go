package scheduler

// This file decides when an unanswered request expires, and which final response it gets.

const (
	// minRetryAfter is the shortest Retry-After delay of a rejection, in seconds, before its random spread.
	minRetryAfter = 0.1
	// minResponseMargin is the shortest time, in seconds, between a final response and the client's deadline.
	minResponseMargin = 0.01
	// responseMarginTicks is the shortest such time in ticks; the longer of the two applies.
	responseMarginTicks = 4
)

// expiration is the time at which a request that is not answered gets its final response, and the reason.
type expiration struct {
	at     float64
	reason FailureReason
}

// expire gives an expired request its final response. It demotes a request to the low tier if its first token can no longer
// arrive before it is due (paper, section IV-C, step 1). It reports whether the request has ended.
func (s *Scheduler) expire(req *request) bool {
	s.firstTokenBound = s.boundFirstToken(req)
	expiry := s.expirationOf(req)
	req.finalResponseDue = expiry.at
	req.lowTier = req.lowTier || s.now+s.firstTokenBound.total > req.firstTokenDue
	if s.now >= expiry.at {
		s.finish(req, s.finalResponse(req, expiry.reason))
	}
	return req.done
}

// expirationOf returns the expiration of a request. A request that can have no further attempt expires now. A request that waits
// expires when the answer of a new attempt could no longer have any value. At the latest, a request expires responseMargin before its
// deadline.
func (s *Scheduler) expirationOf(req *request) expiration {
	expiry := expiration{at: req.deadline - s.responseMargin(), reason: DeadlineNear}
	if req.inFlight != nil {
		return expiry
	}
	if s.attemptsLeft(req) <= 0 {
		return expiration{at: s.now, reason: AttemptsExhausted}
	}
	if req.possibleEffect != nil && !s.repeatAllowed(req, req.possibleEffect.engine) {
		return expiration{at: s.now, reason: RepeatUnsafe}
	}
	valueUntil := req.deadline
	if req.class.LateValue <= 0 {
		valueUntil = req.firstTokenDue // a late response is worth nothing
	}
	if lastStart := valueUntil - s.firstTokenBound.total; !s.mayExplore() && lastStart < expiry.at {
		return expiration{at: lastStart, reason: ObjectiveUnreachable}
	}
	return expiry
}

// responseMargin returns how long before the deadline a final response is given.
func (s *Scheduler) responseMargin() float64 {
	return max(minResponseMargin, responseMarginTicks*s.cfg.Tick)
}

// finalResponse returns the final response that the request's attempts allow. A Reject promises that a retry is harmless (rule 2).
// A request that may have run therefore gets a Fail, unless it is idempotent or all engines discard its repeats.
func (s *Scheduler) finalResponse(req *request, reason FailureReason) Action {
	mayHaveRun := req.possibleEffect != nil || req.inFlight != nil
	retryHarmless := req.class.Effect == Idempotent || !mayHaveRun ||
		req.class.Effect == IdempotentByKey && req.class.DedupScope == DedupFleet
	if retryHarmless {
		return Reject{ID: req.ID, RetryAfter: s.retryAfter(), Reason: reason}
	}
	return Fail{ID: req.ID, Reason: reason}
}

// retryAfter returns the Retry-After delay of a rejection in seconds, or 0 if the deployment allows none. It is the shortest wait
// that is predicted for any engine that prefills. A random factor spreads the retries of clients that are rejected together.
func (s *Scheduler) retryAfter() float64 {
	if !s.cfg.Limits.RetryAfter {
		return 0
	}
	wait := s.cfg.Limits.MaxRetryAfter
	for _, candidate := range s.eligibleEngines(s.fromRandom(&s.index.prefill), func(*engine) bool { return true }) {
		wait = min(wait, s.queueingDelay(candidate))
	}
	return min(s.cfg.Limits.MaxRetryAfter, max(minRetryAfter, wait)*(0.5+s.rng.Float64()))
}
