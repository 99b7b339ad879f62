package scheduler

import "math"

// This file decides when a request is given up, and with which final answer.

// expire answers a request whose time is nearly up, or that can have no further attempt, and drops to the
// low tier one that can no longer start in time.
func (r *Scheduler) expire(q *request) bool {
	best, until := r.bestCase(q), q.deadline
	if q.class.LateValue <= 0 {
		until = q.aim // a late answer is worth nothing
	}
	why := DeadlineNear
	q.due = q.deadline - r.margin()
	if r.best = best; q.out < 0 && !r.blind() && until-best < q.due {
		q.due, why = until-best, ObjectiveUnreachable // what can no longer be served with some worth is given up at once
	}
	switch {
	case q.out >= 0:
	case r.left(q) <= 0:
		q.due, why = r.now, AttemptsExhausted
	case q.mayRun && !r.maySend(q, q.mayRunOn):
		q.due, why = r.now, RepeatUnsafe
	}
	q.low = q.low || r.now+best > q.aim
	if r.now >= q.due {
		r.finish(q, r.answer(q, why))
	}
	return q.done
}

// bestCase is the least time in which a first token could still come.
func (r *Scheduler) bestCase(q *request) float64 {
	t, lag := math.Inf(1), math.Inf(1)
	for _, e := range r.list {
		if e.State == EngineReady && e.role != Decode {
			t = min(t, max(32, q.PromptTokens-r.keptAt(q, e))*r.spt(e))
		}
		if e.State == EngineReady && e.role != Prefill {
			lag = min(lag, r.lag(e))
		}
	}
	if r.leastLag = lag; math.IsInf(t+lag, 1) {
		return 0 // nobody is listed: hold and hope
	} else if q.stage == parsed {
		return lag
	}
	return t + lag
}

// margin is how long before the deadline a final answer is given.
func (r *Scheduler) margin() float64 { return max(0.01, 4*r.cfg.Tick) }

// answer is the best final answer that the ledger allows: a refusal tells the client that a further try is
// harmless (rule 2).
func (r *Scheduler) answer(q *request, why GiveUpReason) Action {
	may := q.mayRun || q.out >= 0
	if q.class.Effect == Idempotent || !may || q.class.Effect == IdempotentByKey && q.class.DedupScope == DedupFleet {
		return Reject{q.ID, r.comeBack(), why}
	}
	return Fail{q.ID, why}
}

// comeBack is when a refused client may ask again: after the shortest wait that we expect at a reader, spread
// so that those refused together do not return together. 0 = it is not told.
func (r *Scheduler) comeBack() float64 {
	if !r.cfg.Limits.RetryAfter {
		return 0
	}
	wait := r.cfg.Limits.MaxRetryAfter
	for _, e := range r.pool(func(e *engine) bool { return e.role != Decode }) {
		wait = min(wait, r.backlog(e))
	}
	return min(r.cfg.Limits.MaxRetryAfter, max(backLeast, wait)*(0.5+r.rng.Float64()))
}
