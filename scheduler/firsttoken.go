package scheduler

import "math"

// This file predicts the first-token latency of a decode engine, and the time that the transfer of a prefilled state to it adds.

const (
	// initialFirstTokenLatency is the prior, in seconds, of the time from the send of a decode attempt to its first token.
	initialFirstTokenLatency = 0.1
	// initialTransferSecondsPerToken is the prior, in seconds, of the transfer time of one token out of a cell.
	initialTransferSecondsPerToken = 2e-5
	// transferGain is the weight of the newest transfer in the mean of its link.
	transferGain = 0.3
)

// firstTokenBound is a lower bound of a request's time to first token at the engines that are ready, in seconds.
type firstTokenBound struct {
	total   float64 // prefill and first-token latency; 0 while no engine can prefill or none can decode, so that requests wait
	latency float64 // first-token latency of the decode engine; infinite if none is ready
}

// boundFirstToken returns a lower bound of the time until the request's first token.
func (s *Scheduler) boundFirstToken(req *request) firstTokenBound {
	bounds := s.currentBounds()
	prefill := s.boundPrefill(req, bounds)
	bound := firstTokenBound{total: prefill + bounds.firstTokenLatency, latency: bounds.firstTokenLatency}
	if math.IsInf(bound.total, 1) {
		bound.total = 0
	} else if req.stage == stagePrefilled {
		bound.total = bound.latency
	}
	return bound
}

// boundPrefill returns a lower bound of the time that the prefill of a request takes at an engine that is ready, in seconds.
func (s *Scheduler) boundPrefill(req *request, bounds *fleetBounds) float64 {
	least := math.Inf(1)
	cachedAt := s.engineWithSession(req)
	if cachedAt != nil && cachedAt.State == EngineReady && cachedAt.role != Decode {
		least = s.uncachedTokens(req, cachedAt) * s.prefillSecondsPerToken(cachedAt)
	}
	for i := range bounds.prefill {
		if group := &bounds.prefill[i]; group.hasOther(cachedAt) {
			cached := group.hitRateWithout(cachedAt) * min(req.PrefixTokens, req.PromptTokens)
			least = min(least, max(minPrefillTokens, req.PromptTokens-cached)*group.secondsPerToken)
		}
	}
	return least
}

// firstTokenLatency predicts the time from the send of a decode attempt to its first token.
func (s *Scheduler) firstTokenLatency(target *engine) float64 {
	ofKind := s.kinds[target.Kind].firstTokenLatency.get(s.now, initialFirstTokenLatency, 0)
	return target.firstTokenLatency.get(s.now, ofKind, meanDecayTime)
}

// linkKey identifies the link out of a cell to a zone.
type linkKey struct{ cell, zone int }

// link is the state of the link out of a cell to a zone. Transfers over it share its capacity.
type link struct {
	secondsPerToken decayingMean
	tokensInTransit float64 // tokens of the states that this node's attempts transfer now
}

func (s *Scheduler) link(from, to *engine) *link {
	key := linkKey{cell: from.Cell, zone: to.Zone}
	if s.links[key] == nil {
		s.links[key] = &link{}
	}
	return s.links[key]
}

// transferTime predicts the time in seconds that a state's transfer takes beyond the first-token latency. A transfer within the cell
// takes none. A transfer out of the cell is queued behind the tokens that are in transit on its link.
func (s *Scheduler) transferTime(req *request, from, to *engine) float64 {
	if from == nil || from.Cell == to.Cell {
		return 0
	}
	transferLink := s.link(from, to)
	perToken := transferLink.secondsPerToken.get(s.now, initialTransferSecondsPerToken, meanDecayTime)
	return (transferLink.tokensInTransit + req.PromptTokens) * perToken
}

// beginTransfer adds the tokens of the request's state to those in transit on its link, if the state leaves the cell.
func (s *Scheduler) beginTransfer(req *request) {
	target := req.inFlight.engine
	if target.Cell != req.prefillEngine.Cell {
		req.inFlight.transferTokens = req.PromptTokens
		s.link(req.prefillEngine, target).tokensInTransit += req.PromptTokens
	}
}

// endTransfer removes the tokens that beginTransfer has added, if there are any.
func (s *Scheduler) endTransfer(req *request) {
	if tokens := req.inFlight.transferTokens; tokens > 0 {
		s.link(req.prefillEngine, req.inFlight.engine).tokensInTransit -= tokens
		req.inFlight.transferTokens = 0
	}
}

// learnTransfer records the transfer time per token of an attempt that has streamed its first token. The transfer time is the part of
// the spent seconds that exceeds the engine's first-token latency.
func (s *Scheduler) learnTransfer(req *request, spent float64) {
	target := req.inFlight.engine
	perToken := max(0, spent-s.firstTokenLatency(target)) / req.inFlight.transferTokens
	s.link(req.prefillEngine, target).secondsPerToken.add(s.now, perToken, transferGain)
	s.endTransfer(req)
}
