package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// This file bounds the work of a decision pass. The goroutine that runs the passes also gives the final responses and releases the
// states that are due, so a pass must be short. What a pass leaves is done in the next one, which follows after a tick.

// maxEvaluations is the number of evaluations after which a pass begins no further search for engines. The work that is due, such as
// final responses and the release of states, doesn't count.
const maxEvaluations = 20_000

// PassLoad is the size of the latest decision pass, for the host's logs and metrics.
type PassLoad struct {
	OpenRequests int  // requests without a final response, after the pass
	Engines      int  // engines in the endpoint view
	Evaluations  int  // how often an engine was checked or scored for a request
	Interrupted  bool // the pass has left work for the next one
}

// LastPass returns the size of the latest decision pass.
func (s *Scheduler) LastPass() PassLoad {
	return PassLoad{
		OpenRequests: len(s.openRequests),
		Engines:      len(s.engineList),
		Evaluations:  s.evaluations,
		Interrupted:  s.interrupted,
	}
}

// mayEvaluate reports whether the pass may begin another search for engines. Otherwise it marks the pass as interrupted.
func (s *Scheduler) mayEvaluate() bool {
	if s.evaluations >= maxEvaluations {
		s.interrupted = true
	}
	return !s.interrupted
}

// passOrder returns the open requests in the order in which a pass handles them: in order of arrival or, after an interrupted pass, those
// whose states have waited longest first.
func (s *Scheduler) passOrder() []*request {
	order := slices.Clone(s.openRequests)
	if s.interrupted {
		slices.SortStableFunc(order, func(a, b *request) int { return cmp.Compare(a.waitingSince(), b.waitingSince()) })
	}
	return order
}

// waitingSince returns the start of the time limit of the state that waits for a decode engine, or +Inf if there is none.
func (req *request) waitingSince() float64 {
	if req.stage != stagePrefilled {
		return math.Inf(1)
	}
	return req.reserved.since
}
