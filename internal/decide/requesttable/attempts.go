package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// send starts an attempt if the rules allow it. Otherwise the attempt ends immediately with the status NotSent.
func (t *Table) send(now float64, action scheduler.Send) {
	record := t.records[action.ID]
	if record == nil {
		t.reportFault("send for %s, which is not open", action.ID)
		return
	}
	next := t.newAttempt(now, record, action.Engine)
	record.sends++
	if reason := t.sendPermit(now, record, &next); reason != permit.Allowed {
		// It is no fault if the client disconnected, or the response began, while the scheduler was deciding.
		if reason != permit.RequestEnded {
			t.reportFault("send of %s to %s: %s", action.ID, action.Engine, reason)
		}
		t.emit(scheduler.Outcome{
			ID:           action.ID,
			Attempt:      next.number,
			Engine:       action.Engine,
			Status:       scheduler.NotSent,
			Effect:       scheduler.EffectExcluded,
			RequestEnded: record.response.ended(),
		})
		return
	}
	writeBy := record.dedupWindowEnd() // computed from earlier attempts only, so before next is appended
	record.attempts = append(record.attempts, next)
	record.inFlight++
	record.hold.lastSendAt = now
	t.issue(StartAttempt{
		ID:           action.ID,
		Engine:       action.Engine,
		Attempt:      next.number,
		Stage:        next.stage,
		FetchState:   next.fetchesState,
		StateAttempt: next.stateAttempt,
		Timeout:      action.Timeout,
		WriteBy:      writeBy,
	})
}

// newAttempt returns the next attempt of a request without starting it.
func (t *Table) newAttempt(now float64, record *requestRecord, engine string) attempt {
	stage := outcome.Decode
	if known := t.engines[engine]; known != nil && known.role == scheduler.Prefill {
		stage = outcome.Prefill
	}
	return attempt{
		number:       record.sends,
		engine:       engine,
		stage:        stage,
		sentAt:       now,
		fetchesState: stage == outcome.Decode && record.state.isHeld(),
		stateAttempt: record.state.attempt,
	}
}

// attemptsLeft returns the number of attempts that may still be started for a request.
func (t *Table) attemptsLeft(record *requestRecord) int {
	counted := len(record.attempts)
	if t.config.ExemptUnsentAttempts {
		counted -= min(record.evidence.unsentAttempts, t.config.MaxAttempts)
	}
	return t.config.MaxAttempts - counted
}

// sendPermit returns why an attempt must not be started, or permit.Allowed.
func (t *Table) sendPermit(now float64, record *requestRecord, next *attempt) permit.Reason {
	engine := t.engines[next.engine]
	check := permit.Send{
		RequestEnded: record.response != responseQueued,
		AttemptsLeft: t.attemptsLeft(record),
		EngineKnown:  engine != nil,
		DrainGrace:   t.config.DrainGrace,
		Repeat:       t.repeat(now, record, next.engine),
	}
	if engine != nil {
		check.Draining = engine.state != scheduler.EngineReady
		check.DrainingFor = now - engine.since
	}
	return check.Reason()
}

// repeat describes a further attempt of a request at an engine for the check of rule 2.
func (t *Table) repeat(now float64, record *requestRecord, engine string) permit.Repeat {
	class := record.class
	repeat := permit.Repeat{Effect: class.Effect, DedupScope: class.DedupScope, DedupWindow: class.DedupWindow}
	earlier := record.possibleEffect()
	if earlier == nil {
		return repeat
	}
	repeat.MayHaveRun = true
	repeat.SinceFirst = now - earlier.sentAt
	if from, to := t.engines[earlier.engine], t.engines[engine]; from != nil && to != nil {
		repeat.EnginesKnown = true
		repeat.SameCell = from.cell == to.cell
		repeat.SameZone = from.zone == to.zone
	}
	return repeat
}

// dedupWindowEnd returns when engines stop recognizing a repeat of a request by its idempotency key (s); 0 = no limit.
func (r *requestRecord) dedupWindowEnd() float64 {
	if earlier := r.possibleEffect(); earlier != nil && r.class.Effect == scheduler.IdempotentByKey {
		return earlier.sentAt + r.class.DedupWindow
	}
	return 0
}

// cancel cancels an attempt that has not begun to stream. A request that has ended since the scheduler decided to cancel is
// ignored. A prefill of a request that must not be repeated is canceled only if the request can still be sent elsewhere afterwards.
func (t *Table) cancel(id string, number int) {
	record := t.records[id]
	if record == nil {
		return
	}
	a := record.attempt(number)
	if a == nil || a.state != attemptRunning {
		return
	}
	if a.stage == outcome.Prefill && record.class.Effect == scheduler.AtMostOnce && record.response.open() {
		t.issue(CancelAttempt{ID: id, Attempt: number, Cause: outcome.CanceledByScheduler, OnlyIfNotRun: true})
		return
	}
	a.markCanceling()
	t.issue(CancelAttempt{ID: id, Attempt: number, Cause: outcome.CanceledByScheduler})
}

// AttemptCanceled reports that the host has carried out a CancelAttempt with OnlyIfNotRun.
func (t *Table) AttemptCanceled(id string, number int) {
	if record := t.records[id]; record != nil {
		if a := record.attempt(number); a != nil && a.isInFlight() {
			a.markCanceling()
		}
	}
}

// cancelOthers cancels every attempt in flight except the given one; nil = it cancels all of them.
func (t *Table) cancelOthers(id string, record *requestRecord, except *attempt, cause outcome.Cause) {
	for i := range record.attempts {
		a := &record.attempts[i]
		if a == except || !a.isInFlight() || a.isCanceling() {
			continue
		}
		a.markCanceling()
		t.issue(CancelAttempt{ID: id, Attempt: a.number, Cause: cause})
	}
}

// FirstToken reports that the first token of an attempt has been received. The attempt waits for its GrantResponse.
func (t *Table) FirstToken(now float64, id string, number int) {
	record := t.records[id]
	if record == nil || record.attempt(number) == nil {
		t.reportFault("first token for %s, attempt %d, which is not open", id, number)
		return
	}
	a := record.attempt(number)
	if record.response != responseQueued || a.state != attemptRunning {
		t.issue(GrantResponse{ID: id, Attempt: number, Granted: false})
		return
	}
	record.response = responseStreaming
	record.hold.lastResponseAt = now
	record.lastUnanswered = UnansweredAttempt{}
	record.clearReleaseDuringDecode() // the earlier release freed nothing, and the state has been fetched
	a.state = attemptStreaming
	a.stage = outcome.Decode // also if the endpoint list names the engine as a prefill engine
	if record.state.isHeld() && !a.fetches(record.state) {
		// The engine computed the prefill itself.
		t.releaseHeldState(id, record)
	}
	record.state.clear() // if it was not released here, the attempt has fetched it and the prefill engine has freed it
	t.issue(GrantResponse{ID: id, Attempt: number, Granted: true})
	t.emit(scheduler.FirstToken{ID: id, Attempt: number, Engine: a.engine, Spent: now - a.sentAt})
	t.cancelOthers(id, record, a, outcome.CanceledByScheduler) // hedged requests that lost
	t.scheduleStateCheck(now, id, record)
}

// AttemptEnded reports that an attempt has ended. It must be called exactly once for each attempt. The load report may be nil.
func (t *Table) AttemptEnded(now float64, id string, number int, evidence outcome.Evidence, report *scheduler.LoadReport) {
	record := t.records[id]
	if record == nil || record.attempt(number) == nil || !record.attempt(number).isInFlight() {
		t.reportFault("end of attempt %d of %s, which is not out", number, id)
		return
	}
	a := record.attempt(number)
	wasStreaming := a.isStreaming()
	a.state = attemptEnded
	record.inFlight--
	evidence = t.completeEvidence(evidence, record, a, wasStreaming)
	class := outcome.Classify(evidence)
	t.recordEvidence(id, record, a, evidence, class)
	if endedUnanswered(evidence) {
		record.lastUnanswered = UnansweredAttempt{Engine: a.engine, At: now}
	}
	t.recordState(now, id, record, a, class)
	t.repeatReleaseAfterDecode(now, record, a)
	if evidence.Progress >= outcome.HeaderReceived {
		record.hold.lastResponseAt = now
	}
	t.issueDeferredReleases(record)
	endsRequest := t.respondAtAttemptEnd(id, record, a, wasStreaming, class)
	t.emit(scheduler.Outcome{
		ID:           id,
		Attempt:      number,
		Engine:       a.engine,
		Status:       class.Status,
		Info:         class.Info,
		Effect:       effectOf(class),
		Spent:        now - a.sentAt,
		RequestEnded: endsRequest || record.response.ended(),
		Report:       report,
	})
	if wasStreaming {
		t.issuePendingResponse(record, class)
	}
	if endsRequest {
		t.endRequest(id, record, outcome.RequestEnded)
	}
	t.forgetIfDone(id, record)
	t.scheduleStateCheck(now, id, record)
}

// effectOf returns what the scheduler is told about the effect of an attempt.
func effectOf(class outcome.Classification) scheduler.EffectEvidence {
	if class.MayHaveRun {
		return scheduler.EffectPossible
	}
	return scheduler.EffectExcluded
}

// endedUnanswered reports whether an attempt may have reached its engine and ended without a complete response or a first token.
func endedUnanswered(evidence outcome.Evidence) bool {
	written := evidence.Progress >= outcome.RequestWritten && evidence.Progress < outcome.Streaming
	return written && evidence.Cause != outcome.ResponseComplete
}

// completeEvidence adds what the table knows about an attempt to the evidence from its socket.
func (t *Table) completeEvidence(evidence outcome.Evidence, record *requestRecord, a *attempt, wasStreaming bool) outcome.Evidence {
	code := record.evidence.invalidRequestCode
	evidence.Stage = a.stage
	evidence.ConfirmedElsewhere = code != 0 && code == evidence.Code
	evidence.LastAttempt = t.attemptsLeft(record) <= 0
	evidence.PrefillProcess = evidence.PrefillProcess && t.prefillsSince(a.engine, a.sentAt)
	if wasStreaming {
		evidence.Progress = outcome.Streaming
	}
	return evidence
}

// recordEvidence updates the evidence of a request with the end of one of its attempts.
func (t *Table) recordEvidence(id string, record *requestRecord, a *attempt, evidence outcome.Evidence, class outcome.Classification) {
	proof := &record.evidence
	responded := evidence.Cause == outcome.ResponseComplete
	if !responded && evidence.Progress >= outcome.RequestWritten {
		proof.outcomeUnknown = true
	}
	if !responded && evidence.Progress < outcome.RequestWritten {
		proof.unsentAttempts++
	}
	if !outcome.ProvesNotRun(evidence) {
		proof.notRunUnproven = true
	}
	if responded && evidence.ResponseKind == outcome.InvalidRequest && !class.PassThrough {
		proof.invalidRequestCode = evidence.Code
	}
	if !class.MayHaveRun {
		return
	}
	if record.effect == nil {
		record.effect = &possibleEffect{engine: a.engine, sentAt: a.sentAt}
	} else if record.class.Effect == scheduler.AtMostOnce {
		t.reportFault("%s may have run at %s and at %s", id, record.effect.engine, a.engine)
	}
}
