// Package soak plays many real processes of `dillroute serve --relay` on loopback under faults that overlap in time: stops, kills,
// restarts, new configurations, failing discovery, engines and connections that misbehave, bad clients, system calls that fail and wall
// clocks that are stepped. The rules (lab/rules) judge what passed on the sockets; the nodes' logs and exit statuses are evaluated as
// well. Everything is drawn from one seed. Times vary with the load of the machine.
package soak

import (
	"fmt"
	"time"

	"dillroute/lab/record"
)

// Scenario is what is to be played.
type Scenario struct {
	Seed           uint64
	Nodes          int
	ClientsPerNode int
	Duration       time.Duration // in which faults begin
	Program        string        // the node's program, linked against the C library
	ClockLib       string        // the library that steps clocks (BuildClock)
	Directory      string        // for logs and configurations
	Faults         []string      // names of those that are drawn from; empty = all
	Parallel       int           // faults at a time
}

// Times of a scenario.
const (
	warmUp         = time.Second     // before the first fault
	recoveryTime   = 8 * time.Second // after the last fault
	recoveryWindow = 4 * time.Second // the last part of it, in which all should be well again
)

// Finding is something that must not happen.
type Finding struct {
	At   time.Duration // since the scenario began
	Kind string        // "rule N", log, crash, start, ready, reload, bad client, setup or recovery
	Text string
}

func (f Finding) String() string {
	return fmt.Sprintf("%7.3f s %s: %s", f.At.Seconds(), f.Kind, f.Text)
}

// FaultEvent is a fault as it was injected.
type FaultEvent struct {
	At       time.Duration // since the scenario began
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
	RecoveryOutcomes map[record.Outcome]int // of the last seconds, when all faults were over
	Unanswered       int                    // requests on reused connections that closed without a response
	FailedCalls      map[string]int         // system calls that were made to fail, by number and error
}
