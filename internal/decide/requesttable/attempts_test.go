package requesttable

import (
	"errors"
	"fmt"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// Once an attempt may have run, or is in flight, every further attempt of a request with an idempotency key is a repeat, even
// a prefill: it must stay within the deduplication scope and window, and must be written before the window ends.
func TestPrefillsOfKeyedRequestStayInDedupScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		name   string
		engine string
		class  int
		now    float64
		starts bool
	}{
		{"same cell, within the window", "r0", keyedInCell, 1.5, true},
		{"another cell", "r1", keyedInCell, 1.5, false},
		{"same cell, after the window", "r0", keyedInCell, 3.1, false},
		{"fleet scope, another cell", "r1", keyedInFleet, 1.5, true},
		{"fleet scope, after the window", "r1", keyedInFleet, 3.1, false},
	} {
		table := newTable()
		table.AddRequest(1, newRequest("a", c.class), 0)
		n := startAttempt(t, table, 1, "a", "w0")
		table.AttemptEnded(1.1, "a", n, writtenBroken, nil)
		table.Drain(0)
		table.Apply(c.now, scheduler.Send{ID: "a", Engine: c.engine})
		starts := commandsOf[StartAttempt](table)
		if (len(starts) == 1) != c.starts {
			t.Errorf("%s: got starts %v, want an attempt started: %v", c.name, starts, c.starts)
		}
		if c.starts && len(starts) == 1 && starts[0].WriteBy != 3 {
			t.Errorf("%s: got WriteBy %g, want 3", c.name, starts[0].WriteBy)
		}
	}
	table := newTable()
	table.AddRequest(1, newRequest("a", keyedInCell), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	if starts := commandsOf[StartAttempt](table); len(starts) != 1 || starts[0].WriteBy != 0 {
		t.Errorf("first attempt: got %v, want one without WriteBy", starts)
	}
}

func TestAtMostOnceIsNotRepeatedAfterPossibleEffect(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.AttemptEnded(1.1, "a", n, writtenBroken, nil)
	table.Apply(1.2, scheduler.Send{ID: "a", Engine: "w1"})
	commands := table.DrainCommands()
	if len(commands) != 1 {
		t.Fatalf("got %v, want one fault", commands)
	}
	if _, ok := commands[0].(ReportFault); !ok {
		t.Fatalf("got %v, want a fault and no attempt", commands)
	}
	table.Apply(1.3, scheduler.Reject{ID: "a"}) // its promise of a safe retry is false: the request may have run
	for _, command := range table.DrainCommands() {
		if r, ok := command.(Respond); ok && r.Response.RetryIsSafe {
			t.Fatalf("got %+v, want no response that calls a retry safe", r)
		}
	}
}

func TestKeyedRetriesStayInDedupScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		class  int
		engine string
		at     float64
		starts bool
	}{
		{keyedInCell, "w0", 1.5, true},
		{keyedInCell, "w1", 1.5, false},
		{keyedInCell, "w0", 3.5, false},
		{keyedInFleet, "w1", 1.5, true},
		{keyedInFleet, "w1", 3.5, false},
	} {
		table := newTable()
		table.AddRequest(1, newRequest("a", c.class), 0)
		n := startAttempt(t, table, 1, "a", "w0")
		table.AttemptEnded(1.2, "a", n, writtenTimeout, nil)
		table.DrainCommands()
		table.Apply(c.at, scheduler.Send{ID: "a", Engine: c.engine})
		if got := len(commandsOf[StartAttempt](table)) == 1; got != c.starts {
			t.Errorf("class %d to %s at %g: got started %v, want %v", c.class, c.engine, c.at, got, c.starts)
		}
	}
}

func TestNoAttemptAtDrainingOrRemovedEngineAfterGrace(t *testing.T) {
	table := newTable()
	table.UpdateEndpoints(10, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete,
		Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: scheduler.EngineDraining}}})
	for i, c := range []struct {
		engine string
		at     float64
		starts bool
	}{
		{"w0", 10.2, true},
		{"w0", 10.3, false},
		{"w1", 10.2, true},
		{"w1", 10.3, false},
		{"w9", 10.1, false},
	} {
		id := fmt.Sprint("q", i)
		table.AddRequest(c.at, newRequest(id, idempotent), 0)
		table.Drain(0)
		table.Apply(c.at, scheduler.Send{ID: id, Engine: c.engine})
		if got := len(commandsOf[StartAttempt](table)) == 1; got != c.starts {
			t.Errorf("to %s at %g: got started %v, want %v", c.engine, c.at, got, c.starts)
		}
	}
}

func TestResponseIsGrantedToOneAttempt(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	first := startAttempt(t, table, 1, "a", "w0")
	second := startAttempt(t, table, 1, "a", "w1")
	table.FirstToken(1.1, "a", first)
	table.FirstToken(1.1, "a", second)
	granted := 0
	for _, command := range table.DrainCommands() {
		if g, ok := command.(GrantResponse); ok && g.Granted {
			granted++
		}
	}
	if granted != 1 {
		t.Fatalf("got %d grants, want 1", granted)
	}
}

// Attempts that ended before their request was written count against the limit by default. With ExemptUnsentAttempts, up to
// MaxAttempts of them do not count.
func TestUnsentAttemptsAreExemptWhereConfigured(t *testing.T) {
	for exempt, want := range map[bool]int{false: 4, true: 8} {
		table := newTable()
		config := table.config
		config.ExemptUnsentAttempts = exempt
		table.Reconfigure(config)
		table.AddRequest(1, newRequest("a", atMostOnce), 0)
		table.Drain(0)
		started := 0
		for range 20 {
			table.Apply(1, scheduler.Send{ID: "a", Engine: "w0"})
			starts := commandsOf[StartAttempt](table)
			if len(starts) == 0 {
				break
			}
			started++
			table.AttemptEnded(1, "a", starts[0].Attempt, unsentBroken, nil)
			if err := table.Audit(); err != nil {
				t.Fatal(err)
			}
		}
		if started != want {
			t.Errorf("unsent attempts exempt %v: got %d attempts, want %d", exempt, started, want)
		}
	}
}

func TestDuplicateIDIsRejectedAndFirstRequestContinues(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	if rejection, ok := table.AddRequest(1.1, newRequest("a", atMostOnce), 0); ok || rejection.HTTPStatus != 409 || rejection.RetryIsSafe {
		t.Fatalf("got %+v, accepted %v, want status 409 with no safe retry", rejection, ok)
	}
	startAttempt(t, table, 1.2, "a", "w0")
}

// Audit reports an inconsistency as an AuditError that names the request.
func TestAuditReturnsTypedError(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", idempotent), 0)
	table.records["a"].inFlight = 1
	var audit *AuditError
	if err := table.Audit(); !errors.As(err, &audit) || audit.RequestID != "a" {
		t.Fatalf("got %v, want an AuditError about request a", err)
	}
}

// A request that ran at an engine that the list still called a prefill engine ran again at a second engine. No end of an attempt may allow
// a repeat or a promise of a safe retry because of the role that the list names.
func TestAtMostOnceIsNotRepeatedAfterPrefillAtEngineOfUnknownRole(t *testing.T) {
	header := outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.MalformedResponse, DecodeHeader: true}
	headerAfterPrefill := header
	headerAfterPrefill.PrefillProcess = true
	for name, evidence := range map[string]outcome.Evidence{
		"connection broken":     writtenBroken,
		"timed out":             writtenTimeout,
		"canceled":              writtenCancel,
		"engine error":          engineError,
		"header of a stream":    header,
		"after another prefill": headerAfterPrefill,
	} {
		table := newTable()
		table.AddRequest(1, newRequest("a", atMostOnce), 0)
		n := startAttempt(t, table, 1, "a", "r0")
		table.Drain(0)
		table.AttemptEnded(1.1, "a", n, evidence, nil)
		events, _ := table.Drain(0)
		if got := events[0].(scheduler.Outcome).Effect; got != scheduler.EffectPossible {
			t.Errorf("%s: got the evidence %v for the scheduler, want %v", name, got, scheduler.EffectPossible)
		}
		table.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
		if starts := commandsOf[StartAttempt](table); len(starts) != 0 {
			t.Errorf("%s: got the repeat %v, want none", name, starts)
		}
		table.Apply(1.3, scheduler.Reject{ID: "a"})
		for _, response := range commandsOf[Respond](table) {
			if response.Response.RetryIsSafe {
				t.Errorf("%s: got %+v, which promises a safe retry", name, response)
			}
		}
	}
}

// A connection that breaks under a prefill must not cost the request its retry if an earlier prefill on it proves what the engine is.
func TestAtMostOnceIsRepeatedAfterPrefillAtProcessThatPrefilledBefore(t *testing.T) {
	for name, evidence := range map[string]outcome.Evidence{
		"connection broken": writtenBroken,
		"timed out":         writtenTimeout,
		"canceled":          writtenCancel,
		"engine error":      engineError,
	} {
		table := newTable()
		table.AddRequest(1, newRequest("a", atMostOnce), 0)
		n := startAttempt(t, table, 1, "a", "r0")
		evidence.PrefillProcess = true
		table.AttemptEnded(1.1, "a", n, evidence, nil)
		table.DrainCommands()
		table.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
		if starts := commandsOf[StartAttempt](table); len(starts) != 1 {
			t.Errorf("%s: got the attempts %v, want one", name, starts)
		}
	}
}

// What a connection has carried before proves nothing about an attempt during which the list has changed the role of the engine, also if it
// has changed it back.
func TestAtMostOnceIsNotRepeatedAfterRoleChangedDuringPrefill(t *testing.T) {
	for _, kinds := range [][]int{{1}, {1, 0}} {
		table := newTable()
		table.AddRequest(1, newRequest("a", atMostOnce), 0)
		n := startAttempt(t, table, 1, "a", "r0")
		for _, kind := range kinds {
			table.UpdateEndpoints(1.05, scheduler.EndpointUpdate{Form: scheduler.UpdateIncremental,
				Engines: []scheduler.Engine{{ID: "r0", Kind: kind}}})
		}
		evidence := writtenBroken
		evidence.PrefillProcess = true
		table.AttemptEnded(1.1, "a", n, evidence, nil)
		table.DrainCommands()
		table.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
		if starts := commandsOf[StartAttempt](table); len(starts) != 0 {
			t.Errorf("kinds %v: got the repeat %v, want none", kinds, starts)
		}
	}
}

// A prefill that the scheduler cancels proves nothing if its engine may have become one that runs the request. The host must leave such an
// attempt of an at-most-once request alone, and the attempt may still respond.
func TestCancellationOfPrefillIsLeftToHostForAtMostOnce(t *testing.T) {
	for class, onlyIfNotRun := range map[int]bool{idempotent: false, atMostOnce: true, keyedInCell: false} {
		table := newTable()
		table.AddRequest(1, newRequest("a", class), 0)
		n := startAttempt(t, table, 1, "a", "r0")
		table.Apply(1.1, scheduler.Cancel{ID: "a", Attempt: n})
		cancels := commandsOf[CancelAttempt](table)
		if len(cancels) != 1 || cancels[0].OnlyIfNotRun != onlyIfNotRun {
			t.Fatalf("class %d: got %+v, want one with OnlyIfNotRun %v", class, cancels, onlyIfNotRun)
		}
		table.FirstToken(1.2, "a", n)
		grants := commandsOf[GrantResponse](table)
		if len(grants) != 1 || grants[0].Granted != onlyIfNotRun {
			t.Errorf("class %d: got %+v after the cancellation, want one with Granted %v", class, grants, onlyIfNotRun)
		}
	}
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 0)
	n := startAttempt(t, table, 1, "a", "r0")
	table.Apply(1.1, scheduler.Cancel{ID: "a", Attempt: n})
	table.AttemptCanceled("a", n)
	table.DrainCommands()
	table.FirstToken(1.2, "a", n)
	if grants := commandsOf[GrantResponse](table); len(grants) != 1 || grants[0].Granted {
		t.Errorf("got %+v after the host has canceled the attempt, want no grant", grants)
	}
}

// A stream that answers a prefill is the response of the request: it is granted like that of a decode attempt, ends the request, and leaves
// nothing to release.
func TestStreamInResponseToPrefillIsGranted(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 0)
	n := startAttempt(t, table, 1, "a", "r0")
	table.Drain(0)
	table.FirstToken(1.1, "a", n)
	if grants := commandsOf[GrantResponse](table); len(grants) != 1 || !grants[0].Granted {
		t.Fatalf("got %+v, want one grant", grants)
	}
	done := complete(outcome.DecodeDone)
	done.DecodeHeader = true
	table.AttemptEnded(1.2, "a", n, done, nil)
	events, commands := table.Drain(0)
	for _, command := range commands {
		if _, ok := command.(ForgetRequest); !ok {
			t.Errorf("got %+v after the end of the stream, want the request to be forgotten", command)
		}
	}
	ended := events[len(events)-1].(scheduler.Outcome)
	if ended.Status != scheduler.Completed || !ended.RequestEnded {
		t.Errorf("got %+v, want a completed request", ended)
	}
}

// A decode engine that has become a prefill engine answers a decode attempt with a prefill. The request has not run, and the state that it
// left must be fetched by the next attempt.
func TestPrefillInResponseToDecodeIsNotRun(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", atMostOnce), 0)
	first := startAttempt(t, table, 1, "a", "r0")
	table.AttemptEnded(1.1, "a", first, prefillDone, nil)
	second := startAttempt(t, table, 1.1, "a", "w0")
	table.AttemptEnded(1.2, "a", second, prefillDone, nil)
	table.DrainCommands()
	table.Apply(1.3, scheduler.Send{ID: "a", Engine: "w1"})
	starts := commandsOf[StartAttempt](table)
	if len(starts) != 1 || !starts[0].FetchState || starts[0].StateAttempt != second {
		t.Errorf("got %+v, want an attempt that fetches the state of attempt %d", starts, second)
	}
}
