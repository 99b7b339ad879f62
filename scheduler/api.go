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
	Read Role = iota
	Write
	Mixed
)

// Effect says what repeating a request of a class does.
type Effect int

// Effects: repeats are harmless, discarded within a group by key, or never allowed.
const (
	Repeatable Effect = iota
	ByKey
	Once
)

// Group is the set of engines that discard repeats of a ByKey request.
type Group int

// Groups of engines: all, those of a zone, those of a cell.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
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
	Effect     Effect
	Group      Group   // ByKey: who discards repeats
	KeyTTL     float64 // ByKey: for how long, from the first attempt that may have run
	Aim        float64 // first token wanted within
	AimStretch float64 // more aim for each second of hinted work
	AimPerK    float64 // more aim for each 1,000 prompt tokens
	HardLimit  float64 // the client's whole patience
	TokenAim   float64 // wanted mean time between tokens
	Worth      float64
	LateValue  float64 // share of the worth that a late answer earns
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
	// UnsentFree tells that attempts which ended before their request was written do not count towards MaxAttempts.
	UnsentFree bool
	// HoldRunsOn tells that the time for which a state may wait keeps running while connections fail to come up.
	HoldRunsOn    bool
	Cancel        bool
	Probe         bool
	ParallelTries bool
	RetryAfter    bool
	MaxRetryAfter float64
}

// Rules are the figures of the operators' rules.
type Rules struct {
	AnswerSlack  float64
	AskEvery     float64 // OnRequest: ask at least this often
	ColdShare    float64 // a cold engine's least share of its capacity
	ColdFor      float64 // and when it is warm at the latest
	DrainGrace   float64
	FallMultiple float64
	TipAfter     float64
	LetGoBy      float64 // held state or place must be used or released within
}

// Prices are points of the result, each times its rate.
type Prices struct {
	Probe, Waste, CrossZone, LateFail, Transfer float64
}

// Config is what a router is told at its start.
type Config struct {
	Rank, Balancers int // this router's number and how many there are
	Zone, Zones     int
	Classes         []Class
	Kinds           []Kind
	Tenants         []Tenant
	OnRequest       bool // the engine list comes only when asked for
	Report          ReportStyle
	Ahead           bool // Reserve is offered
	LocalRead       bool // writers read prompts that come without a state
	Tick            float64
	Limits          Limits
	Rules           Rules
	Prices          Prices
}

// Report is an engine's own figures of its load. Has tells which were given.
type Report struct {
	Active, Waiting, Util, LatencyMS, MemShare, TokensWaiting float64
	Has                                                       ReportField
}

// ReportField is a set of figures of a Report.
type ReportField uint8

// The figures that a Report may hold.
const (
	HasActive ReportField = 1 << iota
	HasWaiting
	HasUtil
	HasLatency
	HasMemShare
	HasTokensWaiting
)

// EngineState is what the engine list says of an engine.
type EngineState int

// States of a listed engine.
const (
	Ready EngineState = iota
	Draining
	Removed
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

// ListForm says how a list of engines is to be read.
type ListForm int

// Forms of a list: changes, complete, complete but perhaps outdated, or a failed call.
const (
	ListChanges ListForm = iota
	ListFull
	ListWarm
	ListLost
)

// Status says how an attempt or a probe ended.
type Status int

// Statuses of an attempt. TurnedAway, NoConnection, NotSent and Parsed prove that the
// request never ran.
const (
	Served Status = iota
	ServerError
	TurnedAway
	NoAnswer
	NoConnection
	ConnectionLost
	CalledOff
	NotSent
	Parsed
)

// Event is something that a router learns.
type Event interface{ event() }

// Request is a client's request; one final answer is owed to it.
type Request struct {
	ID                           string
	Class, Tenant                int
	Session, Prefix              string
	TimeLeft                     float64 // until the client gives this try up
	Hint                         float64 // rough time of the answer at the class's pace; 0 = none
	PromptLen, PrefixLen, MaxOut float64
	Retry, Returned              bool
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
	Report  *Report
}

// First tells that the answer has begun to stream.
type First struct {
	ID      string
	Attempt int
	Engine  string
	Spent   float64
}

// Gone tells that the client has left.
type Gone struct{ ID string }

// Held answers a Reserve.
type Held struct {
	ID      string
	Attempt int
	Engine  string
	OK      bool
}

// Members is a list of engines, or of changes to it.
type Members struct {
	Form    ListForm
	Engines []Engine
}

// Probed is the result of a Probe.
type Probed struct {
	Engine string
	Status Status
	Spent  float64
	Report *Report
}

// Wake is a timer that has fallen due.
type Wake struct{ Token int64 }

// Peer is a message from another router.
type Peer struct {
	From int
	Data []byte
}

func (Request) event() {}
func (Outcome) event() {}
func (First) event()   {}
func (Gone) event()    {}
func (Held) event()    {}
func (Members) event() {}
func (Probed) event()  {}
func (Wake) event()    {}
func (Peer) event()    {}

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

// Refuse is a final answer: a further try is harmless.
type Refuse struct {
	ID         string
	RetryAfter float64
	Why        GiveUp
}

// Fail is a final answer without any such promise.
type Fail struct {
	ID  string
	Why GiveUp
}

// GiveUp says why a request is given up. It is for people alone: nothing is decided by it.
type GiveUp string

// Reasons to give up.
const (
	TimeIsUp      GiveUp = "its time is nearly up"
	TooLate       GiveUp = "no engine can begin the answer while it has any worth"
	NoAttemptLeft GiveUp = "it has had as many attempts as it may"
	MayRunTwice   GiveUp = "a further attempt could run it twice"
)

// Timer asks for a Wake at a time.
type Timer struct {
	At    float64
	Token int64
}

// Probe asks an engine for its health and load.
type Probe struct{ Engine string }

// Watch subscribes to changes of the engine list; Fetch asks for it once.
type Watch struct{ On bool }

// Fetch asks for the complete engine list once.
type Fetch struct{}

// Log is a line for the operators.
type Log struct{ Text string }

func (Send) action()    {}
func (Cancel) action()  {}
func (Reserve) action() {}
func (Release) action() {}
func (Refuse) action()  {}
func (Fail) action()    {}
func (Timer) action()   {}
func (Probe) action()   {}
func (Watch) action()   {}
func (Fetch) action()   {}
func (Log) action()     {}

// check names the first field of the Config that cannot be.
func (c *Config) check() error {
	switch {
	case c.Balancers < 1:
		return fmt.Errorf("scheduler: Balancers is %d", c.Balancers)
	case c.Rank < 0 || c.Rank >= c.Balancers:
		return fmt.Errorf("scheduler: Rank %d is not under Balancers %d", c.Rank, c.Balancers)
	case len(c.Classes) == 0:
		return fmt.Errorf("scheduler: Classes is empty")
	case len(c.Kinds) == 0:
		return fmt.Errorf("scheduler: Kinds is empty")
	case c.Limits.MaxAttempts < 1:
		return fmt.Errorf("scheduler: Limits.MaxAttempts is %d", c.Limits.MaxAttempts)
	case c.Zone < 0 || c.Zones > 0 && c.Zone >= c.Zones:
		return fmt.Errorf("scheduler: Zone %d is not under Zones %d", c.Zone, c.Zones)
	case !(c.Tick >= 0):
		return fmt.Errorf("scheduler: Tick is %g", c.Tick)
	}
	for i, k := range c.Classes {
		if !(k.Aim >= 0 && k.AimPerK >= 0 && k.AimStretch >= 0 && k.TokenAim >= 0 && k.HardLimit >= 0 && k.KeyTTL >= 0) {
			return fmt.Errorf("scheduler: Classes[%d] has a negative time", i)
		}
		if k.Effect < Repeatable || k.Effect > Once {
			return fmt.Errorf("scheduler: Classes[%d].Effect is %d", i, k.Effect)
		}
	}
	for i, k := range c.Kinds {
		if k.Role < Read || k.Role > Mixed || !(k.Memory >= 0) {
			return fmt.Errorf("scheduler: Kinds[%d] has an unknown Role or negative Memory", i)
		}
	}
	u := c.Rules
	if !(u.ColdFor >= 0 && u.ColdShare >= 0 && u.FallMultiple >= 0 && u.TipAfter >= 0 && u.LetGoBy >= 0 &&
		u.AskEvery >= 0 && u.DrainGrace >= 0 && u.AnswerSlack >= 0) {
		return fmt.Errorf("scheduler: Rules has a negative figure")
	}
	return nil
}
