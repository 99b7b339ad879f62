// Package soak runs many real processes of `dillroute serve --relay` on loopback under faults that overlap in time: stops, kills,
// restarts, new configurations, failing discovery, faulty engines and connections, bad clients, failing system calls and stepped wall
// clocks. It checks the recorded traffic against the rules (lab/rules), and the nodes' logs and exit statuses for errors. All random
// choices are drawn from one seed, but times vary with the load of the machine.
package soak

import (
	"fmt"
	"time"

	"dillroute/lab/record"
)

// Scenario describes one run.
type Scenario struct {
	Seed           uint64
	Nodes          int
	Engines        int // number of engines at the start, half prefill and half decode; 0: those of initialEngineRoles
	ClientsPerNode int
	Duration       time.Duration // length of the period in which faults begin
	Program        string        // path of the node's program, which must be linked against the C library
	ClockLib       string        // path of the library that steps clocks (BuildClock)
	Directory      string        // directory for logs and configurations
	Faults         []string      // names of the faults that may be drawn; empty: all
	Parallel       int           // number of concurrent faults; at least 1 is used
}

// Times of a scenario.
const (
	warmUp         = time.Second     // before the first fault
	recoveryTime   = 8 * time.Second // after the last fault
	recoveryWindow = 4 * time.Second // last part of recoveryTime, in which the fleet must serve again
)

// Finding is an observation of something that must not happen.
type Finding struct {
	At   time.Duration // since the start of the scenario
	Kind string        // "rule N", log, crash, start, ready, reload, bad client, setup or recovery
	Text string
}

func (f Finding) String() string {
	return fmt.Sprintf("%7.3f s %s: %s", f.At.Seconds(), f.Kind, f.Text)
}

// FaultEvent describes an injected fault.
type FaultEvent struct {
	At       time.Duration // since the start of the scenario
	Duration time.Duration
	Text     string
}

func (e FaultEvent) String() string {
	return fmt.Sprintf("%7.3f s for %.3f s: %s", e.At.Seconds(), e.Duration.Seconds(), e.Text)
}

// Report is the result of a scenario.
type Report struct {
	Findings         []Finding
	Events           []FaultEvent
	Outcomes         map[record.Outcome]int
	RecoveryOutcomes map[record.Outcome]int // numbers of attempts in the recovery window, by outcome
	Unanswered       int                    // requests on reused connections that closed without a response
	FailedCalls      map[string]int         // numbers of failed system calls, by call number and error
}
