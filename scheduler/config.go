package scheduler

// This file defines the configuration of a Scheduler: the position of its node among all nodes, and the settings of the
// deployment.

// Role is what an engine kind can do.
type Role int

// Roles of an engine kind.
const (
	Prefill Role = iota // computes the state of a prompt
	Decode              // generates a response from a state
	Mixed               // does both
)

func (r Role) String() string { return enumName(int(r), "prefill", "decode", "mixed") }

// Effect is the effect of repeating a request.
type Effect int

// Effects of a repeat.
const (
	Idempotent      Effect = iota // a repeat is harmless
	IdempotentByKey               // engines discard a repeat, within the class's DedupScope and DedupWindow
	AtMostOnce                    // a repeat is never allowed
)

func (e Effect) String() string {
	return enumName(int(e), "idempotent", "idempotent-by-key", "at-most-once")
}

// DedupScope is the set of engines that discard repeats of an IdempotentByKey request.
type DedupScope int

// Scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all engines
	DedupZone                    // the engines of the zone of the first attempt that may have run
	DedupCell                    // the engines of the cell of that attempt
)

func (d DedupScope) String() string { return enumName(int(d), "fleet", "zone", "cell") }

// ReportStyle is the way in which engines report their load.
type ReportStyle int

// Styles of load reports.
const (
	ReportOff     ReportStyle = iota // not at all
	ReportInline                     // in outcomes and probe results
	ReportOnProbe                    // in probe results only
)

func (r ReportStyle) String() string { return enumName(int(r), "off", "inline", "on-probe") }

// Class is one class of requests. Times are in seconds.
type Class struct {
	Effect                 Effect
	DedupScope             DedupScope // for IdempotentByKey: the engines that discard repeats
	DedupWindow            float64    // for IdempotentByKey: time from the first attempt that may have run until they no longer do
	FirstTokenObjective    float64    // latency objective: time to first token
	ObjectivePerHintSecond float64    // added to FirstTokenObjective for each second of the request's DurationHint
	ObjectivePer1KTokens   float64    // added to FirstTokenObjective for each 1,000 prompt tokens
	ClientTimeout          float64    // how long the client waits in total
	OutputTokenObjective   float64    // latency objective: mean time per output token
	PriorityWeight         float64
	LateValue              float64 // share of PriorityWeight that a late response is worth
}

// Kind is one kind of engine.
type Kind struct {
	Role   Role
	Memory float64 // size of the KV cache in tokens; 0 = unknown
}

// Tenant is one account that sends requests.
type Tenant struct {
	Quota float64 // requests per second over all nodes; 0 = no known limit
}

// Limits is what the deployment allows a node.
type Limits struct {
	MaxAttempts int // attempts per request
	// ExemptUnsentAttempts excludes from MaxAttempts the attempts that ended before their request was written.
	ExemptUnsentAttempts bool
	// StateTimeRunsUntilResponse makes the time limit of a waiting state continue during the attempts to fetch it. The limit restarts
	// after an attempt only if the engine has responded.
	StateTimeRunsUntilResponse bool
	Cancel                     bool    // the action Cancel may be used
	Probe                      bool    // the action Probe may be used
	HedgedRequests             bool    // a second attempt may be in flight beside the first; no policy uses it yet
	RetryAfter                 bool    // a Reject may carry a delay
	MaxRetryAfter              float64 // longest such delay, in seconds
}

// Rules holds the parameters of the operators' rules. Times are in seconds.
type Rules struct {
	AnswerSlack       float64 // time after a request's deadline within which it must have its final response (rule 1)
	PollInterval      float64 // longest interval between polls of the endpoint list, if it must be polled
	SlowStartShare    float64 // smallest capacity of an engine in slow start, as a share of its warm capacity
	SlowStartDuration float64 // longest time from an engine's start until it is warm
	DrainGrace        float64 // time after an engine is listed as draining or removed within which sends to it must end (rule 3)
	OverloadMultiple  float64 // most that an engine in slow start may be sent, as a multiple of its capacity then (rule 4)
	SlowStartWindow   float64 // time window over which the sends for OverloadMultiple are counted
	StateReleaseLimit float64 // time within which a reserved state or slot must be used or released (rule 5)
}

// Prices holds what each kind of cost deducts from the result, in points per unit of its rate.
type Prices struct {
	Probe, Waste, CrossZone, LateFailure, Transfer float64
}

// Config is the configuration of a Scheduler. New validates it.
type Config struct {
	NodeIndex, NodeCount int // index of this node, from 0, and number of nodes
	Zone, ZoneCount      int
	Classes              []Class
	Kinds                []Kind
	Tenants              []Tenant
	PollsDiscovery       bool // the endpoint list is sent only on request
	ReportStyle          ReportStyle
	ReservationOffered   bool    // the action Reserve may be used
	DecodeEnginesPrefill bool    // decode engines prefill requests that arrive without a state
	Tick                 float64 // shortest time between two steps, in seconds
	Limits               Limits
	Rules                Rules
	Prices               Prices
}
