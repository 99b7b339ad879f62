package scheduler

import "math"

// This file follows each request from its arrival to its final response.

// meanGain is the weight of one arrival in the mean prompt and output lengths.
const meanGain = 0.05

// requestArrived takes a request into the high tier.
func (s *Scheduler) requestArrived(ev Request) {
	if s.requests[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(s.cfg.Classes) {
		return
	}
	c := &s.cfg.Classes[ev.Class]
	q := &request{Request: ev, class: c, arrived: s.now, attemptInFlight: -1, deadline: s.now + ev.ClientTimeLeft}
	q.firstTokenDue = s.now + c.FirstTokenObjective + c.ObjectivePer1KTokens*ev.PromptTokens/1000 +
		c.ObjectivePerHintSecond*ev.DurationHint
	if ev.Tenant >= 0 && ev.Tenant < len(s.quotas) && s.cfg.Tenants[ev.Tenant].Quota > 0 {
		rate := s.cfg.Tenants[ev.Tenant].Quota / float64(s.cfg.NodeCount) // our part of its share
		q.overQuota = !s.quotas[ev.Tenant].take(s.now, rate, max(quotaMinBurst, quotaBurst*rate))
	}
	s.requests[ev.ID] = q
	s.openRequests = append(s.openRequests, q)
	s.arrivals.add(s.now, 1, rateWindow)
	s.prefixArrivals.add(s.now, 1, prefixWindow)
	x := s.prefixRates[ev.Prefix]
	x.add(s.now, 1, prefixWindow)
	s.prefixRates[ev.Prefix] = x
	s.classes[ev.Class].promptTokens.add(s.now, ev.PromptTokens, 0.05)
	s.meanPromptTokens.add(s.now, ev.PromptTokens, 0.05)
	s.meanOutputTokens.add(s.now, s.expectedOutputTokens(q), 0.05)
}

func (s *Scheduler) firstTokenArrived(ev FirstToken) {
	q := s.requests[ev.ID]
	if q == nil || q.attemptInFlight != ev.Attempt || q.stage != stageDecoding {
		return
	}
	e := q.decodeEngine
	s.attemptProgressed(q.stage)
	s.completedWork[e.role].add(s.now, s.work(q, e.role), rateWindow)
	q.overtakeEarlier(e.admitted, stageDecoding)
	own := !q.stateReserved // it read the prompt itself
	q.stage, q.streamStartedAt, q.streamConcurrency, q.stateReserved = stageStreaming, s.now, s.concurrency(e), false
	if own {
		s.learnPrefill(q, e, q.prefillLoad, ev.Spent)
	} else if q.transferTokens > 0 {
		l := s.link(q.prefillEngine, e)
		l.secondsPerToken.add(s.now, max(0, ev.Spent-s.firstTokenLatency(e))/q.transferTokens, 0.3)
		l.tokensInTransit, q.transferTokens = l.tokensInTransit-q.transferTokens, 0
	} else {
		e.firstTokenLatency.add(s.now, ev.Spent, 0.25)
		s.kinds[e.Kind].firstTokenLatency.add(s.now, ev.Spent, 0.05)
	}
	s.predictionError[e.role].add(s.now, math.Abs(ev.Spent-q.expected), kindGain)
	s.recordEvidence(e, 0)
}

// attemptEnded ends an attempt and files what it tells.
func (s *Scheduler) attemptEnded(ev Outcome) {
	s.recordReport(s.engines[ev.Engine], ev.Report)
	q := s.requests[ev.ID]
	if q == nil || q.attemptInFlight != ev.Attempt {
		return
	}
	was, e := q.stage, q.at()
	s.attemptProgressed(was)
	if was == stageDecoding && !q.stateReserved && ev.Status != Completed {
		s.emit(Release{q.ID}) // what a mixed engine has read by itself stays held as well
	}
	lost := q.overtaken >= lostAfterOvertaken
	if (was == stagePrefilling || was == stageDecoding) && (ev.Status == Prefilled || s.lastSuccess[e.role] < q.sentAt) {
		s.predictionError[e.role].add(s.now, math.Abs(ev.Spent-q.expected), kindGain)
	}
	if ev.Status == Prefilled {
		q.overtakeEarlier(e.prefills, stagePrefilling)
	}
	q.attemptInFlight, q.stage, e.prefills = -1, stageQueued, without(e.prefills, q)
	q.stateReservedSince = q.reservedFrom(s.now, ev.Status, s.cfg.Limits.StateTimeRunsDuringConnects)
	if q.transferTokens > 0 {
		s.link(q.prefillEngine, e).tokensInTransit, q.transferTokens = s.link(q.prefillEngine, e).tokensInTransit-q.transferTokens, 0
	}
	switch ev.Status {
	case Prefilled:
		q.stateReserved, q.stage = true, stagePrefilled
		s.completedWork[Prefill].add(s.now, s.work(q, Prefill), rateWindow)
		s.learnPrefill(q, e, max(1, q.prefillLoad+q.cachedTokens-float64(ev.Info)), ev.Spent)
		s.learnPrefixHit(q, e, float64(ev.Info))
		s.recordEvidence(e, 0)
	case Completed:
		s.learnDecode(q, e)
	case Rejected:
		switch {
		case ev.Info != 1:
			e.fullUntil = s.now + fullDuration
			if reportsSpareCapacity(ev.Report) { // it turns away what it has room for: another is asked next
				q.lastFailedAt = e
			}
			if was == stageDecoding && q.stateReserved {
				q.stage = stagePrefilled
			}
		case was == stageDecoding && q.stateReserved: // its reader lost it, the writer is not full: read anew
			s.recordEvidence(q.prefillEngine, 1)
		}
	case NotSent:
	default:
		q.lastFailedAt = e
		slow := (ev.Status == TimedOut || ev.Status == Canceled) && e.lastSuccess >= q.sentAt && !lost
		if ev.Status == ConnectFailed && e.failureScore < ejectionScore {
			s.eject(e)
		} else if !slow { // an engine that answers others is not failing
			s.recordEvidence(e, 1)
		}
		if was == stageDecoding || was == stageStreaming {
			if ev.Status != ConnectFailed && !q.mayHaveRun && e.role != Prefill {
				q.mayHaveRun, q.mayHaveRunSince, q.mayHaveRunAt = true, q.sentAt, e
			}
			if q.stateReserved {
				q.stage = stagePrefilled
			}
		}
	}
	switch {
	case ev.Closed && !q.done:
		s.finish(q, nil)
	case q.done:
		s.releaseState(q)
		delete(s.requests, q.ID)
	case q.stage != stagePrefilled:
		s.releaseState(q)
	case was == stageDecoding:
		s.assignDecodeEngine(q, nil)
	}
}

// releaseState releases whatever is held for a request of which no attempt is out (rule 5) and frees its place in
// our own count.
func (s *Scheduler) releaseState(q *request) {
	if q.stateReserved {
		s.emit(Release{q.ID})
		q.stateReserved = false
	}
	if q.stage == stagePrefilled {
		q.stage = stageQueued
	}
	s.assignDecodeEngine(q, nil)
}

// finish gives the final answer (none where the client has it or has left), calls off what is out and lets
// go of the rest. The books on an attempt still out stay open until its outcome.
func (s *Scheduler) finish(q *request, answer Action) {
	if answer != nil {
		s.emit(answer)
	}
	q.done = true
	s.openRequests = without(s.openRequests, q)
	if q.attemptInFlight < 0 {
		s.releaseState(q)
		delete(s.requests, q.ID)
		return
	}
	if q.stage != stageStreaming && s.cfg.Limits.Cancel {
		s.emit(Cancel{q.ID, q.attemptInFlight})
	}
	if q.stage == stagePrefilling && q.stateReserved {
		s.emit(Release{q.ID}) // a place reserved beside the read
	}
}

// at is the engine of a request's attempt out.
func (q *request) at() *engine {
	if q.stage == stagePrefilling {
		return q.prefillEngine
	}
	return q.decodeEngine
}

// reservedFrom is since when a state counts as held, after an attempt to take it has ended: from then on, unless the time runs on while
// connections fail to come up.
func (q *request) reservedFrom(now float64, s Status, runsOn bool) float64 {
	if q.stateReserved && runsOn && (s == ConnectFailed || s == NotSent) {
		return q.stateReservedSince
	}
	return now
}
