package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// This file implements SABER's admission control (paper, section IV-C and algorithm 1): two tiers, a random draw from the
// head of the high tier, and a test of each drawn request against the concurrency curve and its first-token objective.

const (
	// drawWindowSize is the number of requests at the head of the high tier from which one is drawn ("windowSize" in the paper).
	drawWindowSize = 4
	// prefillSlack is the factor by which the first-token test multiplies the predicted time of a prefill. The slack is needed
	// because queues can grow without this node seeing it.
	prefillSlack = 1.8
	// idleObjectiveShare is the share of the first-token objective that a prefill on an idle engine may take.
	idleObjectiveShare = 0.9
	// affinityFactor and affinitySlack favor earlier candidates. A later candidate is chosen only if its time to first token,
	// multiplied by affinityFactor and increased by affinitySlack seconds, is less than the time of the best earlier one.
	affinityFactor = 2
	affinitySlack  = 0.1
	// affinityCandidates is the number of prefill candidates, in rendezvous order, that are tested.
	affinityCandidates = 4
)

// pairing is the engine that prefills a request and the one that decodes it; they may be the same mixed engine.
type pairing struct {
	prefill, decode *engine
}

// sortByDeadline orders a tier by the time at which the first token is due, after moving requests that exceed their tenant's
// quota to its end (design, "the high tier is kept by deadline").
func sortByDeadline(tier []*request) {
	slices.SortStableFunc(tier, func(a, b *request) int {
		return cmp.Or(compareBools(a.overQuota, b.overQuota), cmp.Compare(a.firstTokenDue, b.firstTokenDue))
	})
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// admitHighTier admits requests drawn from the tier (algorithm 1, lines 5 to 16) until no drawn request passes the tests. It
// returns the requests that still wait.
func (s *Scheduler) admitHighTier(tier []*request) []*request {
	for {
		admitted := s.admitOneOf(tier)
		if admitted < 0 {
			return tier
		}
		tier = append(tier[:admitted:admitted], tier[admitted+1:]...)
	}
}

// admitOneOf admits the first drawn request that passes the tests, and returns its index, or -1 if none passes.
func (s *Scheduler) admitOneOf(tier []*request) int {
	for _, i := range s.drawWindow(len(tier)) {
		if s.mayEvaluate() && s.admit(tier[i], false) {
			return i
		}
	}
	return -1
}

// drawWindow returns the first drawWindowSize of n indices in random order, followed by up to drawWindowSize random indices of the
// others. Without the others, requests at the head that are just too late to pass the tests would block the requests behind them,
// which would reach the head only when they are too late themselves.
func (s *Scheduler) drawWindow(n int) []int {
	drawn := s.rng.Perm(min(drawWindowSize, n))
	for range min(drawWindowSize, n-drawWindowSize) {
		drawn = append(drawn, drawWindowSize+s.rng.IntN(n-drawWindowSize))
	}
	return drawn
}

// admitLowTier admits requests of the low tier on a best-effort basis while the high tier is empty (algorithm 1, lines 18 to
// 21). It stops after drawWindowSize requests that don't pass, because thousands may wait.
func (s *Scheduler) admitLowTier(tier []*request) {
	failed := 0
	for _, req := range tier {
		if failed >= drawWindowSize || !s.mayEvaluate() {
			return
		}
		if !s.admit(req, true) {
			failed++
		}
	}
}

// admit sends a queued request to the best pair of engines that passes the tests or, as a last resort, to one engine that
// prefills and decodes it. It reports whether the request was sent.
func (s *Scheduler) admit(req *request, lowTier bool) bool {
	candidates := s.prefillCandidates(req)
	if s.attemptsLeft(req) >= 2 {
		if pair := s.bestPairing(req, candidates, lowTier); pair.prefill != nil {
			s.startPairing(req, pair)
			return true
		}
	}
	lastResort := len(candidates) == 0 || s.attemptsLeft(req) == 1
	return lastResort && s.admitWithoutPrefillEngine(req)
}

// bestPairing returns the best pairing with one of the first affinityCandidates candidates, or a zero pairing if none passes. An
// earlier candidate that passes is replaced only by one that has the first token in less than half its time.
func (s *Scheduler) bestPairing(req *request, candidates []*engine, lowTier bool) pairing {
	var best pairing
	bound := math.Inf(1) // time to first token of the best pairing, in seconds
	for _, candidate := range candidates[:min(affinityCandidates, len(candidates))] {
		seconds := s.predictPrefill(req, candidate).seconds
		if affinitySlack+affinityFactor*seconds >= bound {
			continue
		}
		if lowTier && !s.delaysNoNewRequest(candidate, seconds) && !s.mayExplore() {
			continue
		}
		decode := s.decodeEngineFor(req, candidate, seconds, lowTier)
		if decode == nil {
			continue
		}
		if decode != candidate {
			seconds += s.firstTokenLatency(decode) + s.transferTime(req, candidate, decode)
		}
		if affinitySlack+affinityFactor*seconds < bound || best.prefill == nil {
			best = pairing{prefill: candidate, decode: decode}
			bound = seconds
		}
	}
	return best
}

func (s *Scheduler) startPairing(req *request, pair pairing) {
	if pair.prefill == pair.decode {
		s.sendPrefillWithDecode(req, pair.decode)
	} else {
		s.sendPrefill(req, pair.prefill, pair.decode)
	}
}

// decodeEngineFor returns the engine that would decode what a candidate prefills in the given seconds, or nil if none passes the
// tests. A mixed candidate decodes the request itself, because then no state is transferred. For a prefill engine it is the best
// decode engine that passes.
func (s *Scheduler) decodeEngineFor(req *request, candidate *engine, seconds float64, lowTier bool) *engine {
	timeLeft := s.timeAfterPrefill(req, candidate, seconds, lowTier)
	if candidate.role != Mixed {
		return s.bestDecodeEngine(req, candidate, timeLeft, s.mayExplore())
	}
	passes := s.spareCapacity(candidate, req).passes() && timeLeft >= 0
	if !passes && !s.mayExplore() {
		return nil
	}
	return candidate
}

// timeAfterPrefill returns the time in seconds that remains until the first token is due, after a prefill that takes prefillSlack
// times the given seconds. An objective can be too short for this factor even on an idle engine. The factor is then reduced to what
// the objective allows; otherwise requests of the class would never be sent. The result is infinite for the low tier and for an
// exploration request, which have no objective to meet.
func (s *Scheduler) timeAfterPrefill(req *request, candidate *engine, seconds float64, lowTier bool) float64 {
	if lowTier || s.mayExplore() {
		return math.Inf(1)
	}
	objective := req.firstTokenDue - req.arrived - s.firstTokenBound.latency
	idleSeconds := (s.uncachedTokens(req, candidate) + prefillOverhead) * s.prefillSecondsPerToken(candidate)
	slack := float64(prefillSlack)
	if idleObjectiveShare*seconds <= idleSeconds { // nothing is queued there
		slack = max(1, min(prefillSlack, idleObjectiveShare*objective/idleSeconds))
	}
	return req.firstTokenDue - s.now - slack*seconds
}

// delaysNoNewRequest reports whether an engine can spend the given seconds on the prefill of a late request without making others
// late. A new request of any class that arrives right behind it must still meet its first-token objective, with a margin for the
// recent prediction error. The test is needed because the high tiers of other nodes may have requests while that of this node is empty.
func (s *Scheduler) delaysNoNewRequest(candidate *engine, seconds float64) bool {
	seconds += predictionErrorFactor * s.predictionError[candidate.role].get(s.now, 0, 0)
	for i, class := range s.cfg.Classes {
		prompt := s.classes[i].promptTokens.mean
		objective := class.FirstTokenObjective + class.ObjectivePer1KTokens*prompt/1000
		// An objective that no engine can meet is ignored: delaying the late request would not help.
		attainable := objective > prefillSlack*(prompt+prefillOverhead)*initialPrefillSecondsPerToken
		if attainable && prefillSlack*(seconds+(prompt+prefillOverhead)*s.prefillSecondsPerToken(candidate)) > objective {
			return false
		}
	}
	return true
}

// admitWithoutPrefillEngine sends a request that has no prefill candidate, or only one attempt left, to an engine that prefills and
// decodes it: a mixed engine or, with DecodeEnginesPrefill, a decode engine. It is not used while prefill engines are only
// late, because decode engines that also prefill fall behind and slow down the whole fleet (incidents i263144 and iaa9861).
func (s *Scheduler) admitWithoutPrefillEngine(req *request) bool {
	var best *engine
	bestAmount := math.Inf(-1)
	for _, candidate := range s.eligibleEngines(s.fromRandom(&s.index.decode), func(e *engine) bool {
		prefills := e.role == Mixed || e.role == Decode && s.cfg.DecodeEnginesPrefill
		return prefills && s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
	}) {
		if remaining := s.spareCapacity(candidate, req); remaining.passes() && remaining.amount > bestAmount {
			best, bestAmount = candidate, remaining.amount
		}
	}
	if best == nil {
		return false
	}
	s.sendPrefillWithDecode(req, best)
	return true
}
