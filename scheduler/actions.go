package scheduler

// This file defines the output of a Scheduler: the actions, which the host carries out in order.

// Action is something that the host must do: an output of [Scheduler.Step].
type Action interface{ action() }

// Send starts an attempt of a request at an engine. Attempts of a request are numbered from 0 in the order of their Send actions.
type Send struct {
	ID, Engine string
	Timeout    float64 // seconds; 0 = until the client's timeout
}

// Cancel cancels an attempt. Its outcome still follows.
type Cancel struct {
	ID      string
	Attempt int
}

// Reserve reserves a slot and memory at a decode engine for a request that is being prefilled.
type Reserve struct{ ID, Engine string }

// Release releases every state and slot that engines reserve for a request.
type Release struct{ ID string }

// Reject is a final response that promises that a retry by the client is harmless.
type Reject struct {
	ID         string
	RetryAfter float64 // delay for the client, in seconds; 0 = none is sent
	Reason     FailureReason
}

// Fail is a final response that promises nothing about a retry.
type Fail struct {
	ID     string
	Reason FailureReason
}

// FailureReason is why a request is rejected or failed. It is a text for operators and clients; no decision depends on it.
type FailureReason string

// Reasons for a Reject or Fail.
const (
	DeadlineNear         FailureReason = "its time is nearly up"
	ObjectiveUnreachable FailureReason = "no engine can begin the answer while it has any worth"
	AttemptsExhausted    FailureReason = "it has had as many attempts as it may"
	RepeatUnsafe         FailureReason = "a further attempt could run it twice"
)

// SetTimer requests a TimerFired with the token at a time.
type SetTimer struct {
	At    float64
	Token int64
}

// Probe requests the health and load of an engine.
type Probe struct{ Engine string }

// WatchEndpoints starts or ends a subscription to changes of the endpoint list.
type WatchEndpoints struct{ On bool }

// FetchEndpoints requests one complete snapshot of the endpoint list.
type FetchEndpoints struct{}

// Log writes a log line for the operators.
type Log struct{ Text string }

func (Send) action()           {}
func (Cancel) action()         {}
func (Reserve) action()        {}
func (Release) action()        {}
func (Reject) action()         {}
func (Fail) action()           {}
func (SetTimer) action()       {}
func (Probe) action()          {}
func (WatchEndpoints) action() {}
func (FetchEndpoints) action() {}
func (Log) action()            {}
