// Package rules checks the records of a run's socket traffic against the five rules. It imports no package of the router, so that
// a fault of the router cannot hide from the checker. The code of each rule is in a file of its own. A Checker processes records during
// a run; Check processes the records of a completed run.
package rules

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"dillroute/lab/record"
)

// Config holds the limits of the rules and describes the engines and request classes of the run. Times are in seconds.
type Config struct {
	Classes           map[string]Class
	Engines           map[string]Engine
	AnswerSlack       float64 // rule 1: how long after the end of the client's patience a response may arrive
	StatedTimeSlack   float64 // rule 1: maximum excess of the time stated to an engine over the client's remaining time; 0 = not checked
	DrainGrace        float64 // rule 3: grace period after which no attempt may be sent
	ListLag           float64 // rule 3: time that a node may take to read a delivered endpoint list
	OverloadMultiple  float64 // rule 4: maximum work sent, as a multiple of the engine's capacity in slow start
	SlowStartWindow   float64 // rule 4: length of the window over which work is summed
	StateReleaseLimit float64 // rule 5: maximum time that a state may wait while no attempt to fetch it is in flight
	Skew              float64 // tolerance for clock skew, scheduling and socket delays
}

// Class holds the properties of a request class that the rules need.
type Class struct {
	Effect string  // repeatable, by_key or once
	Group  string  // all, zone or cell: where a by_key request may be repeated
	KeyTTL float64 // deduplication window of a by_key request (s)
}

// Engine holds the properties of an engine that the rules need. The rates are those after slow start, in the tokens of the records:
// prompt tokens for the prefill stage, response tokens for the decode stage.
type Engine struct {
	Cell, Zone             string
	PrefillTokensPerSecond float64
	DecodeTokensPerSecond  float64
	SlowStartShare         float64 // fraction of these rates that the engine reaches at its start
	SlowStartSeconds       float64 // duration of slow start
}

// Violation is one violation of a rule.
type Violation struct {
	Rule int     // 1 to 5; 0 = the text of a response is wrong
	T    float64 // time (Unix seconds)
	Text string
}

// String returns the violation as a report prints it.
func (v Violation) String() string {
	if v.Rule == 0 {
		return "incorrect response text: " + v.Text
	}
	return fmt.Sprintf("rule %d: %s", v.Rule, v.Text)
}

const (
	// horizon is how long the checker retains an operation after its last record, and a state after it has become idle (s). A
	// violation that becomes visible only after that is not detected.
	horizon = 30.0
	// sweepInterval is the time between two passes that delete entries older than the horizon (s).
	sweepInterval = horizon / 4
	// killHorizon is how long the checker retains the time at which a node was killed (s).
	killHorizon = 10 * horizon
	// violationsPerRule is the maximum number of violations per rule whose text is stored; all violations are counted.
	violationsPerRule = 25
)

// Checker checks the rules during a run. Its memory use depends on the number of events within the horizon, not on the length of the
// run. It is not safe for concurrent use.
type Checker struct {
	reorder    reorderBuffer
	findings   *findings
	kills      *nodeKills
	operations *operationRules
	drain      *drainRule
	slowStart  *slowStartRule
	states     *stateReleaseRule
	lastSweep  float64
}

// NewChecker returns a checker that has processed no records yet.
func NewChecker(config Config) *Checker {
	found := &findings{counts: map[int]int{}}
	kills := &nodeKills{skew: config.Skew, times: map[string][]float64{}}
	return &Checker{
		findings:   found,
		kills:      kills,
		operations: &operationRules{config: config, findings: found, kills: kills, operations: map[string]*operation{}},
		drain:      &drainRule{config: config, findings: found, delivered: map[nodeEngine]record.Record{}},
		slowStart:  newSlowStartRule(config, found),
		states:     newStateReleaseRule(config, found, kills),
	}
}

// Check returns the violations in the records of a completed run, ordered by time.
func Check(records []record.Record, config Config) []Violation {
	checker := NewChecker(config)
	for _, r := range records {
		checker.Add(r)
	}
	return checker.Close()
}

// Add adds a record. Records may be out of order by up to reorderWindow (0.5 s).
func (c *Checker) Add(r record.Record) {
	c.reorder.add(r)
	for {
		next, ok := c.reorder.nextDue()
		if !ok {
			return
		}
		c.check(next)
	}
}

// Close checks the remaining records and returns the stored violations, ordered by time. Of each rule, only the first
// violationsPerRule violations are stored.
func (c *Checker) Close() []Violation {
	for {
		next, ok := c.reorder.next()
		if !ok {
			break
		}
		c.check(next)
	}
	c.operations.close()
	c.states.close(c.reorder.latest)
	slices.SortStableFunc(c.findings.violations, func(a, b Violation) int { return cmp.Compare(a.T, b.T) })
	return c.findings.violations
}

// ViolationCount returns the number of violations found so far, over all rules.
func (c *Checker) ViolationCount() int {
	total := 0
	for _, n := range c.findings.counts {
		total += n
	}
	return total
}

// ViolationsByRule returns the number of violations by rule; rule 0 counts incorrect response texts.
func (c *Checker) ViolationsByRule() map[int]int { return maps.Clone(c.findings.counts) }

// SlowStartUse returns the greatest fraction of a slow-start budget (SlowStartUse.Share) that was used so far.
func (c *Checker) SlowStartUse() SlowStartUse { return c.slowStart.peak }

// check passes one record to every rule; records must be passed in order of time.
func (c *Checker) check(r record.Record) {
	c.kills.observe(r)
	c.operations.observe(r)
	c.drain.observe(r)
	c.slowStart.observe(r)
	c.states.observe(r)
	if r.T > c.lastSweep+sweepInterval {
		c.lastSweep = r.T
		c.operations.sweep(r.T)
		c.kills.sweep(r.T)
		c.states.sweep(r.T)
	}
}

// findings counts the violations of all rules and stores the first ones.
type findings struct {
	violations []Violation
	counts     map[int]int // by rule
}

// report counts a violation and stores its text if it is among the first violationsPerRule of its rule.
func (f *findings) report(rule int, at float64, format string, args ...any) {
	f.counts[rule]++
	if f.counts[rule] <= violationsPerRule {
		f.violations = append(f.violations, Violation{Rule: rule, T: at, Text: fmt.Sprintf(format, args...)})
	}
}

// nodeEngine is a pair of a node and an engine.
type nodeEngine struct{ node, engine string }

// nodeKills holds the times at which nodes were killed (Unix seconds). A missing response to a request that was in flight on a killed
// node is no violation, because the client has to retry it. Neither is a late release of that node's states.
type nodeKills struct {
	skew  float64
	times map[string][]float64 // by node
}

func (k *nodeKills) observe(r record.Record) {
	if r.Kind == record.NodeKilled {
		k.times[r.Node] = append(k.times[r.Node], r.T)
	}
}

// within reports whether the node was killed between two times, extended by skew on both sides.
func (k *nodeKills) within(node string, from, to float64) bool {
	return slices.ContainsFunc(k.times[node], func(at float64) bool { return at >= from-k.skew && at <= to+k.skew })
}

func (k *nodeKills) sweep(now float64) {
	for node, times := range k.times {
		k.times[node] = slices.DeleteFunc(times, func(at float64) bool { return at < now-killHorizon })
	}
}
