package outcome

import "dillroute/scheduler"

// InfoStateMissing is the Info of a rejected attempt that found no state to fetch.
const InfoStateMissing = 1

// Classification is what the evidence of an attempt proves.
type Classification struct {
	Status       scheduler.Status
	Info         int  // cached prompt tokens, or InfoStateMissing
	MayHaveRun   bool // the request may have had an effect
	MayHoldState bool // the engine may hold a state that no attempt will fetch
	// PassThrough means that the client gets the engine's own response, which calls the request invalid.
	PassThrough bool
}

// Classify returns what the evidence proves.
func Classify(evidence Evidence) Classification {
	var class Classification
	if evidence.Cause == ResponseComplete {
		class = classifyResponse(evidence)
	} else {
		class.Status = statusWithoutResponse(evidence)
	}
	class.MayHaveRun = mayHaveRun(evidence)
	if evidence.Stage == Prefill {
		class.MayHoldState = evidence.Progress >= RequestWritten && class.Status != scheduler.Prefilled &&
			class.Status != scheduler.Rejected && !class.PassThrough
	}
	return class
}

// mayHaveRun reports whether a request may have had an effect at the engine of an attempt. A prefill has none, but the stage of the attempt
// does not prove that the engine prefilled: it follows from the endpoint list, which learns late that an engine has changed its role.
func mayHaveRun(evidence Evidence) bool {
	switch {
	case ProvesNotRun(evidence):
		return false
	case evidence.Stage == Prefill && evidence.PrefillProcess:
		return evidence.DecodeHeader
	}
	return true
}

// ProvesNotRun reports whether the bytes of an attempt prove that it has not run at its engine: its request was not written
// completely, or the engine responded that the prefill is done or that the request did not run. Unlike
// Classification.MayHaveRun it does not accept earlier responses of a prefill engine as proof.
func ProvesNotRun(evidence Evidence) bool {
	if evidence.Cause != ResponseComplete {
		return evidence.Progress < RequestWritten
	}
	switch evidence.ResponseKind {
	case PrefillDone:
		return evidence.Progress < Streaming
	case EngineRejected, StateMissing, InvalidRequest:
		return true
	}
	return false
}

// Silent reports whether an attempt was written completely and then canceled or timed out before any byte of a response
// was received. Whether its request has reached the engine is unknown.
func Silent(evidence Evidence) bool {
	return evidence.Progress == RequestWritten && (evidence.Cause == CanceledByScheduler || evidence.Cause == AttemptTimedOut)
}

// statusWithoutResponse returns the status of an attempt without a complete response.
func statusWithoutResponse(evidence Evidence) scheduler.Status {
	if evidence.Progress < RequestWritten { // the engine cannot have received the complete request
		if evidence.Cause == ClientDisconnected || evidence.Cause == RequestEnded || evidence.Progress == NotStarted {
			return scheduler.NotSent
		}
		return scheduler.ConnectFailed
	}
	switch evidence.Cause {
	case AttemptTimedOut, StreamStalled:
		return scheduler.TimedOut
	case CanceledByScheduler, ClientDisconnected, RequestEnded:
		return scheduler.Canceled
	case MalformedResponse:
		return scheduler.ServerError
	}
	return scheduler.ConnectionLost
}

// classifyResponse classifies an attempt with a complete response.
func classifyResponse(evidence Evidence) Classification {
	switch evidence.ResponseKind {
	case DecodeDone:
		if evidence.Stage == Decode {
			return Classification{Status: scheduler.Completed, Info: evidence.CachedTokens}
		}
	case PrefillDone: // also after a decode attempt: the engine has become a prefill engine, and holds a state
		if evidence.Progress < Streaming {
			return Classification{Status: scheduler.Prefilled, Info: evidence.CachedTokens}
		}
	case StateMissing:
		return Classification{Status: scheduler.Rejected, Info: InfoStateMissing}
	case EngineRejected:
		return Classification{Status: scheduler.Rejected}
	case InvalidRequest:
		return classifyInvalidRequest(evidence)
	}
	return Classification{Status: scheduler.ServerError}
}

// classifyInvalidRequest passes an engine's response that a request is invalid to the client once a second engine agrees, or
// no attempt is left. A single engine may be wrong (it lacks a model, or does not accept a key), and would otherwise fail
// every request as fast as it receives them.
func classifyInvalidRequest(evidence Evidence) Classification {
	if evidence.ConfirmedElsewhere || evidence.LastAttempt {
		return Classification{Status: scheduler.Completed, PassThrough: true}
	}
	return Classification{Status: scheduler.Rejected}
}
