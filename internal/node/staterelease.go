package node

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dillroute/internal/decide/permit"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/decide/staterelease"
)

// stateRelease is the release of one state, from its command until no further call is useful. It is owned by the event loop.
type stateRelease struct {
	command  requesttable.ReleaseState
	schedule staterelease.RetrySchedule
	dueBy    float64 // the state must be released before this (s)
	reason   string  // value of the metric label reason
	audited  bool    // auditRelease has its result: a call was acknowledged, or a violation was reported
	pending  bool    // counted in hostState.pendingReleases, for which a shutdown waits

	unblockAttempts func() // called when the calls that must precede the next attempt have ended
}

// releaseState releases a state by calls to the engine that may hold it or, where every engine can release any state, to engines that
// respond. The first call starts immediately, in the order of the table's commands. It does not wait for an attempt that starts in the
// same scheduler step: that attempt may take long to connect, and the state would be held for all that time. Each later call is made
// only if the table allows it.
func (n *Node) releaseState(now float64, command requesttable.ReleaseState) {
	release := &stateRelease{
		command: command,
		reason:  releaseReason(command),
		dueBy:   command.HeldSince + n.config.table.StateReleaseLimit,
		schedule: staterelease.RetrySchedule{
			Deadline:  now + n.config.table.StateReleaseLimit,
			AnyEngine: n.config.anyEngineReleases,
			Allowed:   n.config.table.StateReleaseLimit,
			End:       staterelease.AttemptEnd{At: command.LastUnanswered.At},
		},
	}
	if command.Repeated || command.Acknowledged { // as far as can be known, the state was released before; its limit starts again
		release.dueBy = now + n.config.table.StateReleaseLimit
	}
	n.setReleasePending(release, true)
	n.logReleaseStart(now, release)
	done := make(chan struct{})
	release.unblockAttempts = sync.OnceFunc(func() { close(done) })
	if request := n.owned.requests[command.ID]; request != nil {
		request.release = releaseWait{done: done, maxWait: seconds(release.schedule.End.MaxAttemptDelay(now))}
	}
	n.startReleaseRound(now, release)
}

// releaseWait is the release for which the next attempt of a request waits. A release call made after the start of the attempt would also
// release the state that the attempt brings to an engine.
type releaseWait struct {
	done    <-chan struct{} // closed when the calls that must precede the attempt have ended; nil = there are none
	maxWait time.Duration
}

// await waits for the release calls, for maxWait at most.
func (w releaseWait) await() {
	if w.done == nil {
		return
	}
	select {
	case <-w.done:
	case <-time.After(w.maxWait):
	}
}

// releaseReason returns the value of the metric label reason for a release.
func releaseReason(command requesttable.ReleaseState) string {
	switch {
	case command.Repeated:
		return releaseRepeated
	case command.AtLimit:
		return releaseAtLimit
	case command.InterruptedAt > 0:
		return releaseAfterCut
	}
	return releaseUnneeded
}

// logReleaseStart counts and logs the start of a release.
func (n *Node) logReleaseStart(now float64, release *stateRelease) {
	n.metrics.countStateRelease(release.reason)
	command := release.command
	attempts := 0
	if request := n.owned.requests[command.ID]; request != nil {
		attempts = len(request.attempts)
		request.releasedAtLimit = request.releasedAtLimit || command.AtLimit
	}
	text := "state release started"
	if command.AtLimit {
		text = "state released at its limit"
	}
	n.log.Log(context.Background(), release.logLevel(), text, "request", command.ID, "attempt", command.Attempt, "engine", command.Engine,
		"reason", release.reason, "held_s", now-command.HeldSince, "attempts_in_flight", attempts)
}

// logLevel returns the level of the log lines about a release. Operators see the release at the limit, and the one that follows when the
// attempt in flight has ended. The repeated releases in between, while that attempt is silent, are many and are logged at debug level.
func (r *stateRelease) logLevel() slog.Level {
	if r.command.AtLimit != r.command.Repeated {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}

// checkHeldState has the request table check a state that may be due for its release. It passes on which attempts in flight have been
// delivered to their engines, as far as can be seen (protocol.Attempt).
func (n *Node) checkHeldState(now float64, check requesttable.CheckHeldState) {
	delivered := requesttable.Deliveries{}
	if request := n.owned.requests[check.ID]; request != nil {
		for number, attempt := range request.attempts {
			delivered[number] = attempt.Delivered()
		}
	}
	n.table().HeldStateDue(now, check, delivered)
}

// setReleasePending sets whether a shutdown waits for a release.
func (n *Node) setReleasePending(release *stateRelease, pending bool) {
	if pending == release.pending {
		return
	}
	release.pending = pending
	if pending {
		n.owned.pendingReleases++
	} else {
		n.owned.pendingReleases--
	}
}

// retryRelease makes a later call of a release, unless the call would release a state that is needed now.
func (n *Node) retryRelease(now float64, release *stateRelease) {
	if !n.table().ReleaseAllowed(now, release.command) {
		n.setReleasePending(release, false)
		release.unblockAttempts()
		return
	}
	n.startReleaseRound(now, release)
}

// releaseRound is a set of simultaneous release calls. It ends when the first one is acknowledged or all have failed. It is owned by the
// event loop, except unblock, which any goroutine may call.
type releaseRound struct {
	startedAt float64 // (s)
	pending   int     // number of calls that have not ended
	ended     bool
	unblock   func() // unblocks the attempts that wait for these calls
}

// startReleaseRound makes the calls of one round on goroutines of their own. The end of the round unblocks the attempts that wait for it,
// unless another round must precede them.
func (n *Node) startReleaseRound(now float64, release *stateRelease) {
	unblock := release.unblockAttempts
	if release.schedule.End.FollowUpCallPending(now) {
		unblock = func() {}
	}
	targets := n.releaseTargets(release)
	round := &releaseRound{startedAt: now, pending: len(targets), unblock: unblock}
	timeout := seconds(release.schedule.CallTimeout(now))
	for _, engine := range targets {
		address := n.endpoint(engine).address
		n.jobs.start(func() {
			err := n.engines.Release(address, release.command.ID, release.command.Attempt, timeout)
			if err == nil {
				round.unblock()
			}
			n.loop.post(func(now float64) { n.releaseCallEnded(now, release, round, engine, err) })
		})
	}
}

// releaseTargets returns the ids of the engines for the next round of calls: the engine that may hold the state or, where every engine can
// release any state, those that are most likely to respond.
func (n *Node) releaseTargets(release *stateRelease) []string {
	holder := release.command.Engine
	if !n.config.anyEngineReleases {
		return []string{holder}
	}
	candidates := make([]staterelease.Engine, 0, len(n.owned.engines))
	for id, endpoint := range n.owned.engines {
		candidates = append(candidates, staterelease.Engine{
			ID:          id,
			Listed:      n.table().EngineReady(id),
			Holder:      id == holder,
			LastSuccess: endpoint.lastSuccess,
			LastFailure: endpoint.lastFailure,
		})
	}
	if len(candidates) == 0 {
		return []string{holder}
	}
	return release.schedule.NextEngines(candidates)
}

// releaseCallEnded records the result of a release call, and the result of its round as soon as that is known.
func (n *Node) releaseCallEnded(now float64, release *stateRelease, round *releaseRound, engine string, err error) {
	result := staterelease.Acknowledged
	if err != nil {
		result = staterelease.Unacknowledged
		n.checkDescriptors(err)
	}
	n.recordReleaseResult(now, engine, round.startedAt, result)
	n.logReleaseCall(release, engine, result, err)
	round.pending--
	if round.ended || result == staterelease.Unacknowledged && round.pending > 0 {
		return
	}
	round.ended = true
	round.unblock()
	n.releaseRoundEnded(now, release, result)
}

// logReleaseCall counts and logs a release call that has ended.
func (n *Node) logReleaseCall(release *stateRelease, engine string, result staterelease.CallResult, err error) {
	n.metrics.countReleaseCall(result.String())
	text := ""
	if err != nil {
		text = err.Error()
	}
	n.log.Log(context.Background(), release.logLevel(), "state release call ended", "request", release.command.ID,
		"attempt", release.command.Attempt, "engine", engine, "round", release.schedule.Attempts, "result", result.String(), "error", text)
}

// releaseRoundEnded records the result of a round and schedules the next round if one is needed.
func (n *Node) releaseRoundEnded(now float64, release *stateRelease, result staterelease.CallResult) {
	n.auditRelease(now, release, result)
	if result == staterelease.Acknowledged {
		n.table().ReleaseAcknowledged(now, release.command)
		release.command.HeldSince = now // a state that is left after this round has been held since now at the earliest
		release.command.Acknowledged = true
	}
	release.schedule.End.EngineServedAt = n.endpoint(release.command.LastUnanswered.Engine).servedAt
	at, again := release.schedule.Next(now, result)
	n.setReleasePending(release, again && !release.schedule.OnlyDelayedCallsLeft())
	if !again {
		release.unblockAttempts()
		return
	}
	n.schedule(at, func(now float64) { n.retryRelease(now, release) })
}

// recordReleaseResult records whether an engine acknowledged a release call that was started at startedAt.
func (n *Node) recordReleaseResult(now float64, engine string, startedAt float64, result staterelease.CallResult) {
	endpoint := n.owned.engines[engine]
	if !n.config.anyEngineReleases || endpoint == nil || endpoint.address == "" {
		return
	}
	if result == staterelease.Acknowledged {
		endpoint.lastSuccess = now
		endpoint.servedAt = max(endpoint.servedAt, startedAt)
	} else {
		endpoint.lastFailure = now
	}
}

// auditRelease reports a state that was not released within the limit, once per release. Rounds after an acknowledged one are not audited:
// they are for a state that a cut attempt may have left meanwhile, and none is known to be held.
func (n *Node) auditRelease(now float64, release *stateRelease, result staterelease.CallResult) {
	if release.audited || n.config.table.StateReleaseLimit <= 0 {
		return
	}
	state := permit.HeldState{
		Acknowledged: result == staterelease.Acknowledged,
		At:           now,
		Deadline:     release.dueBy + permit.HeldStateSlack,
	}
	violations := state.Violations()
	release.audited = state.Acknowledged || len(violations) > 0
	n.audit(release.command.ID, violations)
}
