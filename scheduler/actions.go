package scheduler

// Action is something that the host is to do.
type Action interface{ action() }

// Send starts an attempt at an engine; attempts of a request are numbered from 0.
type Send struct {
	ID, Engine string
	Timeout    float64 // 0 = until the client gives up
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Reserve holds a slot and memory at a writer for a request that is being read.
type Reserve struct{ ID, Engine string }

// Release lets go of every state and place held for a request.
type Release struct{ ID string }

// Reject is a final answer: a further try is harmless.
type Reject struct {
	ID         string
	RetryAfter float64
	Reason     GiveUpReason
}

// Fail is a final answer without any such promise.
type Fail struct {
	ID     string
	Reason GiveUpReason
}

// GiveUpReason says why a request is given up. It is for people alone: nothing is decided by it.
type GiveUpReason string

// Reasons to give up.
const (
	DeadlineNear         GiveUpReason = "its time is nearly up"
	ObjectiveUnreachable GiveUpReason = "no engine can begin the answer while it has any worth"
	AttemptsExhausted    GiveUpReason = "it has had as many attempts as it may"
	RepeatUnsafe         GiveUpReason = "a further attempt could run it twice"
)

// SetTimer asks for a Wake at a time.
type SetTimer struct {
	At    float64
	Token int64
}

// Probe asks an engine for its health and load.
type Probe struct{ Engine string }

// WatchEndpoints subscribes to changes of the engine list; Fetch asks for it once.
type WatchEndpoints struct{ On bool }

// FetchEndpoints asks for the complete engine list once.
type FetchEndpoints struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action() {}

func (Cancel) action() {}

func (Reserve) action() {}

func (Release) action() {}

func (Reject) action() {}

func (Fail) action() {}

func (SetTimer) action() {}

func (Probe) action() {}

func (WatchEndpoints) action() {}

func (FetchEndpoints) action() {}

func (Log) action() {}
