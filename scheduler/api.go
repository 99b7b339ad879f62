// Package scheduler decides, for one router, where each request of a language-model
// service with separate prefill and decode engines goes, and when. It does no I/O
// and reads no clock: the host passes events to [Scheduler.Step] and carries out the
// actions that it returns. This file is the whole interface; scheduler.go decides.
//
// All times are in seconds on the host's clock; token counts are numbers of tokens.
package scheduler

import "fmt"

// Role says what an engine kind can do.
type Role int

// Roles of an engine kind: prefill, decode, or both.
const (
	Prefill Role = iota
	Decode
	Mixed
)

// Effect says what repeating a request of a class does.
type Effect int

// Effects: repeats are harmless, discarded within a group by key, or never allowed.
const (
	Idempotent Effect = iota
	IdempotentByKey
	AtMostOnce
)

// DedupScope is the set of engines that discard repeats of a ByKey request.
type DedupScope int

// Groups of engines: all, those of a zone, those of a cell.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupCell
)

// ReportStyle says how engines report their load.
type ReportStyle int

// Report styles: never, within outcomes and probe results, in probe results alone.
const (
	ReportOff ReportStyle = iota
	ReportInline
	ReportOnProbe
)

// Class is one class of request.
type Class struct {
	Effect                 Effect
	DedupScope             DedupScope // ByKey: who discards repeats
	DedupWindow            float64    // ByKey: for how long, from the first attempt that may have run
	FirstTokenObjective    float64    // first token wanted within
	ObjectivePerHintSecond float64    // more aim for each second of hinted work
	ObjectivePer1KTokens   float64    // more aim for each 1,000 prompt tokens
	ClientTimeout          float64    // the client's whole patience
	OutputTokenObjective   float64    // wanted mean time between tokens
	PriorityWeight         float64
	LateValue              float64 // share of the worth that a late answer earns
}

// Kind is one kind of engine.
type Kind struct {
	Role   Role
	Memory float64 // tokens; 0 = not told
}

// Tenant is one account and its share of the service.
type Tenant struct {
	Quota float64 // requests a second over all routers; 0 = no limit known
}

// Limits are the site's allowances.
type Limits struct {
	MaxAttempts int
	// UnsentAttemptsAreFree tells that attempts which ended before their request was written do not count towards MaxAttempts.
	UnsentAttemptsAreFree bool
	// StateTimeRunsDuringConnects tells that the time for which a state may wait keeps running while connections fail to come up.
	StateTimeRunsDuringConnects bool
	Cancel                      bool
	Probe                       bool
	HedgedRequests              bool
	RetryAfter                  bool
	MaxRetryAfter               float64
}

// Rules are the figures of the operators' rules.
type Rules struct {
	AnswerSlack       float64
	PollInterval      float64 // OnRequest: ask at least this often
	SlowStartShare    float64 // a cold engine's least share of its capacity
	SlowStartDuration float64 // and when it is warm at the latest
	DrainGrace        float64
	OverloadMultiple  float64
	SlowStartWindow   float64
	StateReleaseLimit float64 // held state or place must be used or released within
}

// Prices are points of the result, each times its rate.
type Prices struct {
	Probe, Waste, CrossZone, LateFailure, Transfer float64
}

// Config is what a router is told at its start.
type Config struct {
	NodeIndex, NodeCount int // this router's number and how many there are
	Zone, ZoneCount      int
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	PollsDiscovery       bool // the engine list comes only when asked for
	ReportStyle          ReportStyle
	ReservationOffered   bool // Reserve is offered
	DecodeEnginesPrefill bool // writers read prompts that come without a state
	Tick                 float64
	Limits               Limits
	Rules                Rules
	Prices               Prices
}

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

func (Request) event()            {}
func (Outcome) event()            {}
func (FirstToken) event()         {}
func (ClientDisconnected) event() {}
func (ReserveResult) event()      {}
func (EndpointUpdate) event()     {}
func (ProbeResult) event()        {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}

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

// check names the first field of the Config that cannot be.
func (c *Config) check() error {
	switch {
	case c.NodeCount < 1:
		return fmt.Errorf("scheduler: Balancers is %d", c.NodeCount)
	case c.NodeIndex < 0 || c.NodeIndex >= c.NodeCount:
		return fmt.Errorf("scheduler: Rank %d is not under Balancers %d", c.NodeIndex, c.NodeCount)
	case len(c.Classes) == 0:
		return fmt.Errorf("scheduler: Classes is empty")
	case len(c.Kinds) == 0:
		return fmt.Errorf("scheduler: Kinds is empty")
	case c.Limits.MaxAttempts < 1:
		return fmt.Errorf("scheduler: Limits.MaxAttempts is %d", c.Limits.MaxAttempts)
	case c.Zone < 0 || c.ZoneCount > 0 && c.Zone >= c.ZoneCount:
		return fmt.Errorf("scheduler: Zone %d is not under Zones %d", c.Zone, c.ZoneCount)
	case !(c.Tick >= 0):
		return fmt.Errorf("scheduler: Tick is %g", c.Tick)
	}
	for i, k := range c.Classes {
		if !(k.FirstTokenObjective >= 0 && k.ObjectivePer1KTokens >= 0 && k.ObjectivePerHintSecond >= 0 && k.OutputTokenObjective >= 0 && k.ClientTimeout >= 0 && k.DedupWindow >= 0) {
			return fmt.Errorf("scheduler: Classes[%d] has a negative time", i)
		}
		if k.Effect < Idempotent || k.Effect > AtMostOnce {
			return fmt.Errorf("scheduler: Classes[%d].Effect is %d", i, k.Effect)
		}
	}
	for i, k := range c.Kinds {
		if k.Role < Prefill || k.Role > Mixed || !(k.Memory >= 0) {
			return fmt.Errorf("scheduler: Kinds[%d] has an unknown Role or negative Memory", i)
		}
	}
	u := c.Rules
	if !(u.SlowStartDuration >= 0 && u.SlowStartShare >= 0 && u.OverloadMultiple >= 0 && u.SlowStartWindow >= 0 && u.StateReleaseLimit >= 0 &&
		u.PollInterval >= 0 && u.DrainGrace >= 0 && u.AnswerSlack >= 0) {
		return fmt.Errorf("scheduler: Rules has a negative figure")
	}
	return nil
}
