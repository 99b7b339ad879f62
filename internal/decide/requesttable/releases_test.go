package requesttable

import (
	"maps"
	"slices"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func TestStateOfPrefillAfterDisconnectIsReleased(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	n := startAttempt(t, table, 1, "a", "r0")
	table.ClientDisconnected(1.1, "a", false)
	table.AttemptEnded(1.2, "a", n, prefillDone, nil)
	if releases := commandsOf[ReleaseState](table); len(releases) != 1 || releases[0].Engine != "r0" {
		t.Fatalf("got %v, want one release at r0", releases)
	}
	if n := table.Len(); n != 0 {
		t.Fatalf("got %d records, want 0", n)
	}
}

// A release of all states would free the state of a prefill in flight, so it is deferred until no attempt is in flight and no state is
// needed.
func TestReleaseOfAllStatesWaitsForAttemptsInFlight(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain(0)
	table.AttemptEnded(1.1, "a", 0, writtenBroken, nil)
	if releases := commandsOf[ReleaseState](table); len(releases) != 0 {
		t.Fatalf("got %v while another prefill is in flight, want none", releases)
	}
	table.AttemptEnded(1.2, "a", 1, prefillDone, nil)
	if releases := commandsOf[ReleaseState](table); len(releases) != 0 {
		t.Fatalf("got %v while a state is needed, want none", releases)
	}
	n := startAttempt(t, table, 1.3, "a", "w0")
	table.FirstToken(1.4, "a", n)
	done := outcome.Evidence{Progress: outcome.Streaming, Cause: outcome.ResponseComplete, ResponseKind: outcome.DecodeDone}
	table.AttemptEnded(1.5, "a", n, done, nil)
	releases := commandsOf[ReleaseState](table)
	if len(releases) != 1 || releases[0].Engine != "r0" || releases[0].InterruptedAt != 1.1 {
		t.Fatalf("got %v, want one release at r0 of the attempt that was interrupted at 1.1", releases)
	}
}

// A failed release call is not retried while it would free the state of a newer prefill; the table defers the release instead.
func TestReleaseIsNotRetriedDuringNewPrefill(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Drain(0)
	table.AttemptEnded(1.1, "a", 0, writtenTimeout, nil)
	releases := commandsOf[ReleaseState](table)
	if len(releases) != 1 || !table.ReleaseAllowed(1.2, releases[0]) {
		t.Fatalf("got %v, want one release that may be retried", releases)
	}
	table.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain(0)
	if table.ReleaseAllowed(1.2, releases[0]) {
		t.Fatal("a retry is allowed although it would free the state of the new prefill")
	}
	table.Apply(1.3, scheduler.Reject{ID: "a"})
	table.AttemptEnded(1.4, "a", 1, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}, nil)
	if again := commandsOf[ReleaseState](table); len(again) != 1 {
		t.Fatalf("got %v after the attempt ended, want one release", again)
	}
}

// An engine that computed the prefill itself still holds the state after the attempt has broken.
func TestBrokenDecodeWithoutStateIsReleased(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.AttemptEnded(1.1, "a", n, writtenBroken, nil)
	if releases := commandsOf[ReleaseState](table); len(releases) != 1 || releases[0].Engine != "w0" {
		t.Fatalf("got %v, want one release at w0", releases)
	}
	table.AddRequest(2, newRequest("b", idempotent), 0)
	n = startAttempt(t, table, 2, "b", "w0")
	table.AttemptEnded(2.1, "b", n, engineRejected, nil)
	if releases := commandsOf[ReleaseState](table); len(releases) != 0 {
		t.Fatalf("got %v for an attempt that never ran, want none", releases)
	}
}

// The state of a prefill is released immediately although a release after an interrupted attempt is deferred too: the scheduler
// starts the next attempt together with the release, and that attempt would delay both. Further calls of the other release are
// deferred until that attempt has ended.
func TestStateIsReleasedBeforeNextAttemptStarts(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Drain(0)
	table.AttemptEnded(1.1, "a", 0, writtenCancel, nil)
	interrupted := commandsOf[ReleaseState](table)
	if len(interrupted) != 1 || interrupted[0].InterruptedAt != 1.1 {
		t.Fatalf("got %v, want one release of the attempt that was interrupted at 1.1", interrupted)
	}
	table.Apply(1.1, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain(0)
	if table.ReleaseAllowed(1.15, interrupted[0]) {
		t.Fatal("a retry is allowed although it would free the state of the prefill in flight")
	}
	table.AttemptEnded(1.2, "a", 1, prefillDone, nil)
	n := startAttempt(t, table, 1.2, "a", "w0")
	table.AttemptEnded(1.45, "a", n, unsentBroken, nil)
	table.Drain(0)
	table.Apply(1.45, scheduler.Release{ID: "a"})
	table.Apply(1.45, scheduler.Send{ID: "a", Engine: "w0"})
	releases := commandsOf[ReleaseState](table)
	if len(releases) == 0 || releases[0].InterruptedAt != 0 || releases[0].Engine != "r1" {
		t.Fatalf("got %v, want the state at r1 released at once", releases)
	}
}

// releaseHarness drives one request of a table where one call releases all its states.
type releaseHarness struct {
	t         *rapid.T
	table     *Table
	now       float64
	inFlight  map[int]StartAttempt
	mayBeHeld bool // an engine may hold a state
	forgotten bool
}

// checkCommands drains the commands and checks each.
func (h *releaseHarness) checkCommands() {
	for _, command := range h.table.DrainCommands() {
		switch c := command.(type) {
		case StartAttempt:
			h.inFlight[c.Attempt] = c
		case ReleaseState:
			if len(h.inFlight) > 0 {
				h.t.Fatal("released while an attempt is in flight")
			}
			h.mayBeHeld = false
		case ForgetRequest:
			if h.mayBeHeld {
				h.t.Fatal("forgotten while an engine may hold a state")
			}
			h.forgotten = true
		}
	}
}

// endAttempt ends one attempt in flight, with or without a response.
func (h *releaseHarness) endAttempt() {
	if len(h.inFlight) == 0 {
		return
	}
	n := rapid.SampledFrom(slices.Sorted(maps.Keys(h.inFlight))).Draw(h.t, "attempt")
	start := h.inFlight[n]
	delete(h.inFlight, n)
	causes := []outcome.Cause{outcome.ConnectionBroken, outcome.AttemptTimedOut, outcome.CanceledByScheduler}
	kinds := []outcome.ResponseKind{outcome.PrefillDone, outcome.EngineRejected, outcome.StateMissing}
	evidence := outcome.Evidence{Progress: outcome.RequestWritten, Cause: rapid.SampledFrom(causes).Draw(h.t, "cause")}
	if rapid.Bool().Draw(h.t, "responded") {
		evidence = complete(rapid.SampledFrom(kinds).Draw(h.t, "kind"))
	}
	responded := evidence.Cause == outcome.ResponseComplete
	mayHold := !responded && (start.Stage == outcome.Prefill || !start.FetchState)
	prefilled := responded && evidence.ResponseKind == outcome.PrefillDone
	h.mayBeHeld = h.mayBeHeld || mayHold || prefilled
	h.table.AttemptEnded(h.now, "a", n, evidence, nil)
}

// Property test over random histories of one request: a release is never issued while an attempt is in flight, and every state
// that an engine may hold is released before the request is forgotten.
func TestReleaseOfAllStatesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &releaseHarness{t: t, table: newTableReleasingAll(), now: 1, inFlight: map[int]StartAttempt{}}
		h.table.AddRequest(1, newRequest("a", idempotent), 0)
		h.table.Drain(h.now)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			h.now += 0.01
			switch step := rapid.IntRange(0, 4).Draw(t, "step"); {
			case step == 0:
				engine := rapid.SampledFrom([]string{"r0", "r1", "w0"}).Draw(t, "engine")
				h.table.Apply(h.now, scheduler.Send{ID: "a", Engine: engine})
			case step == 1:
				h.table.Apply(h.now, scheduler.Release{ID: "a"})
			case step == 2 && rapid.Bool().Draw(t, "reject"):
				h.table.Apply(h.now, scheduler.Reject{ID: "a"})
			default:
				h.endAttempt()
			}
			h.checkCommands()
		}
		h.table.Apply(h.now, scheduler.Reject{ID: "a"})
		h.checkCommands()
		for n := range h.inFlight {
			delete(h.inFlight, n)
			ended := outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}
			h.table.AttemptEnded(h.now, "a", n, ended, nil)
			h.mayBeHeld = true
			h.checkCommands()
		}
		if !h.forgotten {
			t.Fatal("the request is not forgotten")
		}
	})
}
