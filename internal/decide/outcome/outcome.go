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
	NotStarted     Progress = iota // nothing was tried yet
	Connecting                     // no connection yet
	Connected                      // a connection, but not every byte of the request was written
	RequestWritten                 // the whole request was written
	HeaderReceived                 // the status line and header of the answer have come
	Streaming                      // the first token has been passed on
)

// Cause is what ended an attempt.
type Cause int

// Causes of an end.
const (
	ResponseComplete    Cause = iota // an answer came, whole
	ConnectionBroken                 // dial refused, reset, or closed before the answer was whole
	AttemptTimedOut                  // the attempt's time ran out
	CanceledByScheduler              // called off by the module
	RequestEnded                     // the request had ended, or may have no such attempt
	MalformedResponse                // what came is no answer of the protocol
	StreamStalled                    // a stream gave nothing for longer than it may
	ClientDisconnected               // the client has gone
)

// ResponseKind is what a whole answer says, in the words of no protocol: the engine's client names it.
type ResponseKind int

// Meanings of a whole answer.
const (
	EngineError    ResponseKind = iota // the engine failed at it, or answered what it should not
	PrefillDone                        // the prompt has been read, and its state waits there
	DecodeDone                         // the answer was made
	EngineRejected                     // full, draining or the like: it has not run
	StateMissing                       // there was no state to fetch: it has not run
	InvalidRequest                     // a judgement of the request, before it ran
)

// Evidence are what was seen of an attempt.
type Evidence struct {
	Stage        Stage
	Progress     Progress
	Cause        Cause
	ResponseKind ResponseKind // of the answer, where Cause is Answered
	Code         int          // Judged: what tells one judgement from another
	CachedTokens int          // prompt tokens that the engine had kept
	// ConfirmedElsewhere tells that another engine has judged the same request alike before.
	ConfirmedElsewhere bool
	// LastAttempt tells that the request can have no further attempt.
	LastAttempt bool
}

// Classification is what they prove.
type Classification struct {
	Status       scheduler.Status
	Info         int
	MayHaveRun   bool // an effect is possible
	MayHoldState bool // the engine may hold a state that nobody will take
	// PassThrough tells that the engine's own answer is to be passed to the client: it has judged the request,
	// not failed at it.
	PassThrough bool
}

// Classify applies the table.
func Classify(f Evidence) Classification {
	v := Classification{}
	switch f.Cause {
	case ResponseComplete:
		v = answered(f)
	default:
		v.Status = unanswered(f)
	}
	if f.Stage == Prefill {
		v.MayHaveRun = false // reading has no effect
		v.MayHoldState = f.Progress >= RequestWritten && v.Status != scheduler.Prefilled && v.Status != scheduler.Rejected && !v.PassThrough
		return v
	}
	v.MayHaveRun = v.MayHaveRun || !v.PassThrough && !provesNot(v.Status)
	return v
}

// ProvesNotRun tells whether the bytes of an attempt prove that it has not run at its engine: not all of its request was written, or
// the engine answered that the prompt was read, or that it did not run. Unlike Verdict.Ran it does not take an engine's role for
// proof: that a prefill engine runs nothing says little of an engine that did not answer as one.
func ProvesNotRun(f Evidence) bool {
	if f.Cause != ResponseComplete {
		return f.Progress < RequestWritten
	}
	switch f.ResponseKind {
	case PrefillDone:
		return f.Stage == Prefill
	case EngineRejected, StateMissing, InvalidRequest:
		return true
	}
	return false
}

// Silent tells whether an attempt was written and called off, or its time ran out, before anything came of it: whether its request has
// reached the engine is not known.
func Silent(f Evidence) bool {
	return f.Progress == RequestWritten && (f.Cause == CanceledByScheduler || f.Cause == AttemptTimedOut)
}

// provesNot tells whether a status proves that the request never ran.
func provesNot(s scheduler.Status) bool {
	return s == scheduler.Rejected || s == scheduler.ConnectFailed || s == scheduler.NotSent || s == scheduler.Prefilled
}

// unanswered covers the ends without a whole answer.
func unanswered(f Evidence) scheduler.Status {
	if f.Progress < RequestWritten { // the engine cannot have had the whole request
		if f.Cause == ClientDisconnected || f.Cause == RequestEnded || f.Progress == NotStarted {
			return scheduler.NotSent
		}
		return scheduler.ConnectFailed
	}
	switch f.Cause {
	case AttemptTimedOut, StreamStalled:
		return scheduler.TimedOut
	case CanceledByScheduler, ClientDisconnected, RequestEnded:
		return scheduler.Canceled
	case MalformedResponse:
		return scheduler.ServerError
	}
	return scheduler.ConnectionLost
}

// answered covers whole answers.
func answered(f Evidence) Classification {
	switch f.ResponseKind {
	case DecodeDone:
		if f.Stage == Decode {
			return Classification{Status: scheduler.Completed, MayHaveRun: true, Info: f.CachedTokens}
		}
	case PrefillDone:
		if f.Stage == Prefill {
			return Classification{Status: scheduler.Prefilled, Info: f.CachedTokens}
		}
	case StateMissing:
		return Classification{Status: scheduler.Rejected, Info: 1}
	case EngineRejected:
		return Classification{Status: scheduler.Rejected}
	case InvalidRequest:
		// One engine may be wrong in it (a model that it lacks, a key that it does not take), and would then fail every
		// request as fast as it is asked; so a second one has to agree, unless no attempt is left.
		if f.ConfirmedElsewhere || f.LastAttempt {
			return Classification{Status: scheduler.Completed, PassThrough: true}
		}
		return Classification{Status: scheduler.Rejected}
	}
	return Classification{Status: scheduler.ServerError, MayHaveRun: f.Stage == Decode}
}

// Response is how a final answer that the node itself gives presents itself to the client.
type Response struct {
	HTTPStatus  int
	Code        string
	RetryIsSafe bool // a further try is harmless
}

// RejectedResponse and Failed are the two final answers of the module; Broke ends a stream that had begun, and Whole an
// answer that was gathered for a client which asked for no stream.
func RejectedResponse() Response {
	return Response{HTTPStatus: 503, Code: "no_capacity", RetryIsSafe: true}
}

// FailedResponse promises nothing.
func FailedResponse() Response { return Response{HTTPStatus: 500, Code: "may_have_run"} }

// StreamBrokenResponse is the answer where a stream ended early: repeating is harmless only where the class says so.
func StreamBrokenResponse(effect scheduler.Effect, group scheduler.DedupScope) Response {
	a := Response{HTTPStatus: 502, Code: "stream_broken", RetryIsSafe: RepeatAllowed(effect, group, true)}
	return a
}

// DeadlineResponse is the answer where a whole answer is not ready when its client gives up.
func DeadlineResponse(effect scheduler.Effect, group scheduler.DedupScope) Response {
	return Response{HTTPStatus: 504, Code: "answer_too_slow", RetryIsSafe: RepeatAllowed(effect, group, true)}
}

// RepeatAllowed tells whether the client may be told that a further try is harmless (rule 2): always where nothing
// can have run, and else where every engine takes or discards a repeat.
func RepeatAllowed(effect scheduler.Effect, group scheduler.DedupScope, mayHaveRun bool) bool {
	return !mayHaveRun || effect == scheduler.Idempotent || effect == scheduler.IdempotentByKey && group == scheduler.DedupFleet
}
