package scheduler

import "math"

// This file chooses the decode engine of a request: the one of the same cell with the most spare capacity, or one of another
// cell if none there passes the admission tests (design, "Our pairing").

const (
	// outputObjectiveShare is the share of the objective for the time per output token that a prediction may use.
	outputObjectiveShare = 0.8
	// slowestUsefulSpeed applies to an engine that misses the objective even with one stream. It gets further streams as long as each
	// runs at more than this share of the speed of a single stream.
	slowestUsefulSpeed = 0.5
	// slowEngineCapacityFactor scales the spare capacity of such an engine, so that others are preferred.
	slowEngineCapacityFactor = 1e-3
	// memoryLimit is the share of a decode engine's memory that admissions may fill.
	memoryLimit = 0.92
	// fullDuration is the time in seconds for which a decode engine counts as full after a rejection.
	fullDuration = 0.3
	// queueReportTime is the time in seconds for which an engine counts as full after it has reported a queue.
	queueReportTime = 1
	// minLatencyBudget is the lower bound of the time left, in seconds, by which a first-token latency is divided as a penalty.
	minLatencyBudget = 0.1
	// overfullPenalty is deducted from the spare capacity of an engine that fails a test, if such engines are ranked too.
	overfullPenalty = 100
	// mixedPenalty is deducted from the spare capacity of a mixed engine as the decode engine of another engine's prefill.
	mixedPenalty = 5
	// crossZonePenalty is deducted from the spare capacity of an engine in another zone.
	crossZonePenalty = 0.5
	// tieBreakSpread is the largest random amount that is added to the spare capacity of engines known from old reports alone.
	tieBreakSpread = 0.2
	// freshTransferPenalty is deducted from the spare capacity of an engine in another cell if its report is fresh.
	freshTransferPenalty = 10
	// freshnessPower is the exponent of a report's freshness in that penalty, with which the penalty fades in about a second.
	freshnessPower = 4
	// transferPriceFactor is deducted from the spare capacity of an engine in another cell for each point of the transfer price.
	transferPriceFactor = 10
	// reserveTransferShare is the share of the time left that a transfer must exceed for a slot to be reserved.
	reserveTransferShare = 0.1
	// stateWaitShare is the share of the state release limit for which a prefilled state may wait for a decode engine.
	stateWaitShare = 0.5
)

// capacity is the spare capacity of a decode engine for a request.
type capacity struct {
	amount               float64 // higher is better; only the comparison between engines has a meaning
	meetsOutputObjective bool    // by the concurrency curve
	fits                 bool    // by its memory and queue
}

// passes reports whether the engine passes the admission tests.
func (c capacity) passes() bool { return c.meetsOutputObjective && c.fits }

// spareCapacity returns the spare capacity of a decode engine for a request.
func (s *Scheduler) spareCapacity(target *engine, req *request) capacity {
	speed, memory := s.spareSpeed(target, req), s.memoryShareWith(target, req)
	full := s.now < target.fullUntil || target.report.Waiting >= 1 && s.now-target.reportedAt < queueReportTime
	return capacity{
		amount:               speed + 1 - memory - target.failureScore,
		meetsOutputObjective: speed >= 0,
		fits:                 memory <= memoryLimit && !full,
	}
}

// spareSpeed applies the concurrency curve (paper, algorithm 1, lines 8 to 10). It returns the margin of f(L+1) over the relative
// speed that the objectives of the request and of each stream there require; if it is negative, one of them would be missed.
func (s *Scheduler) spareSpeed(target *engine, req *request) float64 {
	streams := s.concurrency(target)
	if req.decodeEngine != target {
		streams++
	}
	objective := strictestOutputObjective(target, req)
	if objective <= 0 || streams <= 1 { // an idle engine always gets one, so that new samples can correct a bad fit
		return 1 / max(1, streams)
	}
	curve := s.curveOf(target)
	required := curve.terms[0] / (outputObjectiveShare * objective)
	if required >= 1 { // missed even with one stream: a late response is worth more than none
		return slowEngineCapacityFactor * (curve.speed(streams) - slowestUsefulSpeed)
	}
	return 1 - required/curve.speed(streams)
}

// strictestOutputObjective returns the shortest objective for the time per output token among the request and those admitted.
func strictestOutputObjective(target *engine, req *request) float64 {
	objective := req.class.OutputTokenObjective
	for _, other := range target.admitted {
		if other.class.OutputTokenObjective > 0 {
			objective = min(objective, other.class.OutputTokenObjective)
		}
	}
	return objective
}

// bestDecodeEngine returns the engine with the most spare capacity that passes the admission tests for a state at another engine,
// or nil. With untested set, engines that fail the tests are ranked last instead. timeLeft is the time until the first token is due.
func (s *Scheduler) bestDecodeEngine(req *request, from *engine, timeLeft float64, untested bool) *engine {
	var best *engine
	bestScore := math.Inf(-1)
	for _, candidate := range s.retryCandidates(req, s.eligibleEngines(func(e *engine) bool {
		return e.role != Prefill && s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
	})) {
		remaining := s.spareCapacity(candidate, req)
		if !untested && (!remaining.passes() || s.firstTokenLatency(candidate)+s.transferTime(req, from, candidate) > timeLeft) {
			continue
		}
		if score := s.decodeScore(req, from, candidate, remaining, timeLeft); score > bestScore {
			best, bestScore = candidate, score
		}
	}
	return best
}

// decodeScore returns a candidate's spare capacity minus its penalties as the decode engine for a state at another engine.
func (s *Scheduler) decodeScore(req *request, from, candidate *engine, remaining capacity, timeLeft float64) float64 {
	score := remaining.amount
	if !remaining.passes() {
		score -= overfullPenalty
	}
	if from.Cell != candidate.Cell {
		score -= s.transferPenalty(req, from, candidate, timeLeft)
	}
	if candidate.role == Mixed {
		score -= mixedPenalty // it prefills too, and a state from another engine slows both
	}
	score -= s.firstTokenLatency(candidate) / max(minLatencyBudget, min(1, timeLeft))
	if from.Zone != candidate.Zone {
		score -= crossZonePenalty
	}
	// Without a random part all nodes would send to the engine that looks idle in old reports.
	return score + tieBreakSpread*s.rng.Float64()*(1-s.reportFreshness(candidate))
}

// transferPenalty returns how much more spare capacity an engine of another cell must have. With fresh reports the admission tests
// detect a full cell, so another cell is used only if no engine of this one passes. One node of many gets reports rarely and sees
// capacity in a cell that other nodes fill; there the transfer's price and its share of the time left decide.
func (s *Scheduler) transferPenalty(req *request, from, candidate *engine, timeLeft float64) float64 {
	cost := transferPriceFactor*s.cfg.Prices.Transfer + s.transferTime(req, from, candidate)/max(timeLeft, s.cfg.Tick)
	return cost + freshTransferPenalty*math.Pow(s.reportFreshness(candidate), freshnessPower)
}

// placePrefilled sends a request whose state waits to the decode engine to which it is admitted, or to another that passes, or
// releases the state in time (rule 5).
func (s *Scheduler) placePrefilled(req *request) {
	target := req.decodeEngine
	if target == nil || !s.acceptsState(req, target) {
		target = s.bestDecodeEngine(req, req.prefillEngine, math.Inf(1), req.lowTier)
	}
	if s.now >= req.reserved.since+stateWaitShare*s.cfg.Rules.StateReleaseLimit {
		s.releaseState(req)
	} else if target != nil {
		s.sendDecode(req, target)
	}
}

// acceptsState reports whether the engine to which a request is admitted can still accept its state.
func (s *Scheduler) acceptsState(req *request, target *engine) bool {
	return target.State == EngineReady && s.acceptsWork(target) && s.repeatAllowed(req, target) &&
		s.slowStartAllows(req, target) && s.now >= target.fullUntil
}
