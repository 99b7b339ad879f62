package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// This file is SABER's admission control (paper, section IV-C and algorithm 1): two tiers, a random draw from the head
// of the high tier, and a test of each drawn request against the concurrency curve and its first-token objective.

const (
	// drawWindowSize is the number of requests at the head of the high tier from which one is drawn ("windowSize" in the paper).
	drawWindowSize = 4
	// prefillSlack is the factor on its prediction that a prefill may take in the first-token test, as queues grow unseen.
	prefillSlack = 1.8
	// idleObjectiveShare is the share of its first-token objective that a prefill on an idle engine may take.
	idleObjectiveShare = 0.9
	// affinityFactor is the factor on the next candidate's time to first token from which the preferred replica is passed over.
	affinityFactor = 2
	// affinitySlack is the time in seconds that is added to that bound.
	affinitySlack = 0.1
	// affinityCandidates is the number of prefill candidates in rendezvous order that are tested.
	affinityCandidates = 4
)

// pairing is the engine that prefills a request and the one that decodes it; they may be the same mixed engine.
type pairing struct {
	prefill, decode *engine
}

// sortByDeadline orders a tier: requests beyond their tenant's quota last, then by the time at which the first token is due
// (design, "the high tier is kept by deadline").
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

// admitHighTier tests a request drawn from the head of the tier (algorithm 1, lines 5 to 16), until none passes. It returns
// the requests that wait.
func (s *Scheduler) admitHighTier(tier []*request) []*request {
	for {
		admitted := s.admitOneOf(tier)
		if admitted < 0 {
			return tier
		}
		tier = append(tier[:admitted:admitted], tier[admitted+1:]...)
	}
}

// admitOneOf admits the first drawn request that passes, and returns its index, or -1.
func (s *Scheduler) admitOneOf(tier []*request) int {
	for _, i := range s.drawWindow(len(tier)) {
		if s.admit(tier[i], false) {
			return i
		}
	}
	return -1
}

// drawWindow draws the first few indices of a tier in random order, then as many of the others. Without the others, requests at
// the head that are just too late to pass would block all behind them until those are as late.
func (s *Scheduler) drawWindow(n int) []int {
	drawn := s.rng.Perm(min(drawWindowSize, n))
	for range min(drawWindowSize, n-drawWindowSize) {
		drawn = append(drawn, drawWindowSize+s.rng.IntN(n-drawWindowSize))
	}
	return drawn
}

// admitLowTier serves the low tier on a best-effort basis while the high tier is empty (algorithm 1, lines 18 to 21). It
// stops after a few requests that don't pass, as thousands may wait.
func (s *Scheduler) admitLowTier(tier []*request) {
	failed := 0
	for _, req := range tier {
		if failed >= drawWindowSize {
			return
		}
		if !s.admit(req, true) {
			failed++
		}
	}
}

// admit starts a queued request at the best pair of engines that passes the tests, and tells whether it did.
func (s *Scheduler) admit(req *request, low bool) bool {
	candidates := s.prefillCandidates(req)
	if s.attemptsLeft(req) >= 2 {
		if pair := s.bestPairing(req, candidates, low); pair.prefill != nil {
			s.startPairing(req, pair)
			return true
		}
	}
	lastResort := len(candidates) == 0 || s.attemptsLeft(req) == 1
	return lastResort && s.admitWithoutPrefillEngine(req)
}

// bestPairing goes through the first candidates in order. The preferred replica is passed over only for a candidate that has
// the first token in less than half the time.
func (s *Scheduler) bestPairing(req *request, candidates []*engine, low bool) pairing {
	var best pairing
	bound := math.Inf(1) // time to first token that a later candidate must beat, after affinityFactor and affinitySlack
	for _, candidate := range candidates[:min(affinityCandidates, len(candidates))] {
		seconds := s.predictPrefill(req, candidate).seconds
		if affinitySlack+affinityFactor*seconds >= bound {
			continue
		}
		if low && !s.delaysNobody(candidate, seconds) && !s.mayExplore() {
			continue
		}
		decode := s.decodeEngineFor(req, candidate, seconds, low)
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

// decodeEngineFor returns the engine that would decode what a candidate prefills in the given seconds, or nil: a mixed engine
// itself if it passes, so that no state is transferred, else the best decode engine that passes.
func (s *Scheduler) decodeEngineFor(req *request, candidate *engine, seconds float64, low bool) *engine {
	timeLeft := s.timeAfterPrefill(req, candidate, seconds, low)
	if candidate.role != Mixed {
		return s.bestDecodeEngine(req, candidate, timeLeft, s.mayExplore())
	}
	passes := s.spareCapacity(candidate, req).passes() && timeLeft >= 0
	if !passes && !s.mayExplore() {
		return nil
	}
	return candidate
}

// timeAfterPrefill is what a prefill of the given seconds leaves of the time until the first token is due. An objective that
// is too short for the slack on an idle engine is tested with the slack that it leaves, as its class would never be sent
// otherwise. The low tier and an exploration request have no objective to meet.
func (s *Scheduler) timeAfterPrefill(req *request, candidate *engine, seconds float64, low bool) float64 {
	if low || s.mayExplore() {
		return math.Inf(1)
	}
	objective := req.firstTokenDue - req.arrived - s.bestFirstToken.latency
	alone := (s.uncachedTokens(req, candidate) + prefillOverhead) * s.prefillSecondsPerToken(candidate)
	slack := float64(prefillSlack)
	if idleObjectiveShare*seconds <= alone { // nothing is queued there
		slack = max(1, min(prefillSlack, idleObjectiveShare*objective/alone))
	}
	return req.firstTokenDue - s.now - slack*seconds
}

// delaysNobody tells whether an engine can prefill, in the given seconds, a request that is late anyway and make no other
// late: a newcomer of any class right behind it would still start in time, by the error that predictions have lately had.
// The test is needed because an empty high tier here doesn't mean that those of the other routers are empty.
func (s *Scheduler) delaysNobody(candidate *engine, seconds float64) bool {
	seconds += predictionErrorFactor * s.predictionError[candidate.role].get(s.now, 0, 0)
	for i, class := range s.cfg.Classes {
		prompt := s.classes[i].promptTokens.mean
		objective := class.FirstTokenObjective + class.ObjectivePer1KTokens*prompt/1000
		// An objective that is too short for any engine isn't met by letting the late request wait.
		attainable := objective > prefillSlack*(prompt+prefillOverhead)*initialPrefillSecondsPerToken
		if attainable && prefillSlack*(seconds+(prompt+prefillOverhead)*s.prefillSecondsPerToken(candidate)) > objective {
			return false
		}
	}
	return true
}

// admitWithoutPrefillEngine has a mixed engine, or a decode engine where the site lets it, prefill and decode a request that
// has no prefill engine in sight or one attempt left. While prefill engines are merely late, only they prefill: decode engines
// that prefill fall behind, and the fleet with them (incidents i263144 and iaa9861).
func (s *Scheduler) admitWithoutPrefillEngine(req *request) bool {
	var best *engine
	most := math.Inf(-1)
	for _, candidate := range s.eligibleEngines(func(e *engine) bool {
		prefills := e.role == Mixed || e.role == Decode && s.cfg.DecodeEnginesPrefill
		return prefills && s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
	}) {
		if left := s.spareCapacity(candidate, req); left.passes() && left.amount > most {
			best, most = candidate, left.amount
		}
	}
	if best == nil {
		return false
	}
	s.sendPrefillWithDecode(req, best)
	return true
}
