package requesttable

import (
	"fmt"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// releaseDuringDecode returns a harness in which a state has been released at its limit while a decode attempt is in flight.
func releaseDuringDecode(t *testing.T, freesAll bool, class int) (h *heldStateHarness, decode int) {
	t.Helper()
	h = newHeldStateHarness(freesAll, class)
	h.end(h.send("r0", true), prefillDone)
	decode = h.send("w0", true)
	h.advanceTo(h.now + releaseLimit)
	if len(h.releases) != 1 || !h.releases[0].AtLimit {
		t.Fatalf("got %+v, want one release at the limit", h.releases)
	}
	return h, decode
}

// Guards against a state that is never released: the release at the limit freed nothing, because a decode attempt was waiting for the state
// at its engine, and the release was not repeated when that attempt ended. The cases are the ways in which an attempt can end.
func TestReleaseDuringDecodeIsRepeatedWhenAttemptEnds(t *testing.T) {
	ends := map[string]func(h *heldStateHarness, n int){
		"canceled":     func(h *heldStateHarness, n int) { h.end(n, writtenCancel) },
		"timed out":    func(h *heldStateHarness, n int) { h.end(n, writtenTimeout) },
		"broken":       func(h *heldStateHarness, n int) { h.end(n, writtenBroken) },
		"engine error": func(h *heldStateHarness, n int) { h.end(n, engineError) },
		"rejected":     func(h *heldStateHarness, n int) { h.end(n, engineRejected) },
		"no state":     func(h *heldStateHarness, n int) { h.end(n, complete(outcome.StateMissing)) },
		"client disconnected": func(h *heldStateHarness, n int) {
			h.table.ClientDisconnected(h.now, "a", false)
			h.end(n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ClientDisconnected})
		},
		"deadline reached": func(h *heldStateHarness, n int) {
			h.table.DeadlineReached(h.now, "a")
			h.end(n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded})
		},
		"node stops": func(h *heldStateHarness, n int) {
			h.table.StopAccepting()
			h.table.RespondToAll(h.now)
			h.end(n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded})
		},
	}
	for _, freesAll := range []bool{true, false} {
		for class := range classes() {
			for name, end := range ends {
				h, decode := releaseDuringDecode(t, freesAll, class)
				h.advanceTo(h.now + 6)
				h.releases = nil
				end(h, decode)
				if len(h.releases) != 1 || h.releases[0].Engine != "r0" || !h.releases[0].Repeated || h.releases[0].HeldSince != h.now {
					t.Errorf("%s, one call frees all %v, class %d: got %+v, want the release repeated", name, freesAll, class, h.releases)
				}
			}
		}
	}
}

// An attempt that responds has fetched the state after all, so no further release is needed.
func TestReleaseDuringDecodeIsNotRepeatedAfterResponse(t *testing.T) {
	h, decode := releaseDuringDecode(t, true, idempotent)
	h.table.FirstToken(h.now, "a", decode)
	h.end(decode, outcome.Evidence{Progress: outcome.Streaming, Cause: outcome.ConnectionBroken})
	if len(h.releases) != 1 {
		t.Errorf("got %+v after the response, want none", h.releases[1:])
	}
}

// A new prefill starts after the end of the decode attempt. A further call of the repeated release would end that prefill, so the release
// is deferred until the new state is released.
func TestRepeatedReleaseDoesNotEndNewPrefill(t *testing.T) {
	h, decode := releaseDuringDecode(t, true, idempotent)
	h.releases = nil
	h.end(decode, writtenCancel)
	if len(h.releases) != 1 {
		t.Fatalf("got %+v at the end of the attempt, want one release", h.releases)
	}
	followUp := h.releases[0]
	followUp.Acknowledged = true
	prefill := h.send("r1", true)
	h.advanceTo(h.now + attemptsBegunAfter)
	if h.table.ReleaseAllowed(h.now, followUp) {
		t.Error("a further call is allowed during the new prefill")
	}
	h.collect()
	h.advanceTo(h.now + 3*releaseLimit)
	if len(h.releases) != 1 {
		t.Errorf("got %+v during the new prefill, want none", h.releases[1:])
	}
	h.end(prefill, prefillDone)
	h.table.Apply(h.now, scheduler.Release{ID: "a"})
	h.collect()
	if len(h.releases) < 2 || h.releases[1].Engine != "r1" {
		t.Errorf("got %s, want the new state released", fmt.Sprint(h.releases[1:]))
	}
}

// Guards against a state that is never released: an engine lost an attempt that it had received, the attempt's connection stayed open and
// silent, and no call was made after the one at the limit.
func TestReleaseDuringSilentDecodeIsRepeated(t *testing.T) {
	const slack = 0.3 // time for which a state may be held beyond the limit (s)
	for _, freesAll := range []bool{true, false} {
		h, _ := releaseDuringDecode(t, freesAll, atMostOnce)
		for range 20 {
			latest := h.releases[len(h.releases)-1]
			h.table.ReleaseAcknowledged(h.now, latest)
			h.collect()
			calls := len(h.releases)
			h.advanceTo(h.now + slack)
			if len(h.releases) != calls+1 {
				t.Fatalf("one call frees all %v: got %d calls in %.1f s, want one", freesAll, len(h.releases)-calls, slack)
			}
		}
		h.advanceTo(h.now + 3)
		if len(h.releases) != 21 {
			t.Errorf("one call frees all %v: got %d calls although the latest is not acknowledged", freesAll, len(h.releases)-21)
		}
	}
}

// A repeated release would free the state of a new prefill, or end the prefill. The release at the limit of the new state covers both.
func TestReleaseIsNotRepeatedDuringPrefill(t *testing.T) {
	h, _ := releaseDuringDecode(t, true, idempotent)
	h.send("r1", true)
	h.table.ReleaseAcknowledged(h.now, h.releases[0])
	h.collect()
	h.advanceTo(h.now + 5)
	if len(h.releases) != 1 {
		t.Errorf("got %+v during the prefill, want none", h.releases[1:])
	}
}

// Guards against a state that stays held during an attempt that never reaches its engine. The release call at the end of the previous
// attempt arrived before its engine noticed that end, and the follow-up call a moment later was deferred because of the next attempt. The
// next attempt waits for the follow-up call, so the call must not be deferred.
func TestFollowUpCallPrecedesNextAttempt(t *testing.T) {
	for _, next := range []string{"r1", "w1"} {
		h, decode := releaseDuringDecode(t, true, idempotent)
		h.end(decode, writtenCancel)
		followUp := h.releases[len(h.releases)-1]
		followUp.Acknowledged = true
		h.send(next, true)
		h.advanceTo(h.now + 0.03)
		if !h.table.ReleaseAllowed(h.now, followUp) {
			t.Errorf("next attempt at %s: the call is deferred although the attempt waits for it", next)
		}
		h.advanceTo(h.now + attemptsBegunAfter)
		if h.table.ReleaseAllowed(h.now, followUp) {
			t.Errorf("next attempt at %s: a call is allowed although the attempt has begun", next)
		}
	}
}

// An attempt that started before another one ended does not wait for the follow-up call, which would therefore end it.
func TestFollowUpCallDoesNotEndEarlierAttempt(t *testing.T) {
	h := newHeldStateHarness(true, idempotent)
	first := h.send("r0", true)
	h.advanceTo(h.now + 0.2)
	h.send("r1", true)
	h.advanceTo(h.now + 0.2)
	h.end(first, writtenCancel)
	release := ReleaseState{ID: "a", Engine: "r0", HeldSince: h.now, LastUnanswered: UnansweredAttempt{Engine: "r0", At: h.now}}
	if h.table.ReleaseAllowed(h.now+0.03, release) {
		t.Error("a call is allowed during a prefill that started earlier")
	}
}

// Guards against two releases of one state at the end of an attempt: follow-up calls are made only after the end of the decode attempt in
// flight, and not already after the release during that attempt.
func TestReleaseDuringDecodeHasNoFollowUpCalls(t *testing.T) {
	h := newHeldStateHarness(true, idempotent)
	h.end(h.send("r0", true), prefillDone)
	h.end(h.send("w0", true), writtenCancel)
	h.send("w1", true)
	h.advanceTo(h.now + releaseLimit)
	if len(h.releases) != 1 || h.releases[0].LastUnanswered.At != 0 {
		t.Errorf("got %+v, want one release without an ended attempt", h.releases)
	}
}
