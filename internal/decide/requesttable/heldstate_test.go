package requesttable

import (
	"fmt"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

// heldStateHarness drives a table with one request, in simulated time. It calls HeldStateDue at the time for which the table has asked.
type heldStateHarness struct {
	table          *Table
	now            float64
	checkAt        float64 // time of the pending check; 0 = none
	deliveries     Deliveries
	inFlight       []StartAttempt
	canceled       map[int]bool
	releases       []ReleaseState
	releasedEvents int // number of scheduler.StateReleased events
}

func newHeldStateHarness(freesAll bool, class int) *heldStateHarness {
	h := &heldStateHarness{table: newTableWithLimit(freesAll), now: 1, deliveries: Deliveries{}, canceled: map[int]bool{}}
	h.table.AddRequest(h.now, newRequest("a", class), 0)
	h.collect()
	return h
}

// collect drains the table's events and commands and records them.
func (h *heldStateHarness) collect() {
	events, commands := h.table.Drain(h.now)
	for _, event := range events {
		if _, ok := event.(scheduler.StateReleased); ok {
			h.releasedEvents++
		}
	}
	for _, command := range commands {
		switch c := command.(type) {
		case StartAttempt:
			h.inFlight = append(h.inFlight, c)
		case CancelAttempt:
			h.canceled[c.Attempt] = true
		case ReleaseState:
			h.releases = append(h.releases, c)
		case CheckHeldState:
			if h.checkAt == 0 || c.At < h.checkAt {
				h.checkAt = c.At // a later pending check is dropped: the table must not depend on it
			}
		}
	}
}

// advanceTo advances the time and makes the checks that become due.
func (h *heldStateHarness) advanceTo(until float64) {
	for h.checkAt > 0 && h.checkAt <= until {
		check := CheckHeldState{ID: "a", At: h.checkAt}
		h.now = max(h.now, h.checkAt)
		h.checkAt = 0
		h.table.HeldStateDue(h.now, check, h.deliveries)
		h.collect()
	}
	h.now = until
}

func (h *heldStateHarness) send(engine string, delivered bool) int {
	h.table.Apply(h.now, scheduler.Send{ID: "a", Engine: engine})
	h.collect()
	if len(h.inFlight) == 0 {
		return -1
	}
	n := h.inFlight[len(h.inFlight)-1].Attempt
	h.deliveries[n] = delivered
	return n
}

func (h *heldStateHarness) end(n int, evidence outcome.Evidence) {
	for i, start := range h.inFlight {
		if start.Attempt == n {
			h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
			h.table.AttemptEnded(h.now, "a", n, evidence, nil)
			h.collect()
			return
		}
	}
}

// Guards against states that stay held because the table relies on the scheduler or on an attempt. The scheduler takes no action here, and
// the table alone releases a state at its limit. The cases differ in the effect of the class, in the number of attempts left, in whether
// the attempt that must fetch the state was delivered and ends after its cancellation, and in whether another prefill is in flight. Without
// an acknowledgment of the first release call, a second one is allowed.
func TestTableReleasesHeldStateAtItsLimitByItself(t *testing.T) {
	for _, freesAll := range []bool{true, false} {
		for class := range classes() {
			for _, attempt := range []string{"none", "not delivered", "not delivered, does not end", "silent", "silent twice"} {
				for _, prefills := range []int{1, 2} {
					for _, secondPrefill := range []bool{false, true} {
						name := fmt.Sprintf("one call frees all %v, class %d, attempt %s, %d prefills, another in flight %v",
							freesAll, class, attempt, prefills, secondPrefill)
						requireReleaseAtLimit(t, name, freesAll, class, attempt, prefills, secondPrefill)
					}
				}
			}
		}
	}
}

func requireReleaseAtLimit(t *testing.T, name string, freesAll bool, class int, attempt string, prefills int, secondPrefill bool) {
	t.Helper()
	h := newHeldStateHarness(freesAll, class)
	for range prefills {
		h.end(h.send("r0", true), prefillDone)
	}
	heldSince := h.now
	h.releases = nil
	h.advanceTo(heldSince + 0.1)
	switch attempt {
	case "not delivered", "not delivered, does not end":
		h.send("w0", false)
	case "silent":
		h.send("w0", true)
	case "silent twice":
		n := h.send("w0", true)
		h.advanceTo(heldSince + 0.3)
		h.end(n, writtenCancel)
		h.send("w0", true)
	}
	if secondPrefill {
		h.send("r1", true)
	}
	h.advanceTo(heldSince + releaseLimit)
	if attempt == "not delivered" && len(h.canceled) > 0 { // the attempt ends if the table has canceled it
		h.end(h.inFlight[0].Attempt, unsentBroken)
	}
	h.advanceTo(heldSince + releaseLimit + 0.05)
	if len(h.releases) == 0 {
		t.Errorf("%s: the state is held for %.2f s", name, h.now-heldSince)
		return
	}
	if h.releasedEvents != 1 {
		t.Errorf("%s: the scheduler was notified %d times, want once", name, h.releasedEvents)
	}
	first := h.releases[0]
	if first.Engine != "r0" || !first.AtLimit || first.HeldSince != heldSince {
		t.Errorf("%s: got %+v, want the state at r0, held since %g", name, first, heldSince)
	}
	if !h.table.ReleaseAllowed(h.now, first) { // its first call was not acknowledged
		t.Errorf("%s: a second call is not allowed", name)
	}
}

// An attempt whose response streams has fetched the state. A release call made during the stream would free what the attempt uses.
func TestNoReleaseWhileResponseStreams(t *testing.T) {
	h := newHeldStateHarness(true, idempotent)
	h.end(h.send("r0", true), prefillDone)
	n := h.send("w0", true)
	h.advanceTo(h.now + 0.95)
	h.releases = []ReleaseState{{ID: "a", Engine: "r0", HeldSince: 1, AtLimit: true}}
	h.table.FirstToken(h.now, "a", n)
	h.collect()
	if h.table.ReleaseAllowed(h.now, h.releases[0]) {
		t.Error("a call is allowed while the response streams")
	}
	h.collect()
	h.advanceTo(h.now + 5)
	if len(h.releases) != 1 {
		t.Errorf("got %+v while the response streams, want none", h.releases[1:])
	}
	h.end(n, outcome.Evidence{Progress: outcome.Streaming, Cause: outcome.ResponseComplete, ResponseKind: outcome.DecodeDone})
	if len(h.releases) != 2 {
		t.Errorf("got %+v after the response, want the deferred release", h.releases[1:])
	}
}

// Once a release call after an interrupted prefill was acknowledged, no further call ends another prefill in flight. If none was
// acknowledged, a call does so at the limit.
func TestAcknowledgedReleaseDoesNotEndPrefillInFlight(t *testing.T) {
	for _, acknowledged := range []bool{true, false} {
		h := newHeldStateHarness(true, idempotent)
		h.end(h.send("r0", true), writtenCancel)
		if len(h.releases) != 1 || h.releases[0].InterruptedAt == 0 {
			t.Fatalf("got %+v, want one release for the interrupted attempt", h.releases)
		}
		release := h.releases[0]
		release.Acknowledged = acknowledged
		n := h.send("r1", true)
		h.advanceTo(h.now + attemptsBegunAfter)
		if h.table.ReleaseAllowed(h.now, release) {
			t.Errorf("acknowledged %v: a call is allowed during the prefill", acknowledged)
		}
		h.collect()
		h.advanceTo(h.now + 3)
		if atLimit := len(h.releases) - 1; (atLimit > 0) == acknowledged {
			t.Errorf("acknowledged %v: got %d releases during the prefill", acknowledged, atLimit)
		}
		releases := len(h.releases)
		h.end(n, writtenCancel)
		if len(h.releases) == releases {
			t.Errorf("acknowledged %v: nothing is released after the prefill", acknowledged)
		}
	}
}

// A deferred release does not cancel an attempt that has not left this machine: the attempt does not need the released state.
func TestDeferredReleaseDoesNotCancelUndeliveredAttempt(t *testing.T) {
	h := newHeldStateHarness(true, idempotent)
	h.end(h.send("r0", true), writtenCancel)
	h.send("w0", false)
	h.advanceTo(h.now + attemptsBegunAfter)
	h.table.ReleaseAllowed(h.now, h.releases[0]) // no call was acknowledged, so the release is deferred
	h.collect()
	h.advanceTo(h.now + releaseLimit + 0.05)
	if len(h.releases) != 2 || len(h.canceled) > 0 {
		t.Errorf("got %+v, canceled %v, want one more release and nothing canceled", h.releases, h.canceled)
	}
}

// Only a response restarts the hold time of a state: a connection that breaks after the request was written does not prove that the request
// arrived.
func TestOnlyResponsesRestartHoldTime(t *testing.T) {
	for _, c := range []struct {
		evidence outcome.Evidence
		want     float64
	}{
		{unsentBroken, 1}, {writtenBroken, 1}, {writtenTimeout, 1}, {writtenCancel, 1}, {engineRejected, 1.5}, {engineError, 1.5},
	} {
		h := newHeldStateHarness(true, idempotent)
		h.end(h.send("r0", true), prefillDone)
		n := h.send("w0", true)
		h.advanceTo(1.5)
		h.end(n, c.evidence)
		h.advanceTo(5)
		if len(h.releases) != 1 || h.releases[0].HeldSince != c.want {
			t.Errorf("after %+v: got %+v, want one release of a state held since %g", c.evidence, h.releases, c.want)
		}
	}
}

// A decode engine that finds no state may have lost it itself, so the state at the prefill engine is released, with either kind of release
// call.
func TestStateNotFoundByDecodeEngineIsReleased(t *testing.T) {
	for _, freesAll := range []bool{true, false} {
		h := newHeldStateHarness(freesAll, idempotent)
		h.end(h.send("r0", true), prefillDone)
		h.end(h.send("w0", true), complete(outcome.StateMissing))
		if len(h.releases) != 1 || h.releases[0].Engine != "r0" {
			t.Errorf("one call frees all %v: got %+v, want one release at r0", freesAll, h.releases)
		}
	}
}

// Property test over random histories of a request, with random actions of the scheduler: no state is held for longer than its limit plus
// the time that checks take, unless a response streams.
func TestNoStateIsHeldBeyondItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHeldStateHarness(rapid.Bool().Draw(t, "one call frees all"), rapid.IntRange(0, 3).Draw(t, "class"))
		const checkTime = 0.1
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			h.advanceTo(h.now + rapid.Float64Range(0, 0.7).Draw(t, "seconds"))
			record := h.table.records["a"]
			if record == nil {
				return
			}
			if record.mayHoldState() && record.streamingAttempt() == nil && h.now > record.hold.limitStart()+releaseLimit+checkTime {
				t.Fatalf("held since %g, now %g: %+v", record.hold.limitStart(), h.now, record.state)
			}
			if record.mayHoldState() && h.checkAt == 0 {
				t.Fatal("a state may be held and no check is pending")
			}
			h.randomStep(t)
		}
	})
}

// randomStep performs one random operation.
func (h *heldStateHarness) randomStep(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		engine := rapid.SampledFrom([]string{"r0", "r1", "w0", "w1"}).Draw(t, "engine")
		delivery := rapid.Bool().Draw(t, "delivered")
		h.send(engine, delivery)
	case 2, 3:
		if len(h.inFlight) == 0 {
			return
		}
		start := rapid.SampledFrom(h.inFlight).Draw(t, "attempt")
		evidence := rapid.SampledFrom([]outcome.Evidence{prefillDone, unsentBroken, writtenBroken, writtenTimeout, writtenCancel,
			engineRejected, engineError, complete(outcome.StateMissing)}).Draw(t, "evidence")
		h.end(start.Attempt, evidence)
	case 4:
		h.table.Apply(h.now, scheduler.Release{ID: "a"})
	case 5:
		if len(h.releases) > 0 {
			h.table.ReleaseAllowed(h.now, rapid.SampledFrom(h.releases).Draw(t, "release"))
		}
	}
	h.collect()
}
