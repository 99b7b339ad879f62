package requesttable

import (
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// A rejection that promises a safe retry needs proof from the bytes of every attempt that it has not run. The fact that prefills
// have no effect is no such proof, because an engine that did not respond as a prefill engine may be another one. If every engine
// discards repeats, the promise is true without proof, but of no use to a client without time left for a retry.
func TestRetrySafeRejectionNeedsProofForEveryAttempt(t *testing.T) {
	malformed := outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.MalformedResponse}
	brokenWrite := outcome.Evidence{Progress: outcome.Connected, Cause: outcome.ConnectionBroken}
	for _, c := range []struct {
		name     string
		class    int
		evidence outcome.Evidence
		at       float64 // the client's deadline is 6
		retry    bool
	}{
		{"at most once, silent, time left", atMostOnce, writtenTimeout, 3, false},
		{"at most once, silent, no time left", atMostOnce, writtenTimeout, 5.98, false},
		{"at most once, engine error, time left", atMostOnce, engineError, 3, false},
		{"at most once, malformed response, time left", atMostOnce, malformed, 3, false},
		{"keyed in a cell, silent, time left", keyedInCell, writtenTimeout, 3, false},
		{"keyed in the fleet, silent, time left", keyedInFleet, writtenTimeout, 3, true},
		{"keyed in the fleet, silent, no time left", keyedInFleet, writtenTimeout, 5.98, false},
		{"idempotent, no time left", idempotent, writtenTimeout, 5.98, true},
		{"at most once, never written", atMostOnce, brokenWrite, 5.98, true},
		{"at most once, rejected by the engine", atMostOnce, engineRejected, 5.98, true},
		{"at most once, prefill done", atMostOnce, prefillDone, 3, true},
	} {
		for _, by := range []string{"the scheduler", "the table"} {
			table := newTable()
			table.AddRequest(1, newRequest("a", c.class), 0)
			n := startAttempt(t, table, 1, "a", "r0") // a prefill engine, where by the protocol an attempt has no effect
			table.AttemptEnded(2, "a", n, c.evidence, nil)
			if by == "the scheduler" {
				table.Apply(c.at, scheduler.Reject{ID: "a"})
			} else {
				table.RespondToAll(c.at)
			}
			responses := commandsOf[Respond](table)
			if len(responses) != 1 || responses[0].Response.RetryIsSafe != c.retry {
				t.Errorf("%s, ended by %s: got %+v, want one response with RetryIsSafe %v", c.name, by, responses, c.retry)
			}
		}
	}
}

// While an attempt is in flight, nothing proves that it has not run.
func TestRejectionWhileAttemptIsInFlight(t *testing.T) {
	for class, retry := range map[int]bool{idempotent: true, atMostOnce: false, keyedInCell: false, keyedInFleet: true} {
		table := newTable()
		table.AddRequest(1, newRequest("a", class), 0)
		startAttempt(t, table, 1, "a", "r0")
		table.RespondToAll(3)
		if responses := commandsOf[Respond](table); len(responses) != 1 || responses[0].Response.RetryIsSafe != retry {
			t.Errorf("class %d: got %+v, want one response with RetryIsSafe %v", class, responses, retry)
		}
	}
}

func TestFinalResponseWaitsForStreamingAttemptToEnd(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.FirstToken(1.1, "a", n)
	table.DrainCommands()
	table.RespondToAll(2)
	if responses := commandsOf[Respond](table); len(responses) != 0 {
		t.Fatalf("got %+v while the attempt writes to the client, want none", responses)
	}
	table.AttemptEnded(2.1, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	if responses := commandsOf[Respond](table); len(responses) != 1 || responses[0].Response.RetryIsSafe {
		t.Fatalf("got %+v, want one response that promises no safe retry", responses)
	}
}

func TestUnstreamedResponseIsCutBeforeClientTimeout(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 8)
	n := startAttempt(t, table, 1, "a", "w0")
	table.FirstToken(2, "a", n)
	at, _ := table.Deadline("a")
	table.DeadlineReached(at-0.5, "a")
	if cancels := commandsOf[CancelAttempt](table); len(cancels) != 0 || at > 9 || at < 8 {
		t.Fatalf("got %v before a deadline of %g, want none before one within 8 and 9", cancels, at)
	}
	table.DeadlineReached(at, "a")
	if cancels := commandsOf[CancelAttempt](table); len(cancels) != 1 {
		t.Fatalf("got %v at the deadline, want one cancellation", cancels)
	}
	table.AttemptEnded(at+0.01, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	responses := commandsOf[Respond](table)
	if len(responses) != 1 || responses[0].Response.RetryIsSafe || responses[0].Response.Code != "answer_too_slow" {
		t.Fatalf("got %+v, want one response answer_too_slow that promises no safe retry", responses)
	}
}
