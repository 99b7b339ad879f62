package scheduler

import "math"

// This file keeps the best estimates of all ready engines, so that a check of a request doesn't iterate over the fleet.

// refreshSecondsPerEngine is how long the bounds of a large fleet stay in use for each of its engines, in seconds. It limits the share of
// the time that is spent on them.
const refreshSecondsPerEngine = 5e-5

// fleetBounds are the best estimates of the engines that are ready. They change with events and, slowly, with time.
type fleetBounds struct {
	refreshAt         float64
	prefill           []prefillBound // by kind, and by whether the engines count as slower because they are in slow start
	firstTokenLatency float64        // shortest of an engine that decodes, in seconds; infinite if none is ready
	warm              [roles]int     // number of ready engines that are not in slow start
}

// prefillBound bounds the time of a prefill at engines with the same time per token.
type prefillBound struct {
	secondsPerToken float64
	engines         int
	best            *engine // engine with the largest prefix hit rate; nil if there is none
	bestHitRate     float64
	secondHitRate   float64 // largest prefix hit rate of the other engines
}

// include adds an engine with its time per token and its prefix hit rate.
func (b *prefillBound) include(target *engine, secondsPerToken, hitRate float64) {
	b.secondsPerToken = secondsPerToken
	b.engines++
	switch {
	case b.best == nil:
		b.best, b.bestHitRate = target, hitRate
	case hitRate > b.bestHitRate:
		b.secondHitRate = b.bestHitRate
		b.best, b.bestHitRate = target, hitRate
	default:
		b.secondHitRate = max(b.secondHitRate, hitRate)
	}
}

// hasOther reports whether the bound includes an engine other than excluded.
func (b *prefillBound) hasOther(excluded *engine) bool {
	return b.engines > 1 || b.engines == 1 && b.best != excluded
}

// hitRateWithout returns the largest prefix hit rate of an engine other than excluded.
func (b *prefillBound) hitRateWithout(excluded *engine) float64 {
	if b.best == excluded {
		return b.secondHitRate
	}
	return b.bestHitRate
}

// currentBounds returns the bounds. With at most smallSet engines they are computed anew in each step. In a larger fleet they are
// computed anew after an update of the endpoint list, and at an interval that grows with the fleet.
func (s *Scheduler) currentBounds() *fleetBounds {
	if s.now >= s.fleetBounds.refreshAt {
		s.refreshBounds()
	}
	return &s.fleetBounds
}

func (s *Scheduler) refreshBounds() {
	bounds := fleetBounds{
		prefill:           make([]prefillBound, 2*len(s.cfg.Kinds)),
		firstTokenLatency: math.Inf(1),
		refreshAt:         math.Inf(1), // until the next step
	}
	if len(s.engineList) > smallSet {
		bounds.refreshAt = s.now + refreshSecondsPerEngine*float64(len(s.engineList))
	}
	s.evaluations += len(s.engineList)
	for _, target := range s.engineList {
		if target.State != EngineReady {
			continue
		}
		if !s.warmingUp(target) {
			bounds.warm[target.role]++
		}
		if target.role != Decode {
			bounds.prefill[s.prefillGroup(target)].include(target, s.prefillSecondsPerToken(target), s.prefixHitRate(target))
		}
		if target.role != Prefill {
			bounds.firstTokenLatency = min(bounds.firstTokenLatency, s.firstTokenLatency(target))
		}
	}
	s.fleetBounds = bounds
}

// prefillGroup returns the index in fleetBounds.prefill of the engines that have the same prefillSecondsPerToken.
func (s *Scheduler) prefillGroup(target *engine) int {
	if s.slowedByStart(target) {
		return 2*target.Kind + 1
	}
	return 2 * target.Kind
}
