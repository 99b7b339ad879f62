package scheduler

import "fmt"

// This file defines the input of a Scheduler: the events, and the types that they contain.

// Event is something that the host has observed: an input of [Scheduler.Step].
type Event interface{ event() }

// Request is a client's request. It must get one final response.
type Request struct {
	ID              string
	Class, Tenant   int // indices into Config.Classes and Config.Tenants
	Session, Prefix string
	ClientTimeLeft  float64 // seconds until the client's timeout
	DurationHint    float64 // approximate duration of the response, in seconds, at the class's OutputTokenObjective; 0 = none
	PromptTokens    float64
	PrefixTokens    float64 // tokens of the prompt that it shares with other requests of the same Prefix
	MaxOutputTokens float64
	Retry           bool // the client has sent the request before
	Returned        bool // the client has reconnected after a disconnect or a migration
}

// Outcome reports how an attempt ended.
type Outcome struct {
	ID           string
	Attempt      int
	Engine       string
	Status       Status
	Effect       EffectEvidence
	Info         int     // for Prefilled: number of cached tokens that were found; for Rejected: 1 = the engine found no state to fetch
	Spent        float64 // seconds since the attempt was sent
	RequestEnded bool    // the request ended with this attempt or before
	Report       *LoadReport
}

// FirstToken reports that a response has started to stream.
type FirstToken struct {
	ID      string
	Attempt int
	Engine  string
	Spent   float64 // seconds since the attempt was sent
}

// ClientDisconnected reports that the client of a request has disconnected.
type ClientDisconnected struct{ ID string }

// StateReleased reports that the host has released the state of a request because its time limit was reached. An attempt that
// fetches the state may be in flight; its outcome still follows.
type StateReleased struct{ ID string }

// ReserveResult is the result of a Reserve.
type ReserveResult struct {
	ID      string
	Attempt int
	Engine  string
	OK      bool
}

// EndpointUpdate is a snapshot of the endpoint list, or changes to it.
type EndpointUpdate struct {
	Form    UpdateForm
	Engines []Engine
}

// ProbeResult is the result of a Probe.
type ProbeResult struct {
	Engine string
	Status Status
	Spent  float64 // duration of the probe, in seconds
	Report *LoadReport
}

// TimerFired reports that the timer with the token has fired.
type TimerFired struct{ Token int64 }

// PeerMessage is a message from another node.
type PeerMessage struct {
	From int
	Data []byte
}

func (Request) event()            {}
func (Outcome) event()            {}
func (FirstToken) event()         {}
func (ClientDisconnected) event() {}
func (StateReleased) event()      {}
func (ReserveResult) event()      {}
func (EndpointUpdate) event()     {}
func (ProbeResult) event()        {}
func (TimerFired) event()         {}
func (PeerMessage) event()        {}

// Status is how an attempt or a probe ended.
type Status int

// Statuses. Rejected, ConnectFailed, NotSent and Prefilled prove that the request has had no effect.
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

func (s Status) String() string {
	return enumName(int(s), "completed", "server-error", "rejected", "timed-out", "connect-failed", "connection-lost",
		"canceled", "not-sent", "prefilled")
}

// EffectEvidence is what the host knows about the effect of an attempt beyond its status.
type EffectEvidence int

// Kinds of evidence.
const (
	EffectByStatus EffectEvidence = iota // the host knows no more than the status
	EffectExcluded                       // the request has not run at the engine and will not run there
	EffectPossible                       // the request has run at the engine, or may have run or may still run there
)

func (e EffectEvidence) String() string { return enumName(int(e), "by-status", "excluded", "possible") }

// LoadReport holds the load figures that an engine reports. A figure is valid only if its flag is set in Has.
type LoadReport struct {
	Active        float64 // requests at the engine, including waiting requests and waiting states
	Waiting       float64 // requests waiting for a slot
	Utilization   float64 // share of its slots in use
	LatencyMS     float64 // mean latency to the end of a prefill or to the first token, in milliseconds
	MemoryShare   float64 // share of its KV cache in use
	TokensWaiting float64 // prompt tokens waiting to be prefilled or fetched
	Has           LoadReportField
}

// LoadReportField is a set of figures of a LoadReport.
type LoadReportField uint8

// Flags of the figures in a LoadReport.
const (
	HasActive LoadReportField = 1 << iota
	HasWaiting
	HasUtilization
	HasLatency
	HasMemoryShare
	HasTokensWaiting
)

// Engine is one entry of the endpoint list.
type Engine struct {
	ID         string
	Cell, Zone int
	Kind       int // index into Config.Kinds
	State      EngineState
	Weight     float64
	BootTime   float64 // time of its last start; 0 = long ago
}

// EngineState is the state of an engine in the endpoint list.
type EngineState int

// States of a listed engine.
const (
	EngineReady EngineState = iota
	EngineDraining
	EngineRemoved
)

func (s EngineState) String() string { return enumName(int(s), "ready", "draining", "removed") }

// UpdateForm is what the Engines of an EndpointUpdate contain.
type UpdateForm int

// Forms of an EndpointUpdate.
const (
	UpdateIncremental UpdateForm = iota // changes only
	UpdateComplete                      // a complete snapshot
	UpdateStale                         // a complete snapshot that may be outdated
	UpdateFailed                        // no list, because the call failed
)

func (f UpdateForm) String() string {
	return enumName(int(f), "incremental", "complete", "stale", "failed")
}

// enumName returns the name of a value of an enumeration, or its number if it has none.
func enumName(value int, names ...string) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("unknown(%d)", value)
	}
	return names[value]
}
