package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// recordState updates the held state after the end of an attempt and releases states that no attempt will fetch.
func (t *Table) recordState(now float64, id string, record *requestRecord, a *attempt, class outcome.Classification) {
	switch {
	case class.Status == scheduler.Prefilled:
		if record.state.isHeld() { // a second prefill: only one of the two states will be fetched
			t.releaseHeldState(id, record)
		}
		record.state = heldState{engine: a.engine, attempt: a.number}
	case class.MayHoldState, t.mayHoldOwnPrefill(a, class):
		t.releaseOrDefer(record, ReleaseState{
			ID:             id,
			Engine:         a.engine,
			Attempt:        a.number,
			InterruptedAt:  now,
			LastUnanswered: UnansweredAttempt{Engine: a.engine, At: now},
		})
	case record.state.isHeld() && a.fetches(record.state) && stateIsGone(class):
		// If the decode engine found no state, it may have lost it itself, so the prefill engine may still hold the state.
		if class.Status == scheduler.Rejected {
			t.releaseHeldState(id, record)
		}
		record.state.clear()
	}
}

// mayHoldOwnPrefill reports whether an engine may still hold the state of a prefill that it computed itself in a decode attempt.
func (t *Table) mayHoldOwnPrefill(a *attempt, class outcome.Classification) bool {
	return t.config.ReleaseFreesAllStates && !a.fetchesState && class.MayHaveRun && class.Status != scheduler.Completed
}

// stateIsGone reports whether the end of an attempt that was started to fetch a state shows that no other attempt can fetch it: either the
// attempt completed, or its engine found no state.
func stateIsGone(class outcome.Classification) bool {
	if class.Status == scheduler.Rejected {
		return class.Info == outcome.InfoStateMissing
	}
	return class.Status == scheduler.Completed && !class.PassThrough
}

// release carries out the scheduler's Release. It does nothing if an attempt in flight was started to fetch the state.
func (t *Table) release(now float64, id string) {
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
	t.issueDeferredReleases(record)
	t.forgetIfDone(id, record)
	t.scheduleStateCheck(now, id, record)
}

// releaseHeldState releases the state that the record holds; the caller clears it from the record.
func (t *Table) releaseHeldState(id string, record *requestRecord) {
	t.releaseOrDefer(record, ReleaseState{ID: id, Engine: record.state.engine, Attempt: record.state.attempt})
}

// releaseOrDefer issues a release immediately. If one release call frees every state of the request, it defers the release until
// no attempt is in flight and no state is needed.
func (t *Table) releaseOrDefer(record *requestRecord, release ReleaseState) {
	if release.HeldSince == 0 {
		release.HeldSince = max(record.hold.limitStart(), release.InterruptedAt)
	}
	if release.LastUnanswered.At < record.lastUnanswered.At {
		release.LastUnanswered = record.lastUnanswered
	}
	switch {
	case !t.config.ReleaseFreesAllStates:
		t.issue(release)
	case release.InterruptedAt > 0 || release.Acknowledged:
		if earlier := record.deferred.interruptedAttempt; earlier != nil && !earlier.Acknowledged {
			release.Acknowledged = false
		}
		record.deferred.interruptedAttempt = &release
	default:
		record.deferred.heldState = &release
	}
}

// repeatReleaseAfterDecode repeats a release that was made while a decode attempt was in flight, now that the attempt has ended. As long
// as the attempt waited for the state at its engine, a call freed nothing, even if it was acknowledged.
func (t *Table) repeatReleaseAfterDecode(now float64, record *requestRecord, ended *attempt) {
	if record.releaseDuringDecode == nil || ended.stage != outcome.Decode {
		return
	}
	release := *record.releaseDuringDecode
	release.HeldSince = now
	release.AtLimit = false
	release.Repeated = true
	if !record.decodeInFlight() {
		record.clearReleaseDuringDecode()
	}
	t.releaseOrDefer(record, release)
}

// releasePermit returns why a call that releases every state of the request must not be made yet, or permit.Allowed.
func (r *requestRecord) releasePermit() permit.Reason {
	return permit.Release{AttemptsInFlight: r.inFlight, StateNeeded: r.state.isHeld()}.Reason()
}

// issueDeferredReleases issues the deferred releases once no attempt is in flight and no state is needed. The release of a
// held state is issued first because it needs no delay. The release for an interrupted attempt needs one, and the next attempt
// may start before that delay has passed.
func (t *Table) issueDeferredReleases(record *requestRecord) {
	if record.releasePermit() != permit.Allowed {
		return
	}
	for _, release := range []*ReleaseState{record.deferred.heldState, record.deferred.interruptedAttempt} {
		if release != nil {
			release.HeldSince = max(release.HeldSince, record.hold.lastResponseAt)
			t.issue(*release)
		}
	}
	record.deferred = deferredReleases{}
}
