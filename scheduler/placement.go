package scheduler

import "math"

// This file chooses the decode engine of a request: that of the same cell with most spare capacity, or one of another
// cell when none there passes (design, "Our pairing").

const (
	// outputObjectiveShare is the share of the objective for the time per output token that a prediction may use.
	outputObjectiveShare = 0.8
	// slowestUsefulSpeed is the relative speed down to which an engine is loaded that misses the objective even with one stream.
	slowestUsefulSpeed = 0.5
	// slowEngineCapacity scales the spare capacity of such a slow engine, so that others come first.
	slowEngineCapacity = 1e-3
	// memoryLimit is the share of a decode engine's memory that admissions may fill.
	memoryLimit = 0.92
	// fullDuration is the time in seconds for which a decode engine counts as full after a rejection.
	fullDuration = 0.3
	// minLatencyBudget is the least time left, in seconds, against which a first-token latency is weighed.
	minLatencyBudget = 0.1
	// overfullPenalty is the spare capacity that an engine which fails a test loses in an untested choice.
	overfullPenalty = 100
	// mixedPenalty is the spare capacity that a mixed engine loses as the decode engine of another engine's prefill.
	mixedPenalty = 5
	// crossZonePenalty is the spare capacity that an engine in another zone loses.
	crossZonePenalty = 0.5
	// tieBreakSpread is the spare capacity by which engines that are known from old reports alone are drawn apart.
	tieBreakSpread = 0.2
	// freshTransferPenalty is the spare capacity that an engine in another cell loses where its report is fresh.
	freshTransferPenalty = 10
	// freshnessPower is the power of a report's freshness with which that penalty fades, in about a second.
	freshnessPower = 4
	// transferPriceFactor is the spare capacity that an engine in another cell loses for each point of the transfer price.
	transferPriceFactor = 10
	// reserveTransferShare is the share of the time left which a transfer must take for a place to be reserved.
	reserveTransferShare = 0.1
	// stateWaitShare is the share of the state release limit for which a prefilled state may wait for a decode engine.
	stateWaitShare = 0.5
)

// spareCapacity is the room that a writer has for q, and whether the curve and its memory and queue let q in.
func (s *Scheduler) spareCapacity(e *engine, q *request) (room float64, pace, fits bool) {
	left, used := s.spareSpeed(e, q), s.memoryShareWith(e, q)
	full := s.now < e.fullUntil || e.report.Waiting >= 1 && s.now-e.reportAt < 1
	return left + 1 - used - e.failureScore, left >= 0, used <= memoryLimit && !full
}

// spareSpeed applies the curve: what f(L+1) leaves above the bound set by the pace aims of the newcomer and
// of every stream of ours there. Negative means that one of them would fall behind.
func (s *Scheduler) spareSpeed(e *engine, q *request) float64 {
	l, aim := s.concurrency(e), q.class.OutputTokenObjective
	if q.decodeEngine != e {
		l++
	}
	for _, x := range e.admitted {
		if x.class.OutputTokenObjective > 0 {
			aim = min(aim, x.class.OutputTokenObjective)
		}
	}
	if aim <= 0 || l <= 1 { // an empty writer always takes one: a bad fit must be able to mend
		return 1 / max(1, l)
	}
	k := s.curveOf(e)
	need := k.terms[0] / (outputObjectiveShare * aim) // the least speed that keeps the pace
	if need >= 1 {                                    // not even alone: a late answer is worth more than none
		return slowEngineCapacity * (k.speed(l) - slowestUsefulSpeed)
	}
	return 1 - need/k.speed(l)
}

// bestDecodeEngine returns the writer with most room: of the reader's cell, else of another. With untested set,
// the curve and the first-token time are not asked.
func (s *Scheduler) bestDecodeEngine(q *request, from *engine, left float64, untested bool) *engine {
	var best *engine
	most := math.Inf(-1)
	for _, e := range s.retryCandidates(q, s.eligibleEngines(func(e *engine) bool {
		return e.role != Prefill && s.repeatAllowed(q, e) && s.slowStartAllows(q, e)
	})) {
		room, pace, fits := s.spareCapacity(e, q)
		if !untested && (!pace || !fits || s.firstTokenLatency(e)+s.transferTime(q, from, e) > left) {
			continue
		}
		if !pace || !fits {
			room -= 100 // overfull ones last of all
		}
		if from.Cell != e.Cell {
			room -= s.transferPenalty(q, from, e, left)
		}
		if e.role == Mixed {
			room -= mixedPenalty // it reads for itself: states that come slow both
		}
		room -= s.firstTokenLatency(e) / max(minLatencyBudget, min(1, left)) // the part of its time that the first token will take
		if from.Zone != e.Zone {
			room -= 0.5
		}
		room += tieBreakSpread * s.rng.Float64() * (1 - s.reportFreshness(e)) // no herd to the first that looks idle
		if room > most {
			best, most = e, room
		}
	}
	return best
}

// transferPenalty is how much more room a writer in another cell must have than the best of this one. Where its
// report is fresh the tests tell a full cell, and another is for when none passes in this. A router of many
// hears of a writer seldom and sees room in a cell that others fill: there the move's price and part of the
// time left decide.
func (s *Scheduler) transferPenalty(q *request, from, e *engine, left float64) float64 {
	cost := transferPriceFactor*s.cfg.Prices.Transfer + s.transferTime(q, from, e)/max(left, s.cfg.Tick)
	return cost + freshTransferPenalty*math.Pow(s.reportFreshness(e), freshnessPower)
}

// placePrefilled sends a waiting state to the admitted writer, or to another that passes, or lets go of it in
// good time (rule 5).
func (s *Scheduler) placePrefilled(q *request) {
	w := q.decodeEngine
	if w == nil || w.State != EngineReady || !s.acceptsWork(w) || !s.repeatAllowed(q, w) || !s.slowStartAllows(q, w) ||
		s.now < w.fullUntil {
		w = s.bestDecodeEngine(q, q.prefillEngine, math.Inf(1), q.lowTier)
	}
	if s.now >= q.stateReservedSince+stateWaitShare*s.cfg.Rules.StateReleaseLimit {
		s.releaseState(q)
	} else if w != nil {
		s.sendDecode(q, w, 0)
	}
}
