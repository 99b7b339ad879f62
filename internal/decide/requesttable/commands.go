package requesttable

import (
	"dillroute/internal/decide/outcome"
)

// Command is something that the host is to carry out.
type Command interface{ command() }

// StartAttempt begins an attempt. Timeout is in seconds, 0 = none but the client's own. WriteBy is when its request must have been
// written, for a repeat is known as one for so long only; 0 = at any time.
type StartAttempt struct {
	ID, Engine string
	Attempt          int
	Stage      outcome.Stage
	FetchState      bool    // a state waits and is to be fetched
	StateAttempt     int     // from this attempt
	HeldSince    float64 // since when its time runs (s)
	HeldSinceIfUndelivered     float64 // since when it does if attempts that ended in silence never arrived (s)
	Timeout    float64
	WriteBy    float64
}

// CancelAttempt ends an attempt that is out, for the cause given; its end is still to be reported.
type CancelAttempt struct {
	ID    string
	Attempt     int
	Cause outcome.Cause
}

// GrantResponse gives the client's answer to an attempt: from now on it alone writes there. Denied tells it to stop.
type GrantResponse struct {
	ID string
	Attempt  int
	Granted bool
}

// ReleaseState lets go of the state that an engine may hold from the attempt N; with Config.ReleaseAll, of all that is held
// for the request. Wanted tells whether it may still be made. CutAt is when the attempt was broken off, in which case its
// engine may hold something only a moment later; 0 = what is to be released is held already.
type ReleaseState struct {
	ID, Engine string
	Attempt          int
	CutAt      float64
	IsBeside   bool // made while the attempt Beside, which is to take the state, is out and was not heard of
	Beside     int
}

// Respond is the node's own final answer to a client.
type Respond struct {
	ID         string
	Response     outcome.Response
	RetryAfter float64 // s; 0 = no advice
	Reason     string
}

// PassThrough gives the client the answer by which an engine has judged its request.
type PassThrough struct {
	ID string
	Attempt  int
}

// ForgetRequest tells that nothing more will come for a request.
type ForgetRequest struct{ ID string }

// ReportFault tells of an action or a fact that the book could not allow.
type ReportFault struct{ Text string }

func (StartAttempt) command()   {}
func (CancelAttempt) command()   {}
func (GrantResponse) command()   {}
func (ReleaseState) command() {}
func (Respond) command()  {}
func (PassThrough) command()    {}
func (ForgetRequest) command()  {}
func (ReportFault) command()   {}
