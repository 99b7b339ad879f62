package requesttable

import (
	"dillroute/internal/decide/outcome"
)

// Command is something that the host is to carry out.
type Command interface{ command() }

// Start begins an attempt. Timeout is in seconds, 0 = none but the client's own. WriteBy is when its request must have been
// written, for a repeat is known as one for so long only; 0 = at any time.
type Start struct {
	ID, Engine string
	N          int
	Stage      outcome.Stage
	State      bool    // a state waits and is to be fetched
	StateN     int     // from this attempt
	StateAt    float64 // since when its time runs (s)
	HeldAt     float64 // since when it does if attempts that ended in silence never arrived (s)
	Timeout    float64
	WriteBy    float64
}

// Abort ends an attempt that is out, for the cause given; its end is still to be reported.
type Abort struct {
	ID    string
	N     int
	Cause outcome.Cause
}

// Grant gives the client's answer to an attempt: from now on it alone writes there. Denied tells it to stop.
type Grant struct {
	ID string
	N  int
	OK bool
}

// Release lets go of the state that an engine may hold from the attempt N; with Config.ReleaseAll, of all that is held
// for the request. Wanted tells whether it may still be made. CutAt is when the attempt was broken off, in which case its
// engine may hold something only a moment later; 0 = what is to be released is held already.
type Release struct {
	ID, Engine string
	N          int
	CutAt      float64
	IsBeside   bool // made while the attempt Beside, which is to take the state, is out and was not heard of
	Beside     int
}

// Answer is the node's own final answer to a client.
type Answer struct {
	ID         string
	Answer     outcome.Response
	RetryAfter float64 // s; 0 = no advice
	Reason     string
}

// Pass gives the client the answer by which an engine has judged its request.
type Pass struct {
	ID string
	N  int
}

// Forget tells that nothing more will come for a request.
type Forget struct{ ID string }

// Fault tells of an action or a fact that the book could not allow.
type Fault struct{ Text string }

func (Start) command()   {}
func (Abort) command()   {}
func (Grant) command()   {}
func (Release) command() {}
func (Answer) command()  {}
func (Pass) command()    {}
func (Forget) command()  {}
func (Fault) command()   {}
