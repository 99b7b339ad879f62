package scheduler

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
