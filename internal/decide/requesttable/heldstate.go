package requesttable

import (
	"slices"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/decide/staterelease"
	"dillroute/scheduler"
)

// This file enforces the limit on the time for which engines hold a state (rule 5). While a state is held, or a release is deferred, a
// check is pending. The check releases the states that are due and relies neither on the scheduler nor on an attempt for that. If several
// parts could make such a release and each relied on another, the release would never be made.
//
// A prefill in flight does not start the limit: a release call would discard the state that the engine is still computing. Its response may
// be lost while its engine holds the state, but by rule 5 the attempt is in flight until it ends.

// mayHoldState reports whether an engine holds a state of the request, or may hold one whose release is deferred. The deferred release for
// an interrupted prefill does not count once an engine has acknowledged a call. That prefill may still leave a state, but a release call
// would end another prefill in flight, which costs more than the state.
func (r *requestRecord) mayHoldState() bool {
	interrupted := r.deferred.interruptedAttempt
	return r.state.isHeld() || r.deferred.heldState != nil || interrupted != nil && !interrupted.Acknowledged
}

// dueAt returns when the states that engines hold must be released (s), if the limit began to run at limitStart.
func (t *Table) dueAt(record *requestRecord, limitStart float64) float64 {
	attemptAt := record.hold.lastSendAt
	if record.inFlight == 0 {
		attemptAt = 0
	}
	return staterelease.DueAt(limitStart, t.config.StateReleaseLimit, attemptAt)
}

// scheduleStateCheck starts or ends the hold time, and ensures that a check is pending while a state may be held. It is called after every
// change of the held states and deferred releases.
func (t *Table) scheduleStateCheck(now float64, id string, record *requestRecord) {
	if t.config.StateReleaseLimit <= 0 || t.records[id] != record {
		return
	}
	at := t.nextCheck(now, record)
	if at == 0 || record.hold.checkAt > 0 && record.hold.checkAt <= at {
		return // the pending check is made before this time and schedules the next one
	}
	record.hold.checkAt = at
	t.issue(CheckHeldState{ID: id, At: at})
}

// nextCheck returns when the next check is due (0 = none is), and starts or ends the hold time.
func (t *Table) nextCheck(now float64, record *requestRecord) float64 {
	if !record.mayHoldState() {
		record.hold.heldSince = 0
		return record.hold.repeatAt
	}
	if record.hold.heldSince == 0 {
		record.hold.heldSince = now
	}
	at := max(t.dueAt(record, record.hold.limitStart()), now+staterelease.CancelGrace)
	if record.hold.repeatAt > 0 {
		at = min(at, record.hold.repeatAt)
	}
	return at
}

// Deliveries is the set of attempts in flight, by number, whose requests have left this machine.
type Deliveries map[int]bool

// HeldStateDue reports that the time of a CheckHeldState has been reached. It enforces the limit on states that are due, and repeats a
// release that was made during decode attempts.
func (t *Table) HeldStateDue(now float64, check CheckHeldState, delivered Deliveries) {
	record := t.records[check.ID]
	if record == nil {
		return
	}
	if check.At == record.hold.checkAt {
		record.hold.checkAt = 0
	}
	if record.mayHoldState() && now >= t.dueAt(record, record.hold.limitStart()) {
		t.enforceLimit(now, check.ID, record, delivered)
	}
	if repeatAt := record.hold.repeatAt; repeatAt > 0 && now >= repeatAt {
		t.repeatRelease(now, record)
	}
	t.scheduleStateCheck(now, check.ID, record)
}

// enforceLimit takes the action that staterelease.ActionAtLimit returns for held states that are due.
func (t *Table) enforceLimit(now float64, id string, record *requestRecord, delivered Deliveries) {
	switch staterelease.ActionAtLimit(record.progress(delivered), record.state.isHeld()) {
	case staterelease.Wait:
		record.hold.heldSince = now
	case staterelease.Cancel:
		t.cancelOthers(id, record, nil, outcome.CanceledByScheduler)
	case staterelease.Release:
		t.releaseAtLimit(id, record)
	}
}

// progress returns the progress of the attempt in flight that has progressed furthest.
func (r *requestRecord) progress(delivered Deliveries) staterelease.Progress {
	furthest := staterelease.NoneInFlight
	for i := range r.attempts {
		a := &r.attempts[i]
		switch {
		case !a.isInFlight():
		case a.isStreaming():
			furthest = staterelease.Responding
		case delivered[a.number] || a.isCanceling():
			furthest = max(furthest, staterelease.Silent)
		default:
			furthest = max(furthest, staterelease.NotDelivered)
		}
	}
	return furthest
}

// releaseAtLimit releases all states that engines hold. The scheduler is notified, because a released state can no longer be fetched.
func (t *Table) releaseAtLimit(id string, record *requestRecord) {
	limitStart := record.hold.limitStart()
	deferred := record.deferred
	record.deferred = deferredReleases{}
	if record.state.isHeld() {
		t.issueAtLimit(record, ReleaseState{ID: id, Engine: record.state.engine, Attempt: record.state.attempt, HeldSince: limitStart})
		record.state.clear()
		t.emit(scheduler.StateReleased{ID: id})
		return // the call also frees the states of the deferred releases
	}
	for _, release := range []*ReleaseState{deferred.heldState, deferred.interruptedAttempt} {
		if release != nil {
			t.issueAtLimit(record, *release)
			return
		}
	}
}

// issueAtLimit issues a release at its limit, and records it if a decode attempt in flight may be waiting for the state.
func (t *Table) issueAtLimit(record *requestRecord, release ReleaseState) {
	release.AtLimit = true
	release.LastUnanswered = record.lastUnanswered
	record.hold.repeatAt = 0
	if record.decodeInFlight() {
		release.LastUnanswered = UnansweredAttempt{} // the follow-up calls come after the end of the decode attempt instead
		record.releaseDuringDecode = &release
	}
	t.issue(release)
}

// ReleaseAcknowledged reports that an engine has acknowledged a release call. If an attempt in flight is waiting for the state, the call
// freed nothing. The engine may lose that attempt at any moment without reporting it, so the release is repeated until the attempt gets a
// response or ends.
func (t *Table) ReleaseAcknowledged(now float64, release ReleaseState) {
	record := t.records[release.ID]
	if record == nil || record.releaseDuringDecode == nil || !release.AtLimit {
		return
	}
	record.hold.repeatAt = now + staterelease.RepeatInterval(t.config.StateReleaseLimit)
	t.scheduleStateCheck(now, release.ID, record)
}

// repeatRelease repeats the release that was made during decode attempts. It postpones the repeat if another state is held or a prefill is
// in flight, because the release of that state at its limit covers both states.
func (t *Table) repeatRelease(now float64, record *requestRecord) {
	if record.state.isHeld() || record.prefillInFlight() {
		record.hold.repeatAt = now + staterelease.RepeatInterval(t.config.StateReleaseLimit)
		return
	}
	record.hold.repeatAt = 0
	release := *record.releaseDuringDecode
	release.Repeated = true
	t.issue(release)
}

// isDue reports whether a release can no longer be deferred.
func (t *Table) isDue(now float64, record *requestRecord, release ReleaseState) bool {
	if release.Acknowledged || t.config.StateReleaseLimit <= 0 {
		return false
	}
	return now >= t.dueAt(record, max(release.HeldSince, record.hold.lastResponseAt))
}

// attemptsWaitFor reports whether the host delays every attempt in flight until the call of this release has been made. An attempt that
// started before the latest unanswered attempt ended does not wait.
func (r *requestRecord) attemptsWaitFor(now float64, release ReleaseState) bool {
	attemptEnd := staterelease.AttemptEnd{At: release.LastUnanswered.At}
	if r.state.isHeld() || !attemptEnd.AttemptsMustWait(now) {
		return false
	}
	startedBefore := func(a attempt) bool { return a.isInFlight() && a.sentAt < attemptEnd.At }
	return !slices.ContainsFunc(r.attempts, startedBefore)
}

// ReleaseAllowed reports whether a release call may be made now, some time after its command was issued. It returns false if the release
// is not due and the call would free a state that is needed now. The table then defers the release and issues the command again later.
func (t *Table) ReleaseAllowed(now float64, release ReleaseState) bool {
	record := t.records[release.ID]
	if record == nil || !t.config.ReleaseFreesAllStates || record.attemptsWaitFor(now, release) {
		return true
	}
	check := permit.Release{
		AttemptsInFlight: record.inFlight,
		StateNeeded:      record.state.isHeld(),
		Due:              t.isDue(now, record, release),
		Responding:       record.streamingAttempt() != nil,
	}
	if check.Reason() == permit.Allowed {
		return true
	}
	if !release.Acknowledged && (record.hold.heldSince == 0 || release.HeldSince < record.hold.heldSince) {
		record.hold.heldSince = release.HeldSince
	}
	release.AtLimit = false
	t.releaseOrDefer(record, release)
	t.scheduleStateCheck(now, release.ID, record)
	return false
}
