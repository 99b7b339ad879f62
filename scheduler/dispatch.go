package scheduler

// sendAttempt makes an attempt and writes it into the ledger and the budgets.
func (s *Scheduler) sendAttempt(q *request, e *engine, expect, timeout float64) {
	s.emit(Send{q.ID, e.ID, timeout})
	w := s.work(q, e.role)
	if s.warmingUp(e) {
		e.slowStartSends = append(e.slowStartSends, slowStartSend{s.now, w})
	}
	q.attemptInFlight, q.sentAt, q.expected, q.cancelRequested, q.overtaken = q.attemptsSent, s.now, expect, false, 0
	q.attemptsSent++
	s.awaitingFirstToken++
}

// sendPrefill starts the read at rd of a request admitted to w.
func (s *Scheduler) sendPrefill(q *request, rd, w *engine) {
	t, tokens, load := s.predictPrefill(q, rd)
	q.cachedTokens = s.cachedPrefixTokens(q, rd)
	q.uncachedTokens, q.prefillLoad, q.stage, q.prefillEngine = tokens, load, stagePrefilling, rd
	s.sendAttempt(q, rd, t, max(s.cfg.Tick, q.deadline-s.now-2*s.responseMargin())) // the outcome comes before our answer
	rd.prefills = append(rd.prefills, q)
	s.assignDecodeEngine(q, w)
	move := s.transferTime(q, rd, w)
	if s.cfg.ReservationOffered && move > reserveTransferShare*max(0, q.firstTokenDue-s.now) && s.slowStartAllows(q, w) &&
		w.State == EngineReady {
		s.emit(Reserve{q.ID, w.ID})
		q.stateReserved = true
	}
}

// sendUnprefilled has an engine read and answer.
func (s *Scheduler) sendUnprefilled(q *request, e *engine) {
	var t float64
	t, q.uncachedTokens, q.prefillLoad = s.predictPrefill(q, e)
	s.sendDecode(q, e, t)
}

// sendDecode sends a read request (or an unread one, as a fallback) to a writer.
func (s *Scheduler) sendDecode(q *request, w *engine, extra float64) {
	s.assignDecodeEngine(q, w)
	move := extra
	if q.stage == stagePrefilled {
		move = s.transferTime(q, q.prefillEngine, w)
		if w.Cell != q.prefillEngine.Cell {
			q.transferTokens = q.PromptTokens
			s.link(q.prefillEngine, w).tokensInTransit += q.transferTokens
		}
	}
	q.stage = stageDecoding
	s.sendAttempt(q, w, s.firstTokenLatency(w)+move, 0)
}

// assignDecodeEngine moves a request to a writer's books; nil takes it off.
func (s *Scheduler) assignDecodeEngine(q *request, w *engine) {
	if q.decodeEngine != nil {
		q.decodeEngine.admitted = without(q.decodeEngine.admitted, q)
	}
	if q.decodeEngine = w; w != nil {
		w.admitted = append(w.admitted, q)
	}
}
