// Package permit is the one place that decides whether something may be sent, repeated, refused, taken, closed or released now. Whoever is about
// to do one of these states what is so, at the last moment at which it can be left undone, and is told why not. The audit (audit.go)
// judges by the rules what was done, from other facts than those that were asked about, so that a path which forgets to ask is counted.
// The package does no I/O and reads no clock; times are in seconds.
package permit

import "dillroute/scheduler"

// Reason says why something may not be done.
type Reason string

// Reasons. Allowed is none.
const (
	Allowed            Reason = ""
	RequestEnded       Reason = "the request has ended"
	ClientDisconnected Reason = "its client has gone"
	AttemptCanceled    Reason = "the attempt was called off"
	DeadlinePassed     Reason = "its client's time is over"
	DedupWindowPassed  Reason = "the window of its repeats is over"
	AttemptsExhausted  Reason = "no attempt is left"
	UnknownEngine      Reason = "no list has named this engine"
	EngineDraining     Reason = "the engine drains or is gone"
	RepeatUnsafe       Reason = "its effect could happen twice"
	EffectPossible     Reason = "an attempt may have run"
	OutcomeUnknown     Reason = "an attempt was sent whole and not heard of"
	NodeStopping       Reason = "the node is stopping"
	NodeFull           Reason = "as many requests are open as may be"
	IDInUse            Reason = "its id is in use"
	AttemptInFlight    Reason = "an attempt is out"
	StateNeeded        Reason = "a state is still wanted"
	Unanswered         Reason = "a request that was read has no answer"
	IdleTooBriefly     Reason = "a request may be on its way on it"
	StateNotReleased   Reason = "no engine has answered in time a call that releases its state"
)

// Accept is a request that may be taken.
type Accept struct {
	Stopping bool
	IDInUse  bool
	Open     int // requests that are open
	MaxOpen  int
}

// Reason says why the request may not be taken.
func (t Accept) Reason() Reason {
	switch {
	case t.Stopping:
		return NodeStopping
	case t.Open >= t.MaxOpen:
		return NodeFull
	case t.IDInUse:
		return IDInUse
	}
	return Allowed
}

// Send is an attempt that may be begun.
type Send struct {
	RequestEnded bool // the client has its answer, or has gone
	AttemptsLeft int
	EngineKnown  bool
	Draining     bool    // the engine drains or is gone
	DrainingFor  float64 // since when this is known
	DrainGrace   float64 // for which such an engine may still be sent to
	Repeat       Repeat
}

// Reason says why the attempt may not be begun.
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

// Repeat is a further attempt of a request (rule 2). It holds for prefills as well, for though they have no effect, whatever is sent
// after an attempt that may have run counts as sent again.
type Repeat struct {
	Effect       scheduler.Effect
	DedupScope   scheduler.DedupScope
	MayHaveRun   bool    // an earlier attempt may have run, or may yet
	SinceFirst   float64 // when that was sent
	DedupWindow  float64 // in which engines know a repeat of a keyed request
	EnginesKnown bool    // both engines are known, the one that may have run it and the next
	SameCell     bool
	SameZone     bool
}

// Reason says why the request may not be sent again.
func (r Repeat) Reason() Reason {
	switch {
	case r.Effect == scheduler.Idempotent || !r.MayHaveRun:
		return Allowed
	case r.Effect == scheduler.AtMostOnce || r.SinceFirst > r.DedupWindow:
		return RepeatUnsafe
	case r.DedupScope == scheduler.DedupFleet:
		return Allowed
	case !r.EnginesKnown || r.DedupScope == scheduler.DedupZone && !r.SameZone || r.DedupScope == scheduler.DedupCell && !r.SameCell:
		return RepeatUnsafe
	}
	return Allowed
}

// Write is an attempt that has a connection; its first byte is about to be written.
type Write struct {
	ClientDisconnected bool
	AttemptCanceled    bool
	ClientTimeLeft     float64 // of its client
	HasDedupWindow     bool    // WindowLeft counts
	DedupWindowLeft    float64 // in which engines know it as a repeat
}

// Reason says why the attempt may not be written.
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

// Reject is the promise to a client that a retry is harmless (rule 2).
type Reject struct {
	Effect         scheduler.Effect
	DedupScope     scheduler.DedupScope
	ProvenNotRun   bool    // the bytes of every attempt prove that it has not run
	OutcomeUnknown bool    // one was written whole and ended without an answer
	ClientTimeLeft float64 // of the client
}

// lastMoment is the time in which no client can come again: a refusal that rests on an engine which was not heard of is of no use then,
// and a class that must not run twice is better served by a failure.
const lastMoment = 0.1

// Reason says why the promise may not be made.
func (r Reject) Reason() Reason {
	switch {
	case r.Effect == scheduler.Idempotent:
		return Allowed
	case !r.ProvenNotRun && !(r.Effect == scheduler.IdempotentByKey && r.DedupScope == scheduler.DedupFleet):
		return EffectPossible
	case r.OutcomeUnknown && r.ClientTimeLeft < lastMoment:
		return OutcomeUnknown
	}
	return Allowed
}

// CloseIdle is a client's connection that rests between requests and may be ended. One on which a request has begun to come is not ended: who
// reads it decides that, under a lock (http1.Server).
type CloseIdle struct {
	Evicts  bool    // another client needs its place; else its time is over, or the node is stopping
	IdleFor float64 // since its last answer, or its opening
	MinIdle float64 // after which a request is hardly on its way any more
}

// Reason says why the connection may not be ended.
func (c CloseIdle) Reason() Reason {
	if c.Evicts && c.IdleFor <= c.MinIdle {
		return IdleTooBriefly
	}
	return Allowed
}

// Release is a call that releases all that any engine holds for a request and that no attempt waits for.
type Release struct {
	AttemptsInFlight int
	StateNeeded      bool
	// LimitNear tells that the state's time is nearly over and that the attempt which is to take it has not been heard of. Whether its request
	// has reached its engine is not known then. If it has, the call costs a read at that engine; if not, the state must go, for
	// such an attempt does not stop its time.
	LimitNear        bool
	EngineResponded  bool             // its engine was heard of since the attempt began (lease.Heard): it runs, and the request has likely reached it
	Effect           scheduler.Effect // of the class: what may be repeated anywhere is called off by the module when it is silent,
	SilentTwice      bool             // and but for an attempt that was to take the state before, and ended in silence too, in time
	PrefillsInFlight int              // of the attempts, those that read a prompt: the call could take what one brings just then
}

// Reason says why the call may not be made yet.
func (r Release) Reason() Reason {
	switch {
	case r.LimitNear && !r.EngineResponded && r.PrefillsInFlight == 0 && (r.Effect != scheduler.Idempotent || r.SilentTwice):
		return Allowed
	case r.AttemptsInFlight > 0:
		return AttemptInFlight
	case r.StateNeeded:
		return StateNeeded
	}
	return Allowed
}
