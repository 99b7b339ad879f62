package rules_test

import (
	"testing"

	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// A node violates rule 1 if it states more time to an engine than its client has left. A violation is reported only beyond
// StatedTimeSlack (0.15 s).
func TestExcessiveStatedTimeIsReported(t *testing.T) {
	for _, c := range []struct {
		stated float64
		want   int
	}{{1.9, 0}, {2.1, 0}, {2.3, 1}} {
		got := rules.Check([]record.Record{
			{T: 100, Kind: record.RequestSent, Op: "a", Class: "chat", Node: "n", Tokens: 3},
			{T: 101, Kind: record.AttemptArrived, Op: "a", Class: "chat", Node: "n", Engine: "e", Note: "decode", StatedTime: c.stated},
			{T: 102, Kind: record.FinalResponse, Op: "a", Class: "chat", Node: "n", Outcome: record.Rejected},
		}, rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable"}}, StatedTimeSlack: 0.15})
		if len(got) != c.want {
			t.Errorf("stated %g s with 2 s left: got %v, want %d violations", c.stated, got, c.want)
		}
	}
}
