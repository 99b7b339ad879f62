// Package permit decides whether an action is allowed now: accepting a request, starting, writing or repeating an attempt,
// rejecting a request, closing an idle connection, releasing a state. It is the only place that decides these. The caller
// describes the circumstances at the last moment at which it can still omit the action, and gets the reason if the action is not
// allowed. The audit (audit.go) checks afterwards what was done, from other facts, so that violations by a code path that does
// not ask for permits are counted as well. The package does no I/O and reads no clock; times are in seconds.
package permit

import "dillroute/scheduler"

// Reason is the reason why an action is not allowed. It appears in logs and as a label of the metric of rule violations; no
// client receives it.
type Reason string

// Reasons. Allowed, the empty reason, means that the action is allowed.
const (
	Allowed            Reason = ""
	RequestEnded       Reason = "the request has ended"
	ClientDisconnected Reason = "its client has disconnected"
	AttemptCanceled    Reason = "the attempt was canceled"
	DeadlinePassed     Reason = "its client's deadline has passed"
	DedupWindowPassed  Reason = "its deduplication window has passed"
	AttemptsExhausted  Reason = "no attempt is left"
	UnknownEngine      Reason = "no list has named this engine"
	EngineDraining     Reason = "the engine drains or is gone"
	RepeatUnsafe       Reason = "its effect could happen twice"
	EffectPossible     Reason = "an attempt may have run"
	OutcomeUnknown     Reason = "an attempt was written completely and its outcome is unknown"
	NodeStopping       Reason = "the node is stopping"
	NodeFull           Reason = "the limit of open requests is reached"
	IDInUse            Reason = "its id is in use"
	AttemptInFlight    Reason = "an attempt is in flight"
	StateNeeded        Reason = "a state is still needed"
	Unanswered         Reason = "a request that was read has no response"
	IdleTooBriefly     Reason = "the connection has been idle too briefly"
	StateNotReleased   Reason = "no engine has acknowledged the release of its state in time"
)

// Accept describes a request that is about to be accepted.
type Accept struct {
	Stopping bool
	IDInUse  bool
	Open     int // requests that are open
	MaxOpen  int
}

// Reason returns why the request must not be accepted, or Allowed.
func (a Accept) Reason() Reason {
	switch {
	case a.Stopping:
		return NodeStopping
	case a.Open >= a.MaxOpen:
		return NodeFull
	case a.IDInUse:
		return IDInUse
	}
	return Allowed
}

// Send describes an attempt that is about to be started.
type Send struct {
	RequestEnded bool // the client has its response, or has disconnected
	AttemptsLeft int
	EngineKnown  bool
	Draining     bool    // the engine is draining or removed
	DrainingFor  float64 // how long that state has been known
	DrainGrace   float64 // how long a draining or removed engine may still receive attempts
	Repeat       Repeat
}

// Reason returns why the attempt must not be started, or Allowed.
func (s Send) Reason() Reason {
	switch {
	case s.RequestEnded:
		return RequestEnded
	case s.AttemptsLeft <= 0:
		return AttemptsExhausted
	case !s.EngineKnown:
		return UnknownEngine
	case s.Draining && s.DrainingFor > s.DrainGrace:
		return EngineDraining
	}
	return s.Repeat.Reason()
}

// Repeat describes a further attempt of a request (rule 2). The rule applies to prefills as well: they have no effect, but
// anything sent after an attempt that may have run counts as a repeat.
type Repeat struct {
	Effect       scheduler.Effect
	DedupScope   scheduler.DedupScope
	MayHaveRun   bool    // an earlier attempt has run or may run yet
	SinceFirst   float64 // time since the first such attempt was sent
	DedupWindow  float64 // how long engines recognize a repeat by its idempotency key
	EnginesKnown bool    // both engines are known: the one that may have run the request and the next
	SameCell     bool
	SameZone     bool
}

// Reason returns why the request must not be sent again, or Allowed.
func (r Repeat) Reason() Reason {
	if r.Effect == scheduler.Idempotent || !r.MayHaveRun {
		return Allowed
	}
	if r.Effect == scheduler.AtMostOnce || r.SinceFirst > r.DedupWindow {
		return RepeatUnsafe
	}
	if !r.withinDedupScope() {
		return RepeatUnsafe
	}
	return Allowed
}

// withinDedupScope reports whether the next engine recognizes the idempotency key of an attempt at the earlier one.
func (r Repeat) withinDedupScope() bool {
	switch r.DedupScope {
	case scheduler.DedupFleet:
		return true
	case scheduler.DedupZone:
		return r.EnginesKnown && r.SameZone
	case scheduler.DedupCell:
		return r.EnginesKnown && r.SameCell
	}
	return r.EnginesKnown
}

// Write describes an attempt that has a connection and is about to write its first byte.
type Write struct {
	ClientDisconnected bool
	AttemptCanceled    bool
	ClientTimeLeft     float64 // until the client's deadline
	HasDedupWindow     bool    // DedupWindowLeft is valid
	DedupWindowLeft    float64 // how long engines still recognize the attempt as a repeat
}

// Reason returns why the attempt must not be written, or Allowed.
func (w Write) Reason() Reason {
	switch {
	case w.AttemptCanceled:
		return AttemptCanceled
	case w.ClientDisconnected:
		return ClientDisconnected
	case w.ClientTimeLeft <= 0:
		return DeadlinePassed
	case w.HasDedupWindow && w.DedupWindowLeft <= 0:
		return DedupWindowPassed
	}
	return Allowed
}

// Reject describes a rejection that promises the client that a retry is safe (rule 2).
type Reject struct {
	Effect         scheduler.Effect
	DedupScope     scheduler.DedupScope
	ProvenNotRun   bool    // the bytes of every attempt prove that it has not run
	OutcomeUnknown bool    // one attempt was written completely and ended without a response
	ClientTimeLeft float64 // until the client's deadline
}

// minRetryTime is the time that a client needs for a retry (s). With less time left, the promise of a safe retry is of no use to
// the client. If an attempt was written and got no response, a failure is then the better response.
const minRetryTime = 0.1

// Reason returns why the promise must not be made, or Allowed.
func (r Reject) Reason() Reason {
	keyedInFleet := r.Effect == scheduler.IdempotentByKey && r.DedupScope == scheduler.DedupFleet
	switch {
	case r.Effect == scheduler.Idempotent:
		return Allowed
	case !r.ProvenNotRun && !keyedInFleet:
		return EffectPossible
	case r.OutcomeUnknown && r.ClientTimeLeft < minRetryTime:
		return OutcomeUnknown
	}
	return Allowed
}

// CloseIdle describes an idle client connection that is about to be closed. A connection on which a request has begun to arrive
// is not idle; http1.Server decides that under a lock.
type CloseIdle struct {
	Evicts  bool    // closed in favor of another client; otherwise its idle timeout has passed, or the node is stopping
	IdleFor float64 // since its last response, or since it was opened
	MinIdle float64 // idle time after which it is unlikely that a request is already on its way
}

// Reason returns why the connection must not be closed, or Allowed.
func (c CloseIdle) Reason() Reason {
	if c.Evicts && c.IdleFor <= c.MinIdle {
		return IdleTooBriefly
	}
	return Allowed
}

// Release describes a call that releases a state that no attempt will fetch. The call releases every state that any engine holds
// for the request.
type Release struct {
	AttemptsInFlight int
	StateNeeded      bool
	// Due means that the time for which the state may be held is nearly over (staterelease.DueAt). The call is then made unless a
	// response has begun (Responding), because only a response proves that an attempt has reached its engine. If an attempt
	// without a response has reached its engine, the call costs it a prefill. If it has not, the state must be released, because
	// such an attempt does not stop the limit.
	Due        bool
	Responding bool
}

// Reason returns why the call must not be made yet, or Allowed.
func (r Release) Reason() Reason {
	switch {
	case r.Due && !r.Responding:
		return Allowed
	case r.AttemptsInFlight > 0:
		return AttemptInFlight
	case r.StateNeeded:
		return StateNeeded
	}
	return Allowed
}
