package requesttable

import (
	"dillroute/internal/decide/outcome"
)

// Command is an instruction that the host must carry out.
type Command interface{ command() }

// StartAttempt starts an attempt. Times are in seconds.
type StartAttempt struct {
	ID         string
	Engine     string
	Attempt    int // number of the attempt among those of the request
	Stage      outcome.Stage
	FetchState bool // the attempt must fetch a state that a prefill engine holds
	// StateAttempt is the number of the prefill attempt that made this state.
	StateAttempt int
	Timeout      float64 // 0 = only the client's deadline applies
	// WriteBy is the time by which the request must have been written; 0 = no limit. Engines recognize a repeat only until then.
	WriteBy float64
}

// CancelAttempt cancels an attempt in flight. The host still reports its end.
type CancelAttempt struct {
	ID      string
	Attempt int
	Cause   outcome.Cause
	// OnlyIfNotRun means that the attempt is left alone unless its end will prove that the request has not run. The host reports a
	// cancellation with Table.AttemptCanceled.
	OnlyIfNotRun bool
}

// GrantResponse decides whether an attempt may write to the client. If Granted, the attempt is the only writer; otherwise it
// must stop.
type GrantResponse struct {
	ID      string
	Attempt int
	Granted bool
}

// ReleaseState releases the state that an engine may hold from an attempt. With Config.ReleaseFreesAllStates it releases
// every state of the request.
type ReleaseState struct {
	ID      string
	Engine  string
	Attempt int // number of the attempt that left the state
	// InterruptedAt is when that attempt was interrupted (s); 0 = it was not, and the state is held. The engine of an interrupted attempt
	// may hold a state now, or only later.
	InterruptedAt float64
	HeldSince     float64 // when the limit on the hold time of the state began to run (s)
	// Acknowledged means that an engine has acknowledged a release call since the attempt was interrupted. Only the state of a prefill
	// that its engine completed after that call may still be held.
	Acknowledged bool
	// AtLimit means that the hold time has reached its limit: the state is released even while attempts are in flight.
	AtLimit bool
	// LastUnanswered is the latest attempt whose end its engine may notice late. A release call that the engine receives before it
	// notices the end may free nothing.
	LastUnanswered UnansweredAttempt
	// Repeated means that the state was released before, while an attempt was in flight that may have been waiting for it.
	Repeated bool
}

// UnansweredAttempt is an attempt that ended without a complete response or a first token, after its request had been written. The zero
// value means that there is none.
type UnansweredAttempt struct {
	Engine string
	At     float64 // when it ended (s)
}

// CheckHeldState asks the host to call HeldStateDue at a time (s).
type CheckHeldState struct {
	ID string
	At float64
}

// Respond sends a client the node's own final response.
type Respond struct {
	ID         string
	Response   outcome.Response
	RetryAfter float64 // seconds; 0 = no advice
	Reason     string
}

// PassThrough sends a client the response of an engine that has reported the request as invalid.
type PassThrough struct {
	ID      string
	Attempt int
}

// ForgetRequest means that no further command follows for a request.
type ForgetRequest struct{ ID string }

// ReportFault reports an action or an input that contradicts the table and was not carried out.
type ReportFault struct{ Text string }

func (StartAttempt) command()   {}
func (CancelAttempt) command()  {}
func (GrantResponse) command()  {}
func (ReleaseState) command()   {}
func (CheckHeldState) command() {}
func (Respond) command()        {}
func (PassThrough) command()    {}
func (ForgetRequest) command()  {}
func (ReportFault) command()    {}
