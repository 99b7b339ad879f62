package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// observe notes the end of an attempt. The hold time of a state runs from the latest outcome of an attempt whose request
// was written (rule 5).
func (h *holdTime) observe(now float64, evidence outcome.Evidence) {
	if evidence.Progress < outcome.RequestWritten {
		return
	}
	h.since = now
	h.latestWasSilent = outcome.Silent(evidence)
	if !h.latestWasSilent {
		h.sinceIfUndelivered = now
	}
}

// recordState updates the held state after the end of an attempt and releases what no attempt will fetch.
func (t *Table) recordState(now float64, id string, record *requestRecord, a *attempt, class outcome.Classification) {
	switch {
	case class.Status == scheduler.Prefilled:
		if record.state.isHeld() { // a second prefill: only one of the two states will be fetched
			t.releaseHeldState(id, record)
		}
		record.state = heldState{engine: a.engine, attempt: a.number}
	case class.MayHoldState, t.mayHoldOwnPrefill(a, class):
		t.releaseOrOwe(record, ReleaseState{ID: id, Engine: a.engine, Attempt: a.number, AttemptCutAt: now})
	case a.fetches(record.state) && stateIsGone(class):
		// The decode engine found no state, but the prefill engine may still hold it.
		if t.config.ReleaseFreesAllStates && class.Status == scheduler.Rejected {
			t.releaseHeldState(id, record)
		}
		record.state.clear()
	}
}

// mayHoldOwnPrefill reports whether an engine may keep the state of a prefill that it computed itself in a decode attempt.
func (t *Table) mayHoldOwnPrefill(a *attempt, class outcome.Classification) bool {
	return t.config.ReleaseFreesAllStates && !a.fetchesState && class.MayHaveRun && class.Status != scheduler.Completed
}

// stateIsGone reports whether the end of an attempt that was to fetch a state shows that the state is no longer held.
func stateIsGone(class outcome.Classification) bool {
	if class.Status == scheduler.Rejected {
		return class.Info == outcome.InfoStateMissing
	}
	return class.Status == scheduler.Completed && !class.PassThrough
}

// release carries out the scheduler's Release. It does nothing if an attempt in flight is to fetch the state.
func (t *Table) release(id string) {
	record := t.records[id]
	if record == nil || !record.state.isHeld() {
		return
	}
	for i := range record.attempts {
		if a := &record.attempts[i]; a.isInFlight() && a.fetchesState {
			return
		}
	}
	t.releaseHeldState(id, record)
	record.state.clear()
	t.issueOwedReleases(record)
	t.forgetIfDone(id, record)
}

// releaseHeldState releases the state that the record holds; the caller clears it from the record.
func (t *Table) releaseHeldState(id string, record *requestRecord) {
	t.releaseOrOwe(record, ReleaseState{ID: id, Engine: record.state.engine, Attempt: record.state.attempt})
}

// releaseOrOwe issues a release at once. Where one release call frees every state of the request, it is owed until no
// attempt is in flight and no state is needed.
func (t *Table) releaseOrOwe(record *requestRecord, release ReleaseState) {
	switch {
	case !t.config.ReleaseFreesAllStates:
		release.AttemptCutAt = 0
		t.issue(release)
	case release.AttemptCutAt > 0:
		record.owed.cutAttempt = &release
	default:
		record.owed.heldState = &release
	}
}

// releasePermit returns why a call that releases every state of the request may not be made yet.
func (r *requestRecord) releasePermit() permit.Reason {
	return permit.Release{AttemptsInFlight: r.inFlight, StateNeeded: r.state.isHeld()}.Reason()
}

// issueOwedReleases issues the owed releases once no attempt is in flight and no state is needed. The release of a held
// state comes first: it need not wait for the moment that the release after a cut attempt needs, and the next attempt may
// start before that moment has passed.
func (t *Table) issueOwedReleases(record *requestRecord) {
	if record.releasePermit() != permit.Allowed {
		return
	}
	if record.owed.heldState != nil {
		t.issue(*record.owed.heldState)
	}
	if record.owed.cutAttempt != nil {
		t.issue(*record.owed.cutAttempt)
	}
	record.owed = owedReleases{}
}

// AttemptSilent reports that no byte of a response has come of an attempt while the limit on the held state that it is to
// fetch is near, though its request was written, and whether its engine has responded to any call since. The state is
// released while the attempt is in flight if permit.Release allows it.
func (t *Table) AttemptSilent(id string, number int, engineResponded bool) {
	record := t.records[id]
	if record == nil || !t.config.ReleaseFreesAllStates {
		return
	}
	if a := record.attempt(number); a != nil && record.allowsConcurrentRelease(a, engineResponded) {
		t.issue(ReleaseState{
			ID:         id,
			Engine:     record.state.engine,
			Attempt:    record.state.attempt,
			Concurrent: ConcurrentAttempt{InFlight: true, Number: number},
		})
	}
}

// allowsConcurrentRelease reports whether an attempt still waits for its first token and the state that it is to fetch may
// be released while it is in flight.
func (r *requestRecord) allowsConcurrentRelease(a *attempt, engineResponded bool) bool {
	waits := a.isInFlight() && !a.isStreaming()
	release := permit.Release{
		AttemptsInFlight: r.inFlight,
		StateNeeded:      true,
		LimitNear:        waits && r.state.isHeld() && a.fetches(r.state),
		EngineResponded:  engineResponded,
		Effect:           r.class.Effect,
		SilentTwice:      r.holdTime.latestWasSilent,
		PrefillsInFlight: r.prefillsInFlight(),
	}
	return release.Reason() == permit.Allowed
}

// ReleaseAllowed reports whether a release call may be made again after one that failed. If the call would free a state that
// is needed now, it returns false and the table owes the release: it issues the command again later.
func (t *Table) ReleaseAllowed(release ReleaseState) bool {
	record := t.records[release.ID]
	if record == nil || !t.config.ReleaseFreesAllStates || record.releasePermit() == permit.Allowed {
		return true
	}
	if release.Concurrent.InFlight {
		a := record.attempt(release.Concurrent.Number)
		return a != nil && record.allowsConcurrentRelease(a, false)
	}
	t.releaseOrOwe(record, release)
	return false
}
