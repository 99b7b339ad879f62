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
	Allowed       Reason = ""
	Ended         Reason = "the request has ended"
	ClientGone    Reason = "its client has gone"
	CalledOff     Reason = "the attempt was called off"
	TimeOver      Reason = "its client's time is over"
	WindowOver    Reason = "the window of its repeats is over"
	NoAttemptLeft Reason = "no attempt is left"
	UnknownEngine Reason = "no list has named this engine"
	EngineLeaving Reason = "the engine drains or is gone"
	MayRunTwice   Reason = "its effect could happen twice"
	Unproven      Reason = "an attempt may have run"
	NotHeardOf    Reason = "an attempt was sent whole and not heard of"
	Stopping      Reason = "the node is stopping"
	Full          Reason = "as many requests are open as may be"
	IDInUse       Reason = "its id is in use"
	AttemptOut    Reason = "an attempt is out"
	StateWanted   Reason = "a state is still wanted"
	Unanswered    Reason = "a request that was read has no answer"
	RestsBriefly  Reason = "a request may be on its way on it"
	NotReleased   Reason = "no engine has answered in time a call that releases its state"
)

// Take is a request that may be taken.
type Take struct {
	Stopping bool
	IDInUse  bool
	Open     int // requests that are open
	MaxOpen  int
}

// Reason says why the request may not be taken.
func (t Take) Reason() Reason {
	switch {
	case t.Stopping:
		return Stopping
	case t.Open >= t.MaxOpen:
		return Full
	case t.IDInUse:
		return IDInUse
	}
	return Allowed
}

// Send is an attempt that may be begun.
type Send struct {
	Ended        bool // the client has its answer, or has gone
	AttemptsLeft int
	EngineKnown  bool
	Leaving      bool    // the engine drains or is gone
	LeavingFor   float64 // since when this is known
	Grace        float64 // for which such an engine may still be sent to
	Repeat       Repeat
}

// Reason says why the attempt may not be begun.
func (s Send) Reason() Reason {
	switch {
	case s.Ended:
		return Ended
	case s.AttemptsLeft <= 0:
		return NoAttemptLeft
	case !s.EngineKnown:
		return UnknownEngine
	case s.Leaving && s.LeavingFor > s.Grace:
		return EngineLeaving
	}
	return s.Repeat.Reason()
}

// Repeat is a further attempt of a request (rule 2). It holds for prefills as well, for though they have no effect, whatever is sent
// after an attempt that may have run counts as sent again.
type Repeat struct {
	Effect   scheduler.Effect
	Group    scheduler.DedupScope
	MayRun   bool    // an earlier attempt may have run, or may yet
	Since    float64 // when that was sent
	Window   float64 // in which engines know a repeat of a keyed request
	BothSeen bool    // both engines are known, the one that may have run it and the next
	SameCell bool
	SameZone bool
}

// Reason says why the request may not be sent again.
func (r Repeat) Reason() Reason {
	switch {
	case r.Effect == scheduler.Idempotent || !r.MayRun:
		return Allowed
	case r.Effect == scheduler.AtMostOnce || r.Since > r.Window:
		return MayRunTwice
	case r.Group == scheduler.DedupFleet:
		return Allowed
	case !r.BothSeen || r.Group == scheduler.DedupZone && !r.SameZone || r.Group == scheduler.DedupCell && !r.SameCell:
		return MayRunTwice
	}
	return Allowed
}

// Write is an attempt that has a connection; its first byte is about to be written.
type Write struct {
	ClientGone bool
	CalledOff  bool
	TimeLeft   float64 // of its client
	Keyed      bool    // WindowLeft counts
	WindowLeft float64 // in which engines know it as a repeat
}

// Reason says why the attempt may not be written.
func (w Write) Reason() Reason {
	switch {
	case w.CalledOff:
		return CalledOff
	case w.ClientGone:
		return ClientGone
	case w.TimeLeft <= 0:
		return TimeOver
	case w.Keyed && w.WindowLeft <= 0:
		return WindowOver
	}
	return Allowed
}

// Refuse is the promise to a client that a retry is harmless (rule 2).
type Refuse struct {
	Effect   scheduler.Effect
	Group    scheduler.DedupScope
	Proven   bool    // the bytes of every attempt prove that it has not run
	Unheard  bool    // one was written whole and ended without an answer
	TimeLeft float64 // of the client
}

// lastMoment is the time in which no client can come again: a refusal that rests on an engine which was not heard of is of no use then,
// and a class that must not run twice is better served by a failure.
const lastMoment = 0.1

// Reason says why the promise may not be made.
func (r Refuse) Reason() Reason {
	switch {
	case r.Effect == scheduler.Idempotent:
		return Allowed
	case !r.Proven && !(r.Effect == scheduler.IdempotentByKey && r.Group == scheduler.DedupFleet):
		return Unproven
	case r.Unheard && r.TimeLeft < lastMoment:
		return NotHeardOf
	}
	return Allowed
}

// Close is a client's connection that rests between requests and may be ended. One on which a request has begun to come is not ended: who
// reads it decides that, under a lock (http1.Server).
type Close struct {
	MakesRoom bool    // another client needs its place; else its time is over, or the node is stopping
	RestedFor float64 // since its last answer, or its opening
	LeastRest float64 // after which a request is hardly on its way any more
}

// Reason says why the connection may not be ended.
func (c Close) Reason() Reason {
	if c.MakesRoom && c.RestedFor <= c.LeastRest {
		return RestsBriefly
	}
	return Allowed
}

// Release is a call that releases all that any engine holds for a request and that no attempt waits for.
type Release struct {
	AttemptsOut int
	StateWanted bool
	// Due tells that the state's time is nearly over and that the attempt which is to take it has not been heard of. Whether its request
	// has reached its engine is not known then. If it has, the call costs a read at that engine; if not, the state must go, for
	// such an attempt does not stop its time.
	Due         bool
	EngineHeard bool             // its engine was heard of since the attempt began (lease.Heard): it runs, and the request has likely reached it
	Effect      scheduler.Effect // of the class: what may be repeated anywhere is called off by the module when it is silent,
	SilentTwice bool             // and but for an attempt that was to take the state before, and ended in silence too, in time
	ReadsOut    int              // of the attempts, those that read a prompt: the call could take what one brings just then
}

// Reason says why the call may not be made yet.
func (r Release) Reason() Reason {
	switch {
	case r.Due && !r.EngineHeard && r.ReadsOut == 0 && (r.Effect != scheduler.Idempotent || r.SilentTwice):
		return Allowed
	case r.AttemptsOut > 0:
		return AttemptOut
	case r.StateWanted:
		return StateWanted
	}
	return Allowed
}
