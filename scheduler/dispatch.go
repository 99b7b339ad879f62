package scheduler

// This file sends attempts and maintains the counts of what is in flight.

// sendAttempt sends an attempt and records it as in flight.
func (s *Scheduler) sendAttempt(req *request, target *engine, predictedSeconds, timeout float64) {
	s.emit(Send{ID: req.ID, Engine: target.ID, Timeout: timeout})
	s.countSlowStartSend(req, target)
	req.inFlight = &attempt{number: req.attemptsSent, engine: target, sentAt: s.now, predictedSeconds: predictedSeconds}
	req.attemptsSent++
	s.awaitingFirstToken++
}

// sendPrefill sends a request to its prefill engine and admits it to a decode engine.
func (s *Scheduler) sendPrefill(req *request, prefill, decode *engine) {
	req.prefill = s.predictPrefill(req, prefill)
	req.cachedTokens = s.cachedPrefixTokens(req, prefill)
	req.stage = stagePrefilling
	req.prefillEngine = prefill
	timeout := max(s.cfg.Tick, req.deadline-s.now-2*s.responseMargin()) // the outcome arrives before the final response is due
	s.sendAttempt(req, prefill, req.prefill.seconds, timeout)
	prefill.prefills = append(prefill.prefills, req)
	s.assignDecodeEngine(req, decode)
	s.reserveSlot(req, decode)
}

// reserveSlot reserves a slot at the decode engine during the prefill, if the transfer of the state takes more than
// reserveTransferShare of the time until the first token is due.
func (s *Scheduler) reserveSlot(req *request, decode *engine) {
	transfer := s.transferTime(req, req.prefillEngine, decode)
	if s.cfg.ReservationOffered && transfer > reserveTransferShare*max(0, req.firstTokenDue-s.now) &&
		s.slowStartAllows(req, decode) && decode.State == EngineReady {
		s.emit(Reserve{ID: req.ID, Engine: decode.ID})
		req.reserved = &reservedState{since: s.now}
		req.inFlight.usesReservation = true
	}
}

// sendPrefillWithDecode sends a request to one engine that prefills and decodes it.
func (s *Scheduler) sendPrefillWithDecode(req *request, target *engine) {
	req.prefill = s.predictPrefill(req, target)
	s.assignDecodeEngine(req, target)
	req.stage = stageDecoding
	s.sendAttempt(req, target, s.firstTokenLatency(target)+req.prefill.seconds, 0)
}

// sendDecode sends a request whose state waits at a prefill engine to a decode engine.
func (s *Scheduler) sendDecode(req *request, target *engine) {
	s.assignDecodeEngine(req, target)
	transfer := s.transferTime(req, req.prefillEngine, target)
	req.stage = stageDecoding
	s.sendAttempt(req, target, s.firstTokenLatency(target)+transfer, 0)
	req.inFlight.usesReservation = true
	s.beginTransfer(req)
}

// assignDecodeEngine makes an engine the only one to which a request is admitted for decoding; nil means none.
func (s *Scheduler) assignDecodeEngine(req *request, target *engine) {
	if req.decodeEngine != nil {
		req.decodeEngine.admitted = without(req.decodeEngine.admitted, req)
	}
	req.decodeEngine = target
	if target != nil {
		target.admitted = append(target.admitted, req)
	}
}
