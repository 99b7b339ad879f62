package staterelease

import (
	"cmp"
	"slices"
)

// Engine is an engine that can be called to release a state that it or another engine holds (RetrySchedule.AnyEngine).
type Engine struct {
	ID                       string
	Listed                   bool    // the endpoint list names it
	Holder                   bool    // it may hold the state
	LastSuccess, LastFailure float64 // when a call to it last succeeded, and when one last failed; 0 = never
}

// RankEngines returns the first engines, at most limit of them, in the order in which they are called. Engines whose last call succeeded
// come before those whose last call failed. Among these, listed engines come first, then the holder, then the engine with the latest
// success, then the one with the lowest ID. There may be thousands of engines, so they are not sorted as a whole.
func RankEngines(engines []Engine, limit int) []Engine {
	var ranked []Engine
	for _, e := range engines {
		if len(ranked) == limit && compareRank(e, ranked[limit-1]) > 0 {
			continue
		}
		position, _ := slices.BinarySearchFunc(ranked, e, compareRank)
		ranked = slices.Insert(ranked, position, e)
		ranked = ranked[:min(limit, len(ranked))]
	}
	return ranked
}

func compareRank(a, b Engine) int {
	switch {
	case a.failedLast() != b.failedLast():
		return firstWithout(a.failedLast(), b.failedLast())
	case a.Listed != b.Listed:
		return firstWithout(!a.Listed, !b.Listed)
	case a.Holder != b.Holder:
		return firstWithout(!a.Holder, !b.Holder)
	case a.LastSuccess != b.LastSuccess:
		return cmp.Compare(b.LastSuccess, a.LastSuccess)
	}
	return cmp.Compare(a.ID, b.ID)
}

// laterRoundCalls is the number of parallel calls in each round after the first. The first round makes one call, because that is usually
// acknowledged. Each call may need a connection, and a node has few connections.
const laterRoundCalls = 4

// NextEngines returns the engines that the next round of calls goes to: the first ones in the order of RankEngines that have not been
// called. Later rounds call several engines, so that a node that is cut off from nearly all engines finds one that responds before the
// deadline. If an earlier call was acknowledged and another is required, that one goes to a different engine whose last call did not
// fail, as long as there is one, because the previous engine may not reach the others.
func (s *RetrySchedule) NextEngines(engines []Engine) []string {
	calls := 1
	if s.Attempts > 0 {
		calls = laterRoundCalls
	}
	if s.called == nil {
		s.called = map[string]bool{}
	}
	followsAnother := s.Attempts == 0 && len(s.called) > 0
	candidates := make([]Engine, 0, len(engines))
	for _, e := range engines {
		if !s.called[e.ID] && !(followsAnother && e.failedLast()) {
			candidates = append(candidates, e)
		}
	}
	var next []string
	for _, e := range RankEngines(candidates, calls) {
		s.called[e.ID] = true
		next = append(next, e.ID)
	}
	if len(next) == 0 && len(engines) > 0 { // all were called: start over
		s.called = nil
		return s.NextEngines(engines)
	}
	return next
}

func (e *Engine) failedLast() bool { return e.LastFailure > e.LastSuccess }

// firstWithout compares two engines by a drawback: the engine without it comes first.
func firstWithout(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
