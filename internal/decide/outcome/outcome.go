// Package outcome decides what the end of an attempt proves: which status the scheduler receives, whether the request may
// have run, and whether the engine may still hold a state for it. It also defines the final responses that the node itself
// gives. It does no I/O: the caller describes what was observed on the socket as Evidence. The request table
// (internal/decide/requesttable) calls it at the end of each attempt; docs/design/node.md contains the same table.
package outcome

import "fmt"

// Stage is the work that an attempt requests from its engine.
type Stage int

// Stages of a request.
const (
	Prefill Stage = iota // compute and hold the state of a prompt
	Decode               // generate the response, with or without a state to fetch
)

// String returns the name of the stage in logs.
func (s Stage) String() string { return enumName("stage", int(s), "prefill", "decode") }

// Progress is the last step that an attempt had reached on its socket when it ended.
type Progress int

// Steps of an attempt, in order. A request that was not written completely cannot run, because the engine received less than
// the stated length (RFC 9112, section 8).
const (
	NotStarted     Progress = iota // nothing was done yet
	Connecting                     // there is no connection yet
	Connected                      // there is a connection, but not every byte of the request was written
	RequestWritten                 // every byte of the request was written to the connection
	HeaderReceived                 // the status line and the header of the response were received
	Streaming                      // the first token was forwarded to the client
)

// String returns the name of the step in logs.
func (p Progress) String() string {
	return enumName("progress", int(p), "not_started", "connecting", "connected", "request_written", "header_received", "streaming")
}

// Cause is what ended an attempt.
type Cause int

// Causes of the end of an attempt.
const (
	ResponseComplete    Cause = iota // a complete response was received
	ConnectionBroken                 // the connection was refused, reset, or closed before the response was complete
	AttemptTimedOut                  // the timeout of the attempt passed
	CanceledByScheduler              // the scheduler canceled the attempt
	RequestEnded                     // the request had ended, or the attempt was not allowed
	MalformedResponse                // the received data is not a valid response
	StreamStalled                    // a stream sent nothing for longer than the limit
	ClientDisconnected               // the client has disconnected
)

// String returns the name of the cause in logs.
func (c Cause) String() string {
	return enumName("cause", int(c), "response_complete", "connection_broken", "attempt_timed_out", "canceled_by_scheduler",
		"request_ended", "malformed_response", "stream_stalled", "client_disconnected")
}

// ResponseKind is the meaning of a complete response, independent of the protocol. The engine's client translates responses to it.
type ResponseKind int

// Kinds of a complete response.
const (
	EngineError    ResponseKind = iota // the engine failed, or gave a response that does not fit the request
	PrefillDone                        // the prefill is complete and the engine holds its state
	DecodeDone                         // the response was generated
	EngineRejected                     // the engine is full or draining, for example; the request has not run
	StateMissing                       // there was no state to fetch; the request has not run
	InvalidRequest                     // the engine calls the request invalid; it has not run
)

// String returns the name of the kind in logs.
func (k ResponseKind) String() string {
	return enumName("response_kind", int(k), "engine_error", "prefill_done", "decode_done", "engine_rejected", "state_missing",
		"invalid_request")
}

// enumName returns the name of an enumeration's value, or the enumeration and the number of a value without a name.
func enumName(enumeration string, value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("%s(%d)", enumeration, value)
	}
	return names[value]
}

// Evidence is what was observed of an attempt that has ended.
type Evidence struct {
	Stage        Stage
	Progress     Progress
	Cause        Cause
	ResponseKind ResponseKind // valid if Cause is ResponseComplete
	Code         int          // distinguishes responses of the kind InvalidRequest from each other
	CachedTokens int          // prompt tokens that the engine had cached
	// PrefillProcess means that an earlier exchange on the same connection was a completed prefill. The process at the other end is
	// therefore a prefill engine: a process keeps its role, and its connections end with it.
	PrefillProcess bool
	// DecodeHeader means that the header of the response is one with which only an engine that runs the request responds.
	DecodeHeader bool
	// ConfirmedElsewhere means that another engine has called the same request invalid with the same code.
	ConfirmedElsewhere bool
	// LastAttempt means that the request can have no further attempt.
	LastAttempt bool
}
