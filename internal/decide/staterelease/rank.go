package staterelease

import (
	"cmp"
	"slices"
)

// Engine is one that may be called to release a state, where any engine can.
type Engine struct {
	ID                       string
	Listed                   bool    // the endpoint list names it
	Holder                   bool    // it may hold the state
	LastSuccess, LastFailure float64 // when a call last succeeded there, and when one last failed; 0 = never
}

// RankEngines returns the engines in the order in which they are called: engines whose last call succeeded before those whose
// last call failed, then listed ones first, then the holder, then the one that succeeded latest.
func RankEngines(engines []Engine) []Engine {
	ranked := slices.Clone(engines)
	slices.SortStableFunc(ranked, func(a, b Engine) int {
		return cmp.Or(
			firstWithout(a.failedLast(), b.failedLast()),
			firstWithout(!a.Listed, !b.Listed),
			firstWithout(!a.Holder, !b.Holder),
			cmp.Compare(b.LastSuccess, a.LastSuccess),
		)
	})
	return ranked
}

func (e *Engine) failedLast() bool { return e.LastFailure > e.LastSuccess }

// firstWithout compares two engines by a drawback: the one without it comes first.
func firstWithout(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
