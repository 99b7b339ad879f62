package scheduler

import "math"

// This file chooses the decode engine of a request: the one with the most spare capacity in the prefill engine's cell or, if none
// there passes the admission tests, one of another cell (design, "Our pairing"). Spare capacity is a score without a unit.

const (
	// outputObjectiveShare is the share of the objective for the time per output token that a prediction may use.
	outputObjectiveShare = 0.8
	// slowestUsefulSpeed is for slow engines, which miss the objective even with one stream. A slow engine is loaded until its streams
	// have this share of a lone stream's speed.
	slowestUsefulSpeed = 0.5
	// slowEngineCapacityFactor reduces the spare capacity of a slow engine, so that other engines are preferred.
	slowEngineCapacityFactor = 1e-3
	// memoryLimit is the share of a decode engine's memory that admissions may fill.
	memoryLimit = 0.92
	// fullDuration is the time in seconds for which a decode engine counts as full after a rejection.
	fullDuration = 0.3
	// queueReportTime is the time in seconds for which an engine counts as full after it has reported a queue.
	queueReportTime = 1
	// minLatencyBudget is the lower bound, in seconds, of the divisor in the penalty for a decode engine's first-token latency. The
	// divisor is the time until the first token is due, but at most 1 s.
	minLatencyBudget = 0.1
	// overfullPenalty is deducted from the spare capacity of an engine that fails an admission test.
	overfullPenalty = 100
	// mixedPenalty is deducted from the spare capacity of a mixed engine that would decode a state from another engine.
	mixedPenalty = 5
	// crossZonePenalty is deducted from the spare capacity of an engine in another zone.
	crossZonePenalty = 0.5
	// tieBreakSpread is the largest random amount that is added to an engine's spare capacity. It applies to an engine without a load
	// report; the fresher a report is, the smaller the random amount.
	tieBreakSpread = 0.2
	// freshTransferPenalty is deducted from the spare capacity of an engine in another cell that has just reported its load.
	freshTransferPenalty = 10
	// freshnessPower is the exponent of a report's freshness in that penalty. It lets the penalty fade in about a second.
	freshnessPower = 4
	// transferPriceFactor is deducted from the spare capacity of an engine in another cell for each point of Prices.Transfer.
	transferPriceFactor = 10
	// reserveTransferShare is the share of the time until the first token is due that a transfer must exceed for a slot to be reserved.
	reserveTransferShare = 0.1
	// stateWaitShare is the share of the state release limit for which a prefilled state may wait for a decode engine.
	stateWaitShare = 0.5
)

// capacity is the spare capacity of a decode engine for a request.
type capacity struct {
	amount               float64 // higher is better; only the comparison between engines has a meaning
	meetsOutputObjective bool    // the concurrency curve predicts that all streams meet their objective for the time per output token
	fits                 bool    // the engine has memory for the request and doesn't count as full
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

// spareSpeed applies the concurrency curve (paper, algorithm 1, lines 8 to 10). With the request, L+1 streams would share the engine.
// spareSpeed returns the part of their speed f(L+1), as a share of it, that the strictest objective of the request and the admitted
// streams doesn't need. A negative result means that an objective would be missed.
func (s *Scheduler) spareSpeed(target *engine, req *request) float64 {
	streams := s.concurrency(target)
	if req.decodeEngine != target {
		streams++
	}
	objective := strictestOutputObjective(target, req)
	if objective <= 0 || streams <= 1 { // an idle engine always gets a request, so that new samples can correct a bad fit
		return 1 / max(1, streams)
	}
	curve := s.curveOf(target)
	required := curve.terms[0] / (outputObjectiveShare * objective)
	if required >= 1 { // even a lone stream misses the objective, but a late response is worth more than none
		return slowEngineCapacityFactor * (curve.speed(streams) - slowestUsefulSpeed)
	}
	return 1 - required/curve.speed(streams)
}

// strictestOutputObjective returns the shortest objective for the time per output token, in seconds, of the request and of the requests
// that are admitted to the engine.
func strictestOutputObjective(target *engine, req *request) float64 {
	objective := req.class.OutputTokenObjective
	for _, other := range target.admitted {
		if other.class.OutputTokenObjective > 0 {
			objective = min(objective, other.class.OutputTokenObjective)
		}
	}
	return objective
}

// bestDecodeEngine returns the engine with the best decodeScore for a state at the engine from, or nil if there is none. Engines that
// fail the admission tests are left out or, with untested set, ranked last. timeLeft is the time in seconds until the first token is due.
func (s *Scheduler) bestDecodeEngine(req *request, from *engine, timeLeft float64, untested bool) *engine {
	var best *engine
	bestScore := math.Inf(-1)
	for _, candidate := range s.retryCandidates(req, s.eligibleDecodeEngines(from, func(e *engine) bool {
		return s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
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

// decodeScore returns a candidate's spare capacity minus its penalties, if it were to decode a state at the engine from.
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
	// Without a random part, all nodes would send to the same engine that looks idle in old reports.
	return score + tieBreakSpread*s.rng.Float64()*(1-s.reportFreshness(candidate))
}

// transferPenalty returns how much more spare capacity an engine of another cell must have to be chosen. With fresh reports the
// admission tests detect a full cell, so a high penalty ensures that another cell is used only if no engine of this one passes. One node
// of many rarely gets reports, and doesn't see how full other nodes have made this cell. Then the penalty consists of the transfer's price
// and the share of the time left that the transfer takes.
func (s *Scheduler) transferPenalty(req *request, from, candidate *engine, timeLeft float64) float64 {
	cost := transferPriceFactor*s.cfg.Prices.Transfer + s.transferTime(req, from, candidate)/max(timeLeft, s.cfg.Tick)
	return cost + freshTransferPenalty*math.Pow(s.reportFreshness(candidate), freshnessPower)
}

// placePrefilled sends a request whose state waits to the decode engine to which it is admitted or, if that engine can't accept the
// state, to another one that passes the admission tests. Once the state has waited for stateWaitShare of its limit (rule 5), it is
// released instead.
func (s *Scheduler) placePrefilled(req *request) {
	target := req.decodeEngine
	if target != nil && !s.acceptsState(req, target) {
		target = nil
	}
	if target == nil && s.mayEvaluate() {
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
	return target.State == EngineReady && target.role != Prefill && s.acceptsWork(target) && s.repeatAllowed(req, target) &&
		s.slowStartAllows(req, target) && s.now >= target.fullUntil
}
