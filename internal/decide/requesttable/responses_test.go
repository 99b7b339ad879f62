package requesttable

import (
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// A refusal says that a retry is harmless, and needs proof for every attempt from its bytes alone: that a read has no effect is
// none, for an engine that did not answer as one that reads may be another. Where every engine discards repeats a refusal is true
// all the same, but of no use when the client's time is up.
func TestRetrySafeRejectionNeedsProofForEveryAttempt(t *testing.T) {
	unheard := outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}
	failed := outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineError}
	for _, c := range []struct {
		name  string
		class int
		facts outcome.Evidence
		at    float64 // of 6
		retry bool
	}{
		{"once, not heard of, time left", 1, unheard, 3, false}, {"once, not heard of, none left", 1, unheard, 5.98, false},
		{"once, an error, time left", 1, failed, 3, false},
		{"once, spoilt, time left", 1, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.MalformedResponse}, 3, false},
		{"keyed in a cell, not heard of, time left", 2, unheard, 3, false},
		{"keyed everywhere, not heard of, time left", 3, unheard, 3, true},
		{"keyed everywhere, not heard of, none left", 3, unheard, 5.98, false}, {"repeatable, none left", 0, unheard, 5.98, true},
		{"once, never written", 1, outcome.Evidence{Progress: outcome.Connected, Cause: outcome.ConnectionBroken}, 5.98, true},
		{"once, turned away", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineRejected}, 5.98, true},
		{"once, read", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, 3, true},
	} {
		for _, how := range []string{"by the module", "by the book"} {
			table := newTable()
			table.AddRequest(1, newRequest("a", c.class), 0)
			n := startAttempt(t, table, 1, "a", "r0") // r0 reads: an attempt there has no effect by the protocol
			table.AttemptEnded(2, "a", n, c.facts, nil)
			if how == "by the module" {
				table.Apply(c.at, scheduler.Reject{ID: "a"})
			} else {
				table.RespondToAll(c.at)
			}
			xs := commandsOf[Respond](table)
			if len(xs) != 1 || xs[0].Response.RetryIsSafe != c.retry {
				t.Errorf("%s, %s: %+v", c.name, how, xs)
			}
		}
	}
}

// A refusal while an attempt is out rests on what that has not told yet.
func TestRejectionWhileAttemptIsInFlight(t *testing.T) {
	for class, retry := range map[int]bool{0: true, 1: false, 2: false, 3: true} {
		table := newTable()
		table.AddRequest(1, newRequest("a", class), 0)
		startAttempt(t, table, 1, "a", "r0")
		table.RespondToAll(3)
		if xs := commandsOf[Respond](table); len(xs) != 1 || xs[0].Response.RetryIsSafe != retry {
			t.Errorf("class %d: got %+v, want a refusal %v", class, xs, retry)
		}
	}
}
