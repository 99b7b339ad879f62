package scheduler

import "math"

// This file tracks each request from its arrival to its final response.

const (
	// lengthGain is the weight of the newest arrival in the mean prompt and output lengths.
	lengthGain = 0.05
	// firstTokenGain is the weight of the newest first token in its engine's mean first-token latency.
	firstTokenGain = 0.25
	// stateMissing is the Info of a rejection by an engine that found no state to fetch.
	stateMissing = 1
)

// requestArrived adds a request to the high tier (paper, section IV-C, step 1). It ignores a request whose ID is in use or whose class is
// unknown.
func (s *Scheduler) requestArrived(event Request) {
	if s.requests[event.ID] != nil || event.Class < 0 || event.Class >= len(s.cfg.Classes) {
		return
	}
	class := &s.cfg.Classes[event.Class]
	req := &request{
		Request:  event,
		class:    class,
		arrived:  s.now,
		deadline: s.now + event.ClientTimeLeft,
		firstTokenDue: s.now + class.FirstTokenObjective + class.ObjectivePer1KTokens*event.PromptTokens/1000 +
			class.ObjectivePerHintSecond*event.DurationHint,
		overQuota: s.exceedsQuota(event.Tenant),
	}
	s.requests[event.ID] = req
	s.openRequests = append(s.openRequests, req)
	s.countArrival(req)
}

func (s *Scheduler) countArrival(req *request) {
	s.arrivals.add(s.now, 1, rateWindow)
	s.countPrefix(req.Prefix)
	s.classes[req.Class].promptTokens.add(s.now, req.PromptTokens, lengthGain)
	s.meanPromptTokens.add(s.now, req.PromptTokens, lengthGain)
	s.meanOutputTokens.add(s.now, s.expectedOutputTokens(req), lengthGain)
}

// clientDisconnected ends a request without a final response.
func (s *Scheduler) clientDisconnected(event ClientDisconnected) {
	if req := s.requests[event.ID]; req != nil && !req.done {
		s.finish(req, nil)
	}
}

// firstTokenArrived records that the response has started to stream.
func (s *Scheduler) firstTokenArrived(event FirstToken) {
	req := s.requests[event.ID]
	if req == nil || !req.hasInFlight(event.Attempt) {
		return
	}
	switch req.stage {
	case stagePrefilling:
		s.prefillStreams(req)
	case stageDecoding:
		s.decodeStreams(req, event)
	}
}

// prefillStreams records that the engine of a prefill decodes the request itself: it is no longer the prefill engine that the endpoint
// list names. Nothing is learned from the attempt, because it was predicted as a prefill.
func (s *Scheduler) prefillStreams(req *request) {
	engine := req.inFlight.engine
	s.attemptProgressed(req.stage)
	engine.prefills = without(engine.prefills, req)
	s.assignDecodeEngine(req, engine)
	req.stream = streamStart{}
	req.stage = stageStreaming
	req.reserved = nil
	s.recordSuccess(engine)
}

// decodeStreams records the first token of a decode attempt.
func (s *Scheduler) decodeStreams(req *request, event FirstToken) {
	engine := req.decodeEngine
	s.attemptProgressed(req.stage)
	s.completedWork[engine.role].add(s.now, s.work(req, engine.role), rateWindow)
	req.countOvertaken(engine.admitted, stageDecoding)
	prefilledHere := req.prefillsWithDecode()
	req.stream = streamStart{startedAt: s.now, concurrency: s.concurrency(engine)}
	req.stage = stageStreaming
	req.reserved = nil
	if prefilledHere {
		s.learnPrefill(req, engine, req.prefill.load, event.Spent)
	} else if req.inFlight.transferTokens > 0 {
		s.learnTransfer(req, event.Spent)
	} else {
		engine.firstTokenLatency.add(s.now, event.Spent, firstTokenGain)
		s.kinds[engine.Kind].firstTokenLatency.add(s.now, event.Spent, kindGain)
	}
	s.predictionError[engine.role].add(s.now, math.Abs(event.Spent-req.inFlight.predictedSeconds), kindGain)
	s.recordSuccess(engine)
}

// endedAttempt is an attempt that has ended, with the stage in which it ended.
type endedAttempt struct {
	attempt
	stage stage
}

// attemptEnded closes the attempt of an outcome, updates the statistics by its status, and advances the request.
func (s *Scheduler) attemptEnded(outcome Outcome) {
	s.recordReport(s.engines[outcome.Engine], outcome.Report)
	req := s.requests[outcome.ID]
	if req == nil || !req.hasInFlight(outcome.Attempt) {
		return
	}
	ended := s.closeAttempt(req, outcome)
	switch outcome.Status {
	case Prefilled:
		s.prefillSucceeded(req, ended, outcome)
	case Completed:
		s.streamCompleted(req, ended.engine)
	case Rejected:
		s.attemptRejected(req, ended, outcome)
	case NotSent: // nothing happened at the engine
	default:
		s.attemptFailed(req, ended, outcome)
	}
	s.continueRequest(req, ended, outcome.RequestEnded)
}

// closeAttempt removes the attempt from its request, and the request from the prefills of the attempt's engine.
func (s *Scheduler) closeAttempt(req *request, outcome Outcome) endedAttempt {
	ended := endedAttempt{attempt: *req.inFlight, stage: req.stage}
	engine := ended.engine
	s.attemptProgressed(ended.stage)
	if req.prefillsWithDecode() && outcome.Status != Completed && outcome.Status != Prefilled {
		s.emit(Release{ID: req.ID}) // an engine that prefills and decodes reserves the state too
	}
	s.learnPredictionError(ended, outcome)
	if outcome.Status == Prefilled {
		req.countOvertaken(engine.prefills, stagePrefilling)
	}
	s.restartReservedTime(req, outcome.Status)
	s.endTransfer(req)
	req.inFlight = nil
	req.stage = stageQueued
	engine.prefills = without(engine.prefills, req)
	return ended
}

// learnPredictionError records the error of an attempt's predicted time if the attempt is a successful prefill, or if no engine
// of the role has succeeded since it was sent. In other cases the engine may hang while others answer, and this one engine must not
// raise the error of its role.
func (s *Scheduler) learnPredictionError(ended endedAttempt, outcome Outcome) {
	if ended.stage != stagePrefilling && ended.stage != stageDecoding {
		return
	}
	role := ended.engine.role
	if outcome.Status == Prefilled || s.lastSuccess[role] < ended.sentAt {
		s.predictionError[role].add(s.now, math.Abs(outcome.Spent-ended.predictedSeconds), kindGain)
	}
}

// prefillSucceeded records that the request's state waits at the engine of the attempt. After a decode attempt, the engine is no longer
// the decode engine that the endpoint list names; nothing is learned from the attempt.
func (s *Scheduler) prefillSucceeded(req *request, ended endedAttempt, outcome Outcome) {
	cached := float64(outcome.Info)
	req.reserved = &reservedState{since: s.now}
	req.stage = stagePrefilled
	if ended.stage != stagePrefilling {
		req.prefillEngine = ended.engine
		req.lastFailedEngine = ended.engine
		s.recordSuccess(ended.engine)
		return
	}
	s.completedWork[Prefill].add(s.now, s.work(req, Prefill), rateWindow)
	s.learnPrefill(req, ended.engine, max(1, req.prefill.load+req.cachedTokens-cached), outcome.Spent)
	s.learnPrefixHitRate(req, ended.engine, cached)
	s.recordSuccess(ended.engine)
}

// streamCompleted records that the response is complete.
func (s *Scheduler) streamCompleted(req *request, engine *engine) {
	s.recordSuccess(engine)
	s.learnDecode(req, engine)
}

// attemptRejected records a rejection, which means that the engine is full or that a decode engine found no state to fetch.
func (s *Scheduler) attemptRejected(req *request, ended endedAttempt, outcome Outcome) {
	stateReserved := ended.stage == stageDecoding && req.reserved != nil
	if outcome.Info == stateMissing {
		if ended.stage == stagePrefilling { // it is no longer the prefill engine that the endpoint list names
			req.lastFailedEngine = ended.engine
			s.recordFailure(ended.engine)
		}
		if stateReserved { // the prefill engine lost the state and the decode engine is not full: prefill again
			s.recordFailure(req.prefillEngine)
		}
		return
	}
	ended.engine.fullUntil = s.now + fullDuration
	if reportsSpareCapacity(outcome.Report) { // it rejects although it reports spare capacity: retry at another engine
		req.lastFailedEngine = ended.engine
	}
	if stateReserved {
		req.stage = stagePrefilled
	}
}

// attemptFailed records a failure: an error, a timeout, a lost connection, or a cancellation.
func (s *Scheduler) attemptFailed(req *request, ended endedAttempt, outcome Outcome) {
	engine := ended.engine
	req.lastFailedEngine = engine
	s.recordAttemptFailure(ended, outcome.Status)
	if req.possibleEffect == nil && ended.mayHaveRun(outcome) {
		req.possibleEffect = &possibleEffect{sentAt: ended.sentAt, engine: engine}
	}
	if ended.stage == stagePrefilling {
		return
	}
	if req.reserved != nil {
		req.stage = stagePrefilled
	}
}

// continueRequest advances a request after its attempt has ended. A request whose state waits stays admitted to its decode engine
// only if the attempt was the prefill.
func (s *Scheduler) continueRequest(req *request, ended endedAttempt, closed bool) {
	switch {
	case closed && !req.done:
		s.finish(req, nil)
	case req.done:
		s.releaseState(req)
		delete(s.requests, req.ID)
	case req.stage != stagePrefilled:
		s.releaseState(req)
	case ended.stage == stageDecoding:
		s.assignDecodeEngine(req, nil)
	}
}

// restartReservedTime restarts the time limit of a reserved state when the attempt to fetch it has ended. If
// StateTimeRunsUntilResponse is set, it restarts only if the engine has responded. An attempt that ended without a response may never
// have reached its engine, and the time limit has continued during it.
func (s *Scheduler) restartReservedTime(req *request, status Status) {
	responded := status == Rejected || status == ServerError
	if req.reserved != nil && (responded || !s.cfg.Limits.StateTimeRunsUntilResponse) {
		req.reserved.since = s.now
	}
}

// stateReleased records that the host has released the state of a request. A request that waits is queued to be prefilled again. A
// request with an attempt in flight is queued again only if that attempt ends without an answer.
func (s *Scheduler) stateReleased(event StateReleased) {
	req := s.requests[event.ID]
	if req == nil || req.reserved == nil {
		return
	}
	req.reserved = nil
	switch {
	case req.inFlight != nil:
		req.inFlight.stateReleased = true
	case req.stage == stagePrefilled:
		req.stage = stageQueued
		s.assignDecodeEngine(req, nil)
	}
}

// releaseState releases what is reserved for a request that has no attempt in flight (rule 5), and removes the request from its
// decode engine.
func (s *Scheduler) releaseState(req *request) {
	if req.reserved != nil {
		s.emit(Release{ID: req.ID})
		req.reserved = nil
	}
	if req.stage == stagePrefilled {
		req.stage = stageQueued
	}
	s.assignDecodeEngine(req, nil)
}

// finish ends a request. The response is nil if the client has already received one or has disconnected. If the action Cancel is
// allowed, an attempt in flight whose answer doesn't stream yet is canceled. A request without an attempt in flight loses its state
// and is deleted from s.requests; otherwise both happen at the attempt's outcome.
func (s *Scheduler) finish(req *request, response Action) {
	if response != nil {
		s.emit(response)
	}
	req.done = true
	s.openRequests = without(s.openRequests, req)
	if req.inFlight == nil {
		s.releaseState(req)
		delete(s.requests, req.ID)
		return
	}
	if req.stage != stageStreaming && s.cfg.Limits.Cancel {
		s.emit(Cancel{ID: req.ID, Attempt: req.inFlight.number})
	}
	if req.stage == stagePrefilling && req.reserved != nil {
		s.emit(Release{ID: req.ID}) // during the prefill, what is reserved is a slot at the decode engine
	}
}
