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

// sortByDeadline orders a tier: traffic beyond its tenant's share yields, then by first-token aim.
func sortByDeadline(xs []*request) {
	slices.SortStableFunc(xs, func(a, b *request) int {
		return cmp.Or(cmp.Compare(toInt(a.overQuota), toInt(b.overQuota)), cmp.Compare(a.firstTokenDue, b.firstTokenDue))
	})
}

// drawWindow draws the first few in order, then as many of the others: where those at the head are just too late to
// pass, all behind them would be tried only once they are as late.
func (s *Scheduler) drawWindow(n int) []int {
	drawn := s.rng.Perm(min(drawWindowSize, n))
	for range min(drawWindowSize, n-drawWindowSize) {
		drawn = append(drawn, drawWindowSize+s.rng.IntN(n-drawWindowSize))
	}
	return drawn
}

// admitHighTier tests one drawn at random from the first few of the high tier, until none passes. It returns
// those that wait.
func (s *Scheduler) admitHighTier(high []*request) []*request {
	for again := true; again; {
		again = false
		for _, i := range s.drawWindow(len(high)) {
			if s.admit(high[i], false) {
				high, again = append(high[:i:i], high[i+1:]...), true
				break
			}
		}
	}
	return high
}

// decodeEngineFor returns who would answer what e reads in t: a mixed engine itself, if it passes, so that no state
// moves; else the best writer that passes. The low tier has no first-token time to keep.
func (s *Scheduler) decodeEngineFor(q *request, e *engine, t float64, low bool) *engine {
	left := s.timeAfterPrefill(q, e, t, low)
	if e.role != Mixed {
		return s.bestDecodeEngine(q, e, left, s.mayExplore())
	}
	if _, pace, fits := s.spareCapacity(e, q); (!pace || !fits || left < 0) && !s.mayExplore() {
		return nil
	}
	return e
}

// timeAfterPrefill is what a read that takes e so long leaves of the time to q's aim. An aim too short for our slack
// where nobody is ahead gets what slack it leaves: its class would never be sent. The low tier and a probe
// (see blind) keep no aim.
func (s *Scheduler) timeAfterPrefill(q *request, e *engine, t float64, low bool) float64 {
	if low || s.mayExplore() {
		return math.Inf(1)
	}
	aim := q.firstTokenDue - q.arrived - s.leastFirstTokenLatency
	uncached := max(minPrefillTokens, q.PromptTokens-s.cachedPrefixTokens(q, e))
	alone := (uncached + prefillOverhead) * s.prefillSecondsPerToken(e)
	slack := 1.0 * prefillSlack
	if idleObjectiveShare*t <= alone { // nobody is ahead
		slack = max(1, min(prefillSlack, idleObjectiveShare*aim/alone))
	}
	return q.firstTokenDue - s.now - slack*t
}

// delaysNobody tells whether e can read, in t, what comes too late anyway and make nobody else late: a newcomer of
// any class right behind it would still start in time, by what all reads have lately shown and four times its
// mean error. Where many routers have a request or two each, our empty high tier tells nothing of theirs.
func (s *Scheduler) delaysNobody(e *engine, t float64) bool {
	t += predictionErrorFactor * s.predictionError[e.role].get(s.now, 0, 0)
	for i, c := range s.cfg.Classes {
		p := s.classes[i].promptTokens.mean
		// one too short for any reader is kept by nobody's waiting
		aim := c.FirstTokenObjective + c.ObjectivePer1KTokens*p/1000
		if aim > prefillSlack*(p+prefillOverhead)*initialPrefillSecondsPerToken &&
			prefillSlack*(t+(p+prefillOverhead)*s.prefillSecondsPerToken(e)) > aim {
			return false
		}
	}
	return true
}

// admit finds a reader and a writer for a held request and starts the read. The home passes to the next in
// order only when that has the first token in half the time and less.
func (s *Scheduler) admit(q *request, low bool) bool {
	rds := s.prefillCandidates(q)
	if s.attemptsLeft(q) >= 2 {
		var rd, w *engine
		least := math.Inf(1)
		for _, e := range rds[:min(affinityCandidates, len(rds))] {
			t, _, _ := s.predictPrefill(q, e)
			if affinitySlack+affinityFactor*t >= least || low && !s.delaysNobody(e, t) && !s.mayExplore() {
				continue
			}
			if x := s.decodeEngineFor(q, e, t, low); x != nil {
				if x != e {
					t += s.firstTokenLatency(x) + s.transferTime(q, e, x)
				}
				if affinitySlack+affinityFactor*t < least || rd == nil {
					rd, w, least = e, x, t
				}
			}
		}
		if rd != nil && rd == w {
			s.sendUnprefilled(q, w)
		} else if rd != nil {
			s.sendPrefill(q, rd, w)
		}
		if rd != nil {
			return true
		}
	}
	last := len(rds) == 0 || s.attemptsLeft(q) == 1
	return last && s.admitUnprefilled(q)
}

// admitUnprefilled: when no reader is in sight or one attempt is left, any mixed engine (or a writer, under
// local_read) reads the prompt. While readers are merely late only homes do: writers that read fall behind,
// and the fleet with them (i263144, iaa9861).
func (s *Scheduler) admitUnprefilled(q *request) bool {
	var best *engine
	bestRoom := math.Inf(-1)
	for _, e := range s.eligibleEngines(func(e *engine) bool {
		can := e.role == Mixed || e.role == Decode && s.cfg.DecodeEnginesPrefill
		return can && s.repeatAllowed(q, e) && s.slowStartAllows(q, e)
	}) {
		room, pace, fits := s.spareCapacity(e, q)
		if pace && fits && room > bestRoom {
			best, bestRoom = e, room
		}
	}
	if best != nil {
		s.sendUnprefilled(q, best)
	}
	return best != nil
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
