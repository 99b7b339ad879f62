// Package outcome decides what the end of an attempt proves: which status the routing module is told, whether the
// request may have run, and whether the engine may still hold something for it. It does no I/O; the caller states
// facts as they were on the socket. docs/design/node.md holds the same table.
package outcome

import "dillroute/scheduler"

// Stage is what an attempt asked of its engine.
type Stage int

// Stages: to read a prompt, or to answer (with or without a state to fetch).
const (
	Prefill Stage = iota
	Decode
)

// Progress is how far an attempt had come on its socket when it ended.
type Progress int

// Steps of an attempt, in order. Written means that the connection took every byte of the request; a shorter
// request cannot run, for its stated length was not reached (RFC 9112, section 8).
const (
	Unsent    Progress = iota // nothing was tried yet
	Dialling                  // no connection yet
	Connected                 // a connection, but not every byte of the request was written
	Written                   // the whole request was written
	Headed                    // the status line and header of the answer have come
	Streaming                 // the first token has been passed on
)

// Cause is what ended an attempt.
type Cause int

// Causes of an end.
const (
	Answered   Cause = iota // an answer came, whole
	Broken                  // dial refused, reset, or closed before the answer was whole
	Expired                 // the attempt's time ran out
	Stopped                 // called off by the module
	Overtaken               // the request had ended, or may have no such attempt
	Unreadable              // what came is no answer of the protocol
	Stalled                 // a stream gave nothing for longer than it may
	ClientLeft              // the client has gone
)

// Meaning is what a whole answer says, in the words of no protocol: the engine's client names it.
type Meaning int

// Meanings of a whole answer.
const (
	Error   Meaning = iota // the engine failed at it, or answered what it should not
	Read                   // the prompt has been read, and its state waits there
	Done                   // the answer was made
	Turned                 // full, draining or the like: it has not run
	NoState                // there was no state to fetch: it has not run
	Judged                 // a judgement of the request, before it ran
)

// Facts are what was seen of an attempt.
type Facts struct {
	Stage    Stage
	Progress Progress
	Cause    Cause
	Meaning  Meaning // of the answer, where Cause is Answered
	Code     int     // Judged: what tells one judgement from another
	Kept     int     // prompt tokens that the engine had kept
	// Agreed tells that another engine has judged the same request alike before.
	Agreed bool
	// Last tells that the request can have no further attempt.
	Last bool
}

// Verdict is what they prove.
type Verdict struct {
	Status scheduler.Status
	Info   int
	Ran    bool // an effect is possible
	Holds  bool // the engine may hold a state that nobody will take
	// Final tells that the engine's own answer is to be passed to the client: it has judged the request,
	// not failed at it.
	Final bool
}

// Judge applies the table.
func Judge(f Facts) Verdict {
	v := Verdict{}
	switch f.Cause {
	case Answered:
		v = answered(f)
	default:
		v.Status = unanswered(f)
	}
	if f.Stage == Prefill {
		v.Ran = false // reading has no effect
		v.Holds = f.Progress >= Written && v.Status != scheduler.Prefilled && v.Status != scheduler.Rejected && !v.Final
		return v
	}
	v.Ran = v.Ran || !v.Final && !provesNot(v.Status)
	return v
}

// ProvesNotRun tells whether the bytes of an attempt prove that it has not run at its engine: not all of its request was written, or
// the engine answered that the prompt was read, or that it did not run. Unlike Verdict.Ran it does not take an engine's role for
// proof: that a prefill engine runs nothing says little of an engine that did not answer as one.
func ProvesNotRun(f Facts) bool {
	if f.Cause != Answered {
		return f.Progress < Written
	}
	switch f.Meaning {
	case Read:
		return f.Stage == Prefill
	case Turned, NoState, Judged:
		return true
	}
	return false
}

// Silent tells whether an attempt was written and called off, or its time ran out, before anything came of it: whether its request has
// reached the engine is not known.
func Silent(f Facts) bool {
	return f.Progress == Written && (f.Cause == Stopped || f.Cause == Expired)
}

// provesNot tells whether a status proves that the request never ran.
func provesNot(s scheduler.Status) bool {
	return s == scheduler.Rejected || s == scheduler.ConnectFailed || s == scheduler.NotSent || s == scheduler.Prefilled
}

// unanswered covers the ends without a whole answer.
func unanswered(f Facts) scheduler.Status {
	if f.Progress < Written { // the engine cannot have had the whole request
		if f.Cause == ClientLeft || f.Cause == Overtaken || f.Progress == Unsent {
			return scheduler.NotSent
		}
		return scheduler.ConnectFailed
	}
	switch f.Cause {
	case Expired, Stalled:
		return scheduler.TimedOut
	case Stopped, ClientLeft, Overtaken:
		return scheduler.Canceled
	case Unreadable:
		return scheduler.ServerError
	}
	return scheduler.ConnectionLost
}

// answered covers whole answers.
func answered(f Facts) Verdict {
	switch f.Meaning {
	case Done:
		if f.Stage == Decode {
			return Verdict{Status: scheduler.Completed, Ran: true, Info: f.Kept}
		}
	case Read:
		if f.Stage == Prefill {
			return Verdict{Status: scheduler.Prefilled, Info: f.Kept}
		}
	case NoState:
		return Verdict{Status: scheduler.Rejected, Info: 1}
	case Turned:
		return Verdict{Status: scheduler.Rejected}
	case Judged:
		// One engine may be wrong in it (a model that it lacks, a key that it does not take), and would then fail every
		// request as fast as it is asked; so a second one has to agree, unless no attempt is left.
		if f.Agreed || f.Last {
			return Verdict{Status: scheduler.Completed, Final: true}
		}
		return Verdict{Status: scheduler.Rejected}
	}
	return Verdict{Status: scheduler.ServerError, Ran: f.Stage == Decode}
}

// Answer is how a final answer that the node itself gives presents itself to the client.
type Answer struct {
	HTTP  int
	Code  string
	Retry bool // a further try is harmless
}

// Refused and Failed are the two final answers of the module; Broke ends a stream that had begun, and Whole an
// answer that was gathered for a client which asked for no stream.
func Refused() Answer { return Answer{HTTP: 503, Code: "no_capacity", Retry: true} }

// Failed promises nothing.
func Failed() Answer { return Answer{HTTP: 500, Code: "may_have_run"} }

// Broke is the answer where a stream ended early: repeating is harmless only where the class says so.
func Broke(effect scheduler.Effect, group scheduler.DedupScope) Answer {
	a := Answer{HTTP: 502, Code: "stream_broken", Retry: Repeats(effect, group, true)}
	return a
}

// TooSlow is the answer where a whole answer is not ready when its client gives up.
func TooSlow(effect scheduler.Effect, group scheduler.DedupScope) Answer {
	return Answer{HTTP: 504, Code: "answer_too_slow", Retry: Repeats(effect, group, true)}
}

// Repeats tells whether the client may be told that a further try is harmless (rule 2): always where nothing
// can have run, and else where every engine takes or discards a repeat.
func Repeats(effect scheduler.Effect, group scheduler.DedupScope, mayHaveRun bool) bool {
	return !mayHaveRun || effect == scheduler.Idempotent || effect == scheduler.IdempotentByKey && group == scheduler.DedupFleet
}
