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
	FetchState bool // the attempt is to fetch a state that a prefill engine holds
	// StateAttempt is the number of the attempt that made the state.
	StateAttempt int
	Timeout      float64 // 0 = only the client's deadline applies
	// WriteBy is when the request must have been written, because engines recognize a repeat for a limited time; 0 = no limit.
	WriteBy float64
}

// CancelAttempt cancels an attempt in flight. The host still reports its end.
type CancelAttempt struct {
	ID      string
	Attempt int
	Cause   outcome.Cause
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
	// AttemptCutAt is when that attempt was interrupted (s): its engine may hold a state now, or only later. 0 = the state is held.
	AttemptCutAt float64
	HeldSince    float64 // when the limit on the hold time of the state began to run (s)
	// Acknowledged means that an engine has acknowledged a release call since the attempt was interrupted. Only the state of a prefill
	// that its engine completed after that call may still be held.
	Acknowledged bool
	// AtLimit means that the hold time has reached its limit, so that the state is released whatever attempts are in flight.
	AtLimit bool
	// Ended is the latest attempt of which the engine may notice the end late. A release call that is made before then may free nothing.
	Ended EndedAttempt
	// Again means that the state was released before, while an attempt was in flight that may have been waiting for it.
	Again bool
}

// EndedAttempt is an attempt that ended without a response after its request had been written. The zero value means that there is none.
type EndedAttempt struct {
	Engine string
	At     float64 // s
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

// PassThrough sends a client the response with which an engine has reported its request as invalid.
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
