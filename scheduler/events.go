package scheduler

// LoadReport is an engine's own figures of its load. Has tells which were given.
type LoadReport struct {
	Active, Waiting, Utilization, LatencyMS, MemoryShare, TokensWaiting float64
	Has                                                                 LoadReportField
}

// LoadReportField is a set of figures of a Report.
type LoadReportField uint8

// The figures that a Report may hold.
const (
	HasActive LoadReportField = 1 << iota
	HasWaiting
	HasUtilization
	HasLatency
	HasMemoryShare
	HasTokensWaiting
)

// EngineState is what the engine list says of an engine.
type EngineState int

// States of a listed engine.
const (
	EngineReady EngineState = iota
	EngineDraining
	EngineRemoved
)

// Engine is one entry of the engine list.
type Engine struct {
	ID         string
	Cell, Zone int
	Kind       int
	State      EngineState
	Weight     float64
	BootTime   float64 // last start; 0 = long ago
}

// UpdateForm says how a list of engines is to be read.
type UpdateForm int

// Forms of a list: changes, complete, complete but perhaps outdated, or a failed call.
const (
	UpdateIncremental UpdateForm = iota
	UpdateComplete
	UpdateStale
	UpdateFailed
)

// Status says how an attempt or a probe ended.
type Status int

// Statuses of an attempt. TurnedAway, NoConnection, NotSent and Parsed prove that the
// request never ran.
const (
	Completed Status = iota
	ServerError
	Rejected
	TimedOut
	ConnectFailed
	ConnectionLost
	Canceled
	NotSent
	Prefilled
)

// Event is something that a router learns.
type Event interface{ event() }

// Request is a client's request; one final answer is owed to it.
type Request struct {
	ID                                          string
	Class, Tenant                               int
	Session, Prefix                             string
	ClientTimeLeft                              float64 // until the client gives this try up
	DurationHint                                float64 // rough time of the answer at the class's pace; 0 = none
	PromptTokens, PrefixTokens, MaxOutputTokens float64
	Retry, Returned                             bool
}

// Outcome tells how an attempt ended.
type Outcome struct {
	ID      string
	Attempt int
	Engine  string
	Status  Status
	Info    int // tokens found kept; with TurnedAway, 1 = no state to fetch
	Spent   float64
	Closed  bool // the request has ended
	Report  *LoadReport
}

// FirstToken tells that the answer has begun to stream.
type FirstToken struct {
	ID      string
	Attempt int
	Engine  string
	Spent   float64
}

// ClientDisconnected tells that the client has left.
type ClientDisconnected struct{ ID string }

// ReserveResult answers a Reserve.
type ReserveResult struct {
	ID      string
	Attempt int
	Engine  string
	OK      bool
}

// EndpointUpdate is a list of engines, or of changes to it.
type EndpointUpdate struct {
	Form    UpdateForm
	Engines []Engine
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Engine string
	Status Status
	Spent  float64
	Report *LoadReport
}

// TimerFired is a timer that has fallen due.
type TimerFired struct{ Token int64 }

// PeerMessage is a message from another router.
type PeerMessage struct {
	From int
	Data []byte
}

func (Request) event() {}

func (Outcome) event() {}

func (FirstToken) event() {}

func (ClientDisconnected) event() {}

func (ReserveResult) event() {}

func (EndpointUpdate) event() {}

func (ProbeResult) event() {}

func (TimerFired) event() {}

func (PeerMessage) event() {}
