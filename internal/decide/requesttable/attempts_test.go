package requesttable

import (
	"errors"
	"fmt"
	"testing"

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
		table.Drain()
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
		table.Drain()
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
		table.Drain()
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
