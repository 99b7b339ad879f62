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
	// queueReportTime is the time in seconds for which a reported queue counts an engine as full.
	queueReportTime = 1
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

// capacity is what a decode engine has left for a request.
type capacity struct {
	amount               float64 // the greater, the better; comparable between engines only
	meetsOutputObjective bool    // by the concurrency curve
	fits                 bool    // by its memory and queue
}

// passes tells whether the engine passes the admission tests.
func (c capacity) passes() bool { return c.meetsOutputObjective && c.fits }

// spareCapacity returns what a decode engine has left for a request.
func (s *Scheduler) spareCapacity(target *engine, req *request) capacity {
	speed, memory := s.spareSpeed(target, req), s.memoryShareWith(target, req)
	full := s.now < target.fullUntil || target.report.Waiting >= 1 && s.now-target.reportAt < queueReportTime
	return capacity{
		amount:               speed + 1 - memory - target.failureScore,
		meetsOutputObjective: speed >= 0,
		fits:                 memory <= memoryLimit && !full,
	}
}

// spareSpeed applies the curve (paper, algorithm 1, lines 8 to 10): what f(L+1) leaves above the speed that the objectives
// of the request and of each stream there require. Negative means that one of them would miss its objective.
func (s *Scheduler) spareSpeed(target *engine, req *request) float64 {
	streams := s.concurrency(target)
	if req.decodeEngine != target {
		streams++
	}
	objective := strictestOutputObjective(target, req)
	if objective <= 0 || streams <= 1 { // an idle engine always takes one, so that a bad fit can correct itself
		return 1 / max(1, streams)
	}
	curve := s.curveOf(target)
	required := curve.terms[0] / (outputObjectiveShare * objective)
	if required >= 1 { // missed even by a lone stream: a late answer is worth more than none
		return slowEngineCapacity * (curve.speed(streams) - slowestUsefulSpeed)
	}
	return 1 - required/curve.speed(streams)
}

// strictestOutputObjective is the shortest objective for the time per output token among the request and those admitted.
func strictestOutputObjective(target *engine, req *request) float64 {
	objective := req.class.OutputTokenObjective
	for _, other := range target.admitted {
		if other.class.OutputTokenObjective > 0 {
			objective = min(objective, other.class.OutputTokenObjective)
		}
	}
	return objective
}

// bestDecodeEngine returns the engine with most spare capacity that passes the admission tests for a state at another
// engine, or nil. With untested set, engines that fail the tests come last instead. timeLeft is that to the first token.
func (s *Scheduler) bestDecodeEngine(req *request, from *engine, timeLeft float64, untested bool) *engine {
	var best *engine
	most := math.Inf(-1)
	for _, candidate := range s.retryCandidates(req, s.eligibleEngines(func(e *engine) bool {
		return e.role != Prefill && s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
	})) {
		left := s.spareCapacity(candidate, req)
		if !untested && (!left.passes() || s.firstTokenLatency(candidate)+s.transferTime(req, from, candidate) > timeLeft) {
			continue
		}
		if score := s.decodeScore(req, from, candidate, left, timeLeft); score > most {
			best, most = candidate, score
		}
	}
	return best
}

// decodeScore is a candidate's spare capacity less its penalties as the decode engine for a state at another engine.
func (s *Scheduler) decodeScore(req *request, from, candidate *engine, left capacity, timeLeft float64) float64 {
	score := left.amount
	if !left.passes() {
		score -= overfullPenalty
	}
	if from.Cell != candidate.Cell {
		score -= s.transferPenalty(req, from, candidate, timeLeft)
	}
	if candidate.role == Mixed {
		score -= mixedPenalty // it prefills too, and a state from elsewhere slows both
	}
	score -= s.firstTokenLatency(candidate) / max(minLatencyBudget, min(1, timeLeft))
	if from.Zone != candidate.Zone {
		score -= crossZonePenalty
	}
	// Without a random part all routers would send to the engine that looks idle in old reports.
	return score + tieBreakSpread*s.rng.Float64()*(1-s.reportFreshness(candidate))
}

// transferPenalty is how much more spare capacity an engine of another cell must have. Where its report is fresh, the
// admission tests detect a full cell, and another cell is for when no engine passes in this. One router of many gets reports
// seldom and sees capacity in a cell that others fill: there the transfer's price and its part of the time left decide.
func (s *Scheduler) transferPenalty(req *request, from, candidate *engine, timeLeft float64) float64 {
	cost := transferPriceFactor*s.cfg.Prices.Transfer + s.transferTime(req, from, candidate)/max(timeLeft, s.cfg.Tick)
	return cost + freshTransferPenalty*math.Pow(s.reportFreshness(candidate), freshnessPower)
}

// placePrefilled sends a state that waits to its admitted decode engine or to another that passes, or releases it in time
// (rule 5).
func (s *Scheduler) placePrefilled(req *request) {
	target := req.decodeEngine
	if target == nil || !s.takesState(req, target) {
		target = s.bestDecodeEngine(req, req.prefillEngine, math.Inf(1), req.lowTier)
	}
	if s.now >= req.reserved.since+stateWaitShare*s.cfg.Rules.StateReleaseLimit {
		s.releaseState(req)
	} else if target != nil {
		s.sendDecode(req, target)
	}
}

// takesState tells whether the engine to which a request is admitted can still take its state.
func (s *Scheduler) takesState(req *request, target *engine) bool {
	return target.State == EngineReady && s.acceptsWork(target) && s.repeatAllowed(req, target) &&
		s.slowStartAllows(req, target) && s.now >= target.fullUntil
}
