package requesttable

import (
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// Classes of the tests, by their index in classes().
const (
	idempotent   = 0
	atMostOnce   = 1
	keyedInCell  = 2
	keyedInFleet = 3
)

func classes() []scheduler.Class {
	return []scheduler.Class{
		{Effect: scheduler.Idempotent},
		{Effect: scheduler.AtMostOnce},
		{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupCell, DedupWindow: 2},
		{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupFleet, DedupWindow: 2},
	}
}

// Ends of attempts that several tests use.
var (
	unsentBroken   = outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}
	writtenBroken  = outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}
	writtenTimeout = outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}
	writtenCancel  = outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.CanceledByScheduler}
	prefillDone    = complete(outcome.PrefillDone)
	engineRejected = complete(outcome.EngineRejected)
	engineError    = complete(outcome.EngineError)
)

// complete is the end of an attempt with a complete response.
func complete(kind outcome.ResponseKind) outcome.Evidence {
	return outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: kind}
}

// newTable returns a table that knows the prefill engines r0 and r1 and the decode engines w0 and w1; r1 and w1 are in
// another cell.
func newTable() *Table {
	table := New(Config{Classes: classes(), MaxOpenRequests: 8, MaxAttempts: 4, ResponseSlack: 0.05, DrainGrace: 0.25},
		[]scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Decode}})
	table.UpdateEndpoints(0, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{
		{ID: "r0", Kind: 0}, {ID: "r1", Kind: 0, Cell: 1}, {ID: "w0", Kind: 1}, {ID: "w1", Kind: 1, Cell: 1}}})
	table.Drain(0)
	return table
}

// newTableReleasingAll returns a table where one release call frees every state of a request.
func newTableReleasingAll() *Table {
	table := newTable()
	config := table.config
	config.ReleaseFreesAllStates = true
	table.Reconfigure(config)
	return table
}

// attemptsBegunAfter is a time after the end of an attempt; the next attempt no longer waits for a release call then (s).
const attemptsBegunAfter = 0.05

// releaseLimit is the limit on held states of newTableWithLimit (s).
const releaseLimit = 1.0

// newTableWithLimit returns a table with a limit on held states; freesAll sets ReleaseFreesAllStates.
func newTableWithLimit(freesAll bool) *Table {
	table := newTable()
	config := table.config
	config.StateReleaseLimit = releaseLimit
	config.ReleaseFreesAllStates = freesAll
	table.Reconfigure(config)
	return table
}

// commandsOf drains the commands and returns those of one type.
func commandsOf[T Command](table *Table) (found []T) {
	for _, command := range table.DrainCommands() {
		if c, ok := command.(T); ok {
			found = append(found, c)
		}
	}
	return found
}

func newRequest(id string, class int) scheduler.Request {
	return scheduler.Request{ID: id, Class: class, ClientTimeLeft: 5}
}

// startAttempt starts an attempt at an engine and returns its number.
func startAttempt(t *testing.T, table *Table, now float64, id, engine string) int {
	t.Helper()
	table.Apply(now, scheduler.Send{ID: id, Engine: engine})
	starts := commandsOf[StartAttempt](table)
	if len(starts) != 1 {
		t.Fatalf("send of %s to %s at %g: got %d attempts, want 1", id, engine, now, len(starts))
	}
	return starts[0].Attempt
}
