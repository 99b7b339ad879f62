package scheduler

import "math"

// This file predicts the time from a decode attempt's send to its first token, and the transfer of a prefilled state.

const (
	// initialFirstTokenLatency is the prior, in seconds, of the time from a decode attempt's send to its first token.
	initialFirstTokenLatency = 0.1
	// initialTransferSecondsPerToken is the prior, in seconds, of the transfer time of one token out of a cell.
	initialTransferSecondsPerToken = 2e-5
)

func (s *Scheduler) firstTokenLatency(e *engine) float64 {
	return e.firstTokenLatency.get(s.now, s.kinds[e.Kind].firstTokenLatency.get(s.now, initialFirstTokenLatency, 0), forgetTime)
}

// link is the way out of a cell to a zone; out is what we have on it.
type link struct {
	secondsPerToken gauge
	tokensInTransit float64
}

type linkKey struct{ cell, zone int }

// link returns what we know of a way. Moves out of one cell to one zone share a fate.
func (s *Scheduler) link(from, to *engine) *link {
	k := linkKey{from.Cell, to.Zone}
	if s.links[k] == nil {
		s.links[k] = &link{}
	}
	return s.links[k]
}

// transferTime predicts the move of a state beyond what a writer's lag holds: only the link of the reader's
// cell counts, with what we have on it.
func (s *Scheduler) transferTime(q *request, from, to *engine) float64 {
	if from == nil || from.Cell == to.Cell {
		return 0
	}
	l := s.link(from, to)
	return (l.tokensInTransit + q.PromptTokens) * l.secondsPerToken.get(s.now, initialTransferSecondsPerToken, forgetTime)
}

// bestTimeToFirstToken is the least time in which a first token could still come.
func (s *Scheduler) bestTimeToFirstToken(q *request) float64 {
	t, lag := math.Inf(1), math.Inf(1)
	for _, e := range s.engineList {
		if e.State == EngineReady && e.role != Decode {
			t = min(t, max(32, q.PromptTokens-s.cachedPrefixTokens(q, e))*s.prefillSecondsPerToken(e))
		}
		if e.State == EngineReady && e.role != Prefill {
			lag = min(lag, s.firstTokenLatency(e))
		}
	}
	if s.leastFirstTokenLatency = lag; math.IsInf(t+lag, 1) {
		return 0 // nobody is listed: hold and hope
	} else if q.stage == stagePrefilled {
		return lag
	}
	return t + lag
}
