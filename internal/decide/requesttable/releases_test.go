package requesttable

import (
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func newTableReleasingAll() *Table {
	table := newTable()
	cfg := table.config
	cfg.ReleaseFreesAllStates = true
	table.Reconfigure(cfg)
	return table
}

// A release that takes everything would take the state of a read that runs: it waits until nothing is at stake.
func TestReleaseOfAllStatesWaitsForAttemptsInFlight(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain()
	table.AttemptEnded(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 0 {
		t.Fatalf("released while another read is out: %v", rs)
	}
	table.AttemptEnded(1.2, "a", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 0 {
		t.Fatalf("released while a state is wanted: %v", rs)
	}
	n := startAttempt(t, table, 1.3, "a", "w0")
	table.FirstToken(1.4, "a", n)
	table.AttemptEnded(1.5, "a", n, outcome.Evidence{Progress: outcome.Streaming, Cause: outcome.ResponseComplete, ResponseKind: outcome.DecodeDone}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 1 || rs[0].Engine != "r0" || rs[0].AttemptCutAt != 1.1 {
		t.Fatalf("%v", rs)
	}
}

// A release that failed is not repeated over what has come since; it is owed anew.
func TestReleaseIsNotRetriedDuringNewPrefill(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Drain()
	table.AttemptEnded(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}, nil)
	rs := commandsOf[ReleaseState](table)
	if len(rs) != 1 || !table.ReleaseAllowed(rs[0]) {
		t.Fatalf("%v", rs)
	}
	table.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain()
	if table.ReleaseAllowed(rs[0]) {
		t.Fatal("the new read would be lost")
	}
	table.Apply(1.3, scheduler.Reject{ID: "a"})
	table.AttemptEnded(1.4, "a", 1, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}, nil)
	if again := commandsOf[ReleaseState](table); len(again) != 1 {
		t.Fatalf("%v", again)
	}
}

// An engine that read for itself keeps what it has read when its attempt breaks off.
func TestBrokenDecodeWithoutStateIsReleased(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.AttemptEnded(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 1 || rs[0].Engine != "w0" {
		t.Fatalf("%v", rs)
	}
	table.AddRequest(2, newRequest("b", 0), 0)
	n = startAttempt(t, table, 2, "b", "w0")
	table.AttemptEnded(2.1, "b", n, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineRejected}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 0 {
		t.Fatalf("what never ran holds nothing: %v", rs)
	}
}

func TestDuplicateIDIsRejectedAndFirstRequestContinues(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	if no, ok := table.AddRequest(1.1, newRequest("a", 1), 0); ok || no.HTTPStatus != 409 || no.RetryIsSafe {
		t.Fatalf("%+v %v", no, ok)
	}
	startAttempt(t, table, 1.2, "a", "w0")
}

// Over all stories of one request: a release is never made while an attempt is out or a state waits, and whatever may be
// held is released before the request is forgotten.
func TestReleaseOfAllStatesProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTableReleasingAll()
		table.AddRequest(1, newRequest("a", 0), 0)
		table.Drain()
		now, out, held, state, forgotten := 1.0, map[int]StartAttempt{}, false, false, false
		see := func() {
			for _, c := range table.DrainCommands() {
				switch c := c.(type) {
				case StartAttempt:
					out[c.Attempt] = c
				case ReleaseState:
					if len(out) > 0 {
						t.Fatal("released while an attempt is out")
					}
					held, state = false, false
				case ForgetRequest:
					if held {
						t.Fatal("forgotten with something held")
					}
					forgotten = true
				}
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			now += 0.01
			switch k := rapid.IntRange(0, 4).Draw(t, "what"); {
			case k == 0:
				table.Apply(now, scheduler.Send{ID: "a", Engine: rapid.SampledFrom([]string{"r0", "r1", "w0"}).Draw(t, "engine")})
			case k == 1:
				table.Apply(now, scheduler.Release{ID: "a"})
			case k == 2 && rapid.Bool().Draw(t, "refuse"):
				table.Apply(now, scheduler.Reject{ID: "a"})
			default:
				for n, s := range out {
					f := outcome.Evidence{Progress: outcome.RequestWritten, Cause: rapid.SampledFrom([]outcome.Cause{outcome.ConnectionBroken, outcome.AttemptTimedOut, outcome.CanceledByScheduler}).Draw(t, "cause")}
					if rapid.Bool().Draw(t, "answered") {
						f = outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: rapid.SampledFrom([]outcome.ResponseKind{outcome.PrefillDone, outcome.EngineRejected, outcome.StateMissing}).Draw(t, "meaning")}
					}
					delete(out, n)
					may := f.Cause != outcome.ResponseComplete && (s.Stage == outcome.Prefill || !s.FetchState)
					read := f.Cause == outcome.ResponseComplete && f.ResponseKind == outcome.PrefillDone && s.Stage == outcome.Prefill
					held, state = held || may || read, state || read
					table.AttemptEnded(now, "a", n, f, nil)
					break
				}
			}
			see()
		}
		table.Apply(now, scheduler.Reject{ID: "a"})
		see()
		for n := range out {
			delete(out, n)
			table.AttemptEnded(now, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}, nil)
			held = true
			see()
		}
		if !forgotten {
			t.Fatal("not forgotten")
		}
	})
}

// The state of a read is released at once though something else is owed of an attempt that was broken off before: the next
// attempt is begun in the same pass, and would put both off. What is left of the other is owed until that attempt has ended.
func TestStateIsReleasedBeforeNextAttemptStarts(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.Drain()
	table.AttemptEnded(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.CanceledByScheduler}, nil)
	cut := commandsOf[ReleaseState](table)
	if len(cut) != 1 || cut[0].AttemptCutAt != 1.1 {
		t.Fatalf("got %v, want the release of what was broken off at 1.1", cut)
	}
	table.Apply(1.1, scheduler.Send{ID: "a", Engine: "r1"})
	table.Drain()
	if table.ReleaseAllowed(cut[0]) {
		t.Fatal("released over a read that is out")
	}
	table.AttemptEnded(1.2, "a", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	n := startAttempt(t, table, 1.2, "a", "w0")
	table.AttemptEnded(1.45, "a", n, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
	table.Drain()
	table.Apply(1.45, scheduler.Release{ID: "a"})
	table.Apply(1.45, scheduler.Send{ID: "a", Engine: "w0"})
	rs := commandsOf[ReleaseState](table)
	if len(rs) == 0 || rs[0].AttemptCutAt != 0 || rs[0].Engine != "r1" {
		t.Fatalf("got %v, want the state at r1 released at once", rs)
	}
}

// The time of a state runs from the latest outcome of an attempt that was out: one that arrived and was turned away begins it anew, one
// that was never written does not. A send that has not arrived when it is over is called off.
func TestHoldTimeRunsFromLatestOutcomeOfDeliveredAttempt(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 0), 0)
	read := startAttempt(t, table, 1, "a", "r0")
	table.AttemptEnded(2, "a", read, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	stateAt := func(now float64) (int, float64) {
		t.Helper()
		table.Drain()
		table.Apply(now, scheduler.Send{ID: "a", Engine: "w0"})
		starts := commandsOf[StartAttempt](table)
		if len(starts) != 1 || !starts[0].FetchState {
			t.Fatalf("got %v, want one attempt with a state", starts)
		}
		return starts[0].Attempt, starts[0].HeldSince
	}
	n, at := stateAt(2.1)
	if at != 2 {
		t.Errorf("after the read: got %g, want 2", at)
	}
	table.AttemptEnded(2.2, "a", n, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
	n, at = stateAt(2.3)
	if at != 2 {
		t.Errorf("after a connection that failed: got %g, want 2", at)
	}
	table.AttemptEnded(2.4, "a", n, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineRejected}, nil)
	n, at = stateAt(2.5)
	if at != 2.4 {
		t.Errorf("after one that was turned away: got %g, want 2.4", at)
	}
	table.Drain()
	table.AttemptNotDelivered("a", n)
	if aborts := commandsOf[CancelAttempt](table); len(aborts) != 1 || aborts[0].Attempt != n {
		t.Errorf("a send that has not arrived: got %v, want it called off", aborts)
	}
}

// A state is released beside the attempt that is to take it, where nothing has come of that in the state's time nor of its engine; not
// once its answer has begun or it has ended, and not where the module calls it off.
func TestStateOfSilentAttemptIsReleasedConcurrently(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(table *Table, n int)
		class  int // 0 may be repeated, 1 may not run twice
		heard  bool
		want   int
	}{
		{"nothing has come", func(*Table, int) {}, 1, false, 1},
		{"its engine answers others", func(*Table, int) {}, 1, true, 0},
		{"it may be repeated, so that the module calls it off", func(*Table, int) {}, 0, false, 0},
		{"its answer has begun", func(table *Table, n int) { table.FirstToken(1.5, "a", n) }, 1, false, 0},
		{"it has ended", func(table *Table, n int) {
			table.AttemptEnded(1.5, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
		}, 1, false, 0},
	} {
		table := newTableReleasingAll()
		table.AddRequest(1, newRequest("a", c.class), 0)
		table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
		table.AttemptEnded(1.1, "a", 0, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
		table.Drain()
		n := startAttempt(t, table, 1.2, "a", "w0")
		c.before(table, n)
		table.Drain()
		table.AttemptSilent("a", n, c.heard)
		rs := commandsOf[ReleaseState](table)
		if len(rs) != c.want {
			t.Errorf("%s: %v, want %d", c.name, rs, c.want)
			continue
		}
		if c.want == 0 {
			continue
		}
		if rs[0].Engine != "r0" || !table.ReleaseAllowed(rs[0]) {
			t.Errorf("%s: %+v, again %v", c.name, rs[0], table.ReleaseAllowed(rs[0]))
		}
		table.FirstToken(1.6, "a", n)
		if table.Drain(); table.ReleaseAllowed(rs[0]) {
			t.Errorf("%s: released again though its answer has begun", c.name)
		}
	}
}

// Beside the second attempt in a row that is silent the state is released whatever its class, and its time runs since the read: the first
// may never have arrived.
func TestStateIsReleasedDuringSecondSilentAttempt(t *testing.T) {
	table := newTableReleasingAll()
	table.AddRequest(1, newRequest("a", 0), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	table.AttemptEnded(1.1, "a", 0, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	table.Drain()
	n := startAttempt(t, table, 1.2, "a", "w0")
	table.AttemptEnded(1.6, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.CanceledByScheduler}, nil)
	table.Drain()
	table.Apply(1.7, scheduler.Send{ID: "a", Engine: "w0"})
	starts := commandsOf[StartAttempt](table)
	if len(starts) != 1 || starts[0].HeldSinceIfUndelivered != 1.1 || starts[0].HeldSince != 1.6 {
		t.Fatalf("%+v, want one whose state is held since 1.1, and since 1.6 if the first attempt had arrived", starts)
	}
	table.AttemptSilent("a", starts[0].Attempt, false)
	if rs := commandsOf[ReleaseState](table); len(rs) != 1 {
		t.Errorf("%v", rs)
	}
}
