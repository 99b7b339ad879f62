package soak

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// Minimum shares of served requests in the recovery window, when all faults are over.
const (
	minServedShare     = 0.9 // of the whole fleet
	minNodeServedShare = 0.7 // of each node
	minNodeRequests    = 12  // a node with fewer requests isn't checked, because its share is mostly chance
)

// An unanswered request is no finding if its node was killed less than killWindowBefore before or killWindowAfter after the request was
// sent (s).
const (
	killWindowBefore = 0.2
	killWindowAfter  = 6
)

// rulesConfig returns the configuration of the rule checker, with the limits that the platform's settings and pages state.
func (f *Fleet) rulesConfig() rules.Config {
	config := rules.Config{
		Classes: map[string]rules.Class{
			"chat":   {Effect: "repeatable", Group: "all"},
			"commit": {Effect: "once", Group: "all"},
			"keyed":  {Effect: "by_key", Group: "cell", KeyTTL: keyedDeduplicationWindow},
		},
		Engines:           map[string]rules.Engine{},
		AnswerSlack:       0.058,
		StatedTimeSlack:   0.15 + newConnectionDelay.Seconds(),
		DrainGrace:        0.3,
		StateReleaseLimit: 1.3,
		Skew:              0.25, // delay that a loaded machine may add
	}
	for _, id := range f.engineIDs {
		config.Engines[id] = rules.Engine{Cell: strconv.Itoa(cellOf(id))}
	}
	return config
}

// cellOf returns the cell of an engine, according to the number in its ID.
func cellOf(id string) int {
	_, text, _ := strings.Cut(id, "-")
	number, _ := strconv.Atoi(text)
	return number % cells
}

// evaluate returns the findings and the figures of a scenario that has ended.
func (f *Fleet) evaluate() *Report {
	received := map[string]string{}
	for _, n := range f.nodes {
		n.checkLogs(received)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evaluateUnanswered(received)
	for _, violation := range rules.Check(f.log.All(), f.rulesConfig()) {
		f.addFinding(f.sinceStart(violation.T), fmt.Sprintf("rule %d", violation.Rule), violation.Text)
	}
	f.evaluateRecovery()
	slices.SortStableFunc(f.findings, func(a, b Finding) int { return int(a.At - b.At) })
	report := &Report{
		Findings:         f.findings,
		Events:           f.events,
		Outcomes:         f.outcomes,
		RecoveryOutcomes: f.recoveryOutcomes,
		Unanswered:       len(f.unanswered),
		FailedCalls:      map[string]int{},
	}
	for _, n := range f.nodes {
		n.process.supervisor.addFailed(report.FailedCalls)
	}
	return report
}

// sinceStart converts Unix seconds into the time since the scenario began.
func (f *Fleet) sinceStart(t float64) time.Duration {
	return time.Duration((t - float64(f.startedAt.UnixNano())/1e9) * float64(time.Second))
}

// addFinding adds a finding. The caller holds the lock.
func (f *Fleet) addFinding(at time.Duration, kind, text string) {
	f.findings = append(f.findings, Finding{At: at, Kind: kind, Text: text})
}

// evaluateUnanswered reports requests that a node received and did not answer, unless the node was killed. received maps the IDs of
// received requests to the names of their nodes. The caller holds the lock.
func (f *Fleet) evaluateUnanswered(received map[string]string) {
	for _, r := range f.unanswered {
		node, found := received[r.id]
		if !found || f.killedAt(r.node, r.sentAt) {
			continue
		}
		text := fmt.Sprintf("%s (%s) was received by %s, but its connection closed without a response", r.operation, r.id, node)
		f.addFinding(f.sinceStart(r.sentAt), "rule 1", text)
	}
}

// killedAt reports whether a node was killed between killWindowBefore before and killWindowAfter after the time t (Unix seconds).
func (f *Fleet) killedAt(n *Node, t float64) bool {
	for _, x := range f.log.All() {
		if x.Kind == record.NodeKilled && x.Node == n.name && x.T > t-killWindowBefore && x.T < t+killWindowAfter {
			return true
		}
	}
	return false
}

// evaluateRecovery checks that the shares of requests served in the recovery window, of the fleet and of each node, reach their minimums.
// The caller holds the lock.
func (f *Fleet) evaluateRecovery() {
	end := time.Since(f.startedAt)
	served, total := servedOf(f.recoveryOutcomes)
	if total > 0 && served < minServedShare*total {
		f.addFinding(end, "recovery", fmt.Sprintf("%v in the last %v", f.recoveryOutcomes, recoveryWindow))
	}
	for name, outcomes := range f.recoveryByNode {
		served, total := servedOf(outcomes)
		if total >= minNodeRequests && served < minNodeServedShare*total {
			f.addFinding(end, "recovery", fmt.Sprintf("%s: %v in the last %v", name, outcomes, recoveryWindow))
		}
	}
}

// servedOf returns the numbers of served requests and of all requests.
func servedOf(outcomes map[record.Outcome]int) (served, total float64) {
	for outcome, n := range outcomes {
		if outcome == record.Served {
			served += float64(n)
		}
		total += float64(n)
	}
	return served, total
}
