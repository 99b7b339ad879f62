package scheduler

import "slices"

// This file decides whether a request may have a further attempt, and where (rule 2).

// dedupMarginTicks is the length, in ticks, of the time at the end of a deduplication window in which no repeat is sent any longer.
const dedupMarginTicks = 2

// mayHaveRun reports whether an attempt that has failed may have run at its engine. The host's evidence decides. If there is none, an
// attempt that was sent to a prefill engine has not run, provided that the endpoint list has changed no role there during the attempt.
func (ended *endedAttempt) mayHaveRun(outcome Outcome) bool {
	switch {
	case outcome.Effect != EffectByStatus:
		return outcome.Effect == EffectPossible
	case outcome.Status == ConnectFailed:
		return false
	}
	return ended.stage != stagePrefilling || ended.roleChanged
}

// repeatAllowed reports whether the request may be sent to an engine. It may if none of its attempts can have run, or if it is
// idempotent. A request that is idempotent by key may also be sent within its deduplication scope until its deduplication window ends.
func (s *Scheduler) repeatAllowed(req *request, target *engine) bool {
	first := req.possibleEffect
	if first == nil || req.class.Effect == Idempotent {
		return true
	}
	if req.class.Effect == AtMostOnce || s.now > first.sentAt+req.class.DedupWindow-dedupMarginTicks*s.cfg.Tick {
		return false
	}
	return sameDedupScope(req.class.DedupScope, first.engine, target)
}

func sameDedupScope(scope DedupScope, a, b *engine) bool {
	switch scope {
	case DedupFleet:
		return true
	case DedupZone:
		return a.Zone == b.Zone
	case DedupCell:
		return a.Cell == b.Cell
	}
	return false
}

// attemptsLeft returns how many attempts a request may still have.
func (s *Scheduler) attemptsLeft(req *request) int {
	return s.cfg.Limits.MaxAttempts - req.attemptsSent + req.exemptAttempts
}

// canPrefillAgain reports whether the request has attempts left for a prefill and a decode, or for an engine that does both.
func (s *Scheduler) canPrefillAgain(req *request) bool {
	left := s.attemptsLeft(req)
	if left >= 2 {
		return true
	}
	return left == 1 && (s.index.ready[Mixed] > 0 || s.cfg.DecodeEnginesPrefill && s.index.ready[Decode] > 0)
}

// exemptUnsentAttempt excludes an attempt whose request was never written from the attempt limit, if ExemptUnsentAttempts is set.
// At most MaxAttempts attempts of a request are excluded.
func (s *Scheduler) exemptUnsentAttempt(outcome Outcome) {
	if !s.cfg.Limits.ExemptUnsentAttempts || outcome.Status != ConnectFailed && outcome.Status != NotSent {
		return
	}
	req := s.requests[outcome.ID]
	if req != nil && req.hasInFlight(outcome.Attempt) && req.exemptAttempts < s.cfg.Limits.MaxAttempts {
		req.exemptAttempts++
	}
}

// retryCandidates returns the engines except the one at which the request failed last, unless that is the only one. If an attempt of
// the request was never written, the engines whose ejection ends before the final response is due are left out too. The request then
// waits for an ejection to end, because engines often fail together.
func (s *Scheduler) retryCandidates(req *request, engines []*engine) []*engine {
	if req.exemptAttempts > 0 {
		engines = slices.DeleteFunc(engines, func(e *engine) bool {
			return s.now < e.ejectedUntil && e.ejectedUntil < req.deadline-s.responseMargin()
		})
	}
	if len(engines) < 2 || req.lastFailedEngine == nil {
		return engines
	}
	return slices.DeleteFunc(engines, func(e *engine) bool { return e == req.lastFailedEngine })
}
