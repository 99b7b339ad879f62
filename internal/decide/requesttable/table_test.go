package requesttable

import (
	"fmt"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func classes() []scheduler.Class {
	return []scheduler.Class{{Effect: scheduler.Idempotent}, {Effect: scheduler.AtMostOnce},
		{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupCell, DedupWindow: 2}, {Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupFleet, DedupWindow: 2}}
}

func newTable() *Table {
	table := New(Config{Classes: classes(), MaxOpenRequests: 8, MaxAttempts: 4, ResponseSlack: 0.05, DrainGrace: 0.25},
		[]scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Decode}})
	table.UpdateEndpoints(0, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{
		{ID: "r0", Kind: 0}, {ID: "r1", Kind: 0, Cell: 1}, {ID: "w0", Kind: 1}, {ID: "w1", Kind: 1, Cell: 1}}})
	table.Drain()
	return table
}

// commandsOf returns the commands of a type that wait.
func commandsOf[T Command](table *Table) (out []T) {
	for _, c := range table.DrainCommands() {
		if x, ok := c.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func newRequest(id string, class int) scheduler.Request {
	return scheduler.Request{ID: id, Class: class, ClientTimeLeft: 5}
}

// startAttempt starts an attempt at a writer and returns its number.
func startAttempt(t *testing.T, table *Table, now float64, id, engine string) int {
	t.Helper()
	table.Apply(now, scheduler.Send{ID: id, Engine: engine})
	xs := commandsOf[StartAttempt](table)
	if len(xs) != 1 {
		t.Fatalf("%d attempts started", len(xs))
	}
	return xs[0].Attempt
}

// After an attempt that may have run, or is out, whatever is sent for a keyed request counts as a repeat, a read too: it stays
// within group and window, and has to be written before the window ends.
func TestPrefillsOfKeyedRequestStayInDedupScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		name, engine string
		class        int
		now          float64
		starts       bool
	}{
		{"in its cell and time", "r0", 2, 1.5, true}, {"in another cell", "r1", 2, 1.5, false}, {"too late", "r0", 2, 3.1, false},
		{"of a group of all, elsewhere", "r1", 3, 1.5, true}, {"of a group of all, too late", "r1", 3, 3.1, false},
	} {
		table := newTable()
		table.AddRequest(1, newRequest("a", c.class), 0)
		n := startAttempt(t, table, 1, "a", "w0")
		table.AttemptEnded(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
		table.Drain()
		table.Apply(c.now, scheduler.Send{ID: "a", Engine: c.engine})
		starts := commandsOf[StartAttempt](table)
		if (len(starts) == 1) != c.starts {
			t.Errorf("%s: got %v, want it sent %v", c.name, starts, c.starts)
		}
		if c.starts && len(starts) == 1 && starts[0].WriteBy != 3 {
			t.Errorf("%s: got to be written by %g, want 3", c.name, starts[0].WriteBy)
		}
	}
	table := newTable()
	table.AddRequest(1, newRequest("a", 2), 0)
	table.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	if starts := commandsOf[StartAttempt](table); len(starts) != 1 || starts[0].WriteBy != 0 {
		t.Errorf("got %v, want a first attempt that may be written at any time", starts)
	}
}

func TestAtMostOnceIsNotRepeatedAfterPossibleEffect(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 1), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.AttemptEnded(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	table.Apply(1.2, scheduler.Send{ID: "a", Engine: "w1"})
	cmds := table.DrainCommands()
	if len(cmds) != 1 {
		t.Fatalf("%v", cmds)
	}
	if _, ok := cmds[0].(ReportFault); !ok {
		t.Fatalf("the attempt was made: %v", cmds)
	}
	table.Apply(1.3, scheduler.Reject{ID: "a"}) // a lie: it may have run
	for _, c := range table.DrainCommands() {
		if a, ok := c.(Respond); ok && a.Response.RetryIsSafe {
			t.Fatalf("the client is told that a retry is harmless: %+v", a)
		}
	}
}

func TestKeyedRetriesStayInDedupScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		class  int
		engine string
		at     float64
		may    bool
	}{{2, "w0", 1.5, true}, {2, "w1", 1.5, false}, {2, "w0", 3.5, false}, {3, "w1", 1.5, true}, {3, "w1", 3.5, false}} {
		table := newTable()
		table.AddRequest(1, newRequest("a", c.class), 0)
		n := startAttempt(t, table, 1, "a", "w0")
		table.AttemptEnded(1.2, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}, nil)
		table.DrainCommands()
		table.Apply(c.at, scheduler.Send{ID: "a", Engine: c.engine})
		if got := len(commandsOf[StartAttempt](table)) == 1; got != c.may {
			t.Errorf("class %d to %s at %g: %v", c.class, c.engine, c.at, got)
		}
	}
}

func TestNoAttemptAtDrainingOrRemovedEngineAfterGrace(t *testing.T) {
	table := newTable()
	table.UpdateEndpoints(10, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: scheduler.EngineDraining}}})
	for i, c := range []struct {
		engine string
		at     float64
		may    bool
	}{{"w0", 10.2, true}, {"w0", 10.3, false}, {"w1", 10.2, true}, {"w1", 10.3, false}, {"w9", 10.1, false}} {
		id := fmt.Sprint("q", i)
		table.AddRequest(c.at, newRequest(id, 0), 0)
		table.Drain()
		table.Apply(c.at, scheduler.Send{ID: id, Engine: c.engine})
		if got := len(commandsOf[StartAttempt](table)) == 1; got != c.may {
			t.Errorf("to %s at %g: %v", c.engine, c.at, got)
		}
	}
}

func TestResponseIsGrantedToOneAttempt(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 0), 0)
	x, y := startAttempt(t, table, 1, "a", "w0"), startAttempt(t, table, 1, "a", "w1")
	table.FirstToken(1.1, "a", x)
	table.FirstToken(1.1, "a", y)
	grants := 0
	for _, c := range table.DrainCommands() {
		if g, ok := c.(GrantResponse); ok && g.Granted {
			grants++
		}
	}
	if grants != 1 {
		t.Fatalf("%d grants", grants)
	}
}

func TestFinalResponseWaitsForStreamingAttemptToEnd(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 1), 0)
	n := startAttempt(t, table, 1, "a", "w0")
	table.FirstToken(1.1, "a", n)
	table.DrainCommands()
	table.RespondToAll(2)
	for _, c := range table.DrainCommands() {
		if _, ok := c.(Respond); ok {
			t.Fatal("two would write to the client at once")
		}
	}
	table.AttemptEnded(2.1, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	if as := commandsOf[Respond](table); len(as) != 1 || as[0].Response.RetryIsSafe {
		t.Fatalf("%+v", as)
	}
}

func TestUnstreamedResponseIsCutBeforeClientTimeout(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 1), 8)
	n := startAttempt(t, table, 1, "a", "w0")
	table.FirstToken(2, "a", n)
	at, _ := table.Deadline("a")
	table.DeadlineReached(at-0.5, "a")
	if as := commandsOf[CancelAttempt](table); len(as) != 0 || at > 9 || at < 8 {
		t.Fatalf("%v at %g", as, at)
	}
	table.DeadlineReached(at, "a")
	if as := commandsOf[CancelAttempt](table); len(as) != 1 {
		t.Fatalf("%v", as)
	}
	table.AttemptEnded(at+0.01, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	if as := commandsOf[Respond](table); len(as) != 1 || as[0].Response.RetryIsSafe || as[0].Response.Code != "answer_too_slow" {
		t.Fatalf("%+v", as)
	}
}

func TestStateOfPrefillAfterDisconnectIsReleased(t *testing.T) {
	table := newTable()
	table.AddRequest(1, newRequest("a", 0), 0)
	n := startAttempt(t, table, 1, "a", "r0")
	table.ClientDisconnected(1.1, "a", false)
	table.AttemptEnded(1.2, "a", n, outcome.Evidence{Cause: outcome.ResponseComplete, Progress: outcome.HeaderReceived, ResponseKind: outcome.PrefillDone}, nil)
	if rs := commandsOf[ReleaseState](table); len(rs) != 1 || rs[0].Engine != "r0" {
		t.Fatalf("%v", rs)
	}
	if table.Len() != 0 {
		t.Fatal("still held")
	}
}

// propertyWorld plays a module that does anything at all, and sockets that do the same, against the book.
type propertyWorld struct {
	t               *rapid.T
	table           *Table
	now             float64
	inFlight        map[string]map[int]StartAttempt // attempts that run
	answers         map[string]int                  // final answers given to clients
	grants          map[string]int
	grantedAttempt  map[string]int
	outcomesOwed    map[string]map[int]bool // outcomes that the module waits for
	possibleEffects map[string]int          // decode attempts that were written whole and did not prove otherwise
	class           map[string]int
	disconnected    map[string]bool
	states          map[string]map[int]bool // states that engines hold, by the attempt that read them
}

// checkCommands carries out commands and takes events.
func (w *propertyWorld) checkCommands() {
	events, cmds := w.table.Drain()
	for _, ev := range events {
		if o, ok := ev.(scheduler.Outcome); ok {
			if !w.outcomesOwed[o.ID][o.Attempt] {
				w.t.Fatalf("outcome of attempt %d of %s comes twice or from nowhere", o.Attempt, o.ID)
			}
			delete(w.outcomesOwed[o.ID], o.Attempt)
		}
	}
	for _, c := range cmds {
		switch c := c.(type) {
		case StartAttempt:
			if w.answers[c.ID] > 0 || w.disconnected[c.ID] {
				w.t.Fatalf("%s is sent to %s after its end", c.ID, c.Engine)
			}
			k := classes()[w.class[c.ID]]
			if c.Stage == outcome.Decode && k.Effect == scheduler.AtMostOnce && w.possibleEffects[c.ID] > 0 {
				w.t.Fatalf("%s may run twice", c.ID)
			}
			if c.Stage == outcome.Decode {
				w.possibleEffects[c.ID]++ // until it proves otherwise
			}
			w.inFlight[c.ID][c.Attempt] = c
		case GrantResponse:
			if c.Granted {
				w.grantedAttempt[c.ID] = c.Attempt
				if w.grants[c.ID]++; w.grants[c.ID] > 1 {
					w.t.Fatalf("%s is granted twice", c.ID)
				}
			}
		case Respond:
			w.answers[c.ID]++
			k := classes()[w.class[c.ID]]
			if c.Response.RetryIsSafe && k.Effect == scheduler.AtMostOnce && w.possibleEffects[c.ID] > 0 {
				w.t.Fatalf("%s may have run and is refused: %+v", c.ID, c)
			}
		case PassThrough:
			w.answers[c.ID]++
		case ReleaseState:
			delete(w.states[c.ID], c.Attempt)
		case ForgetRequest:
			if len(w.inFlight[c.ID]) > 0 {
				w.t.Fatalf("%s is forgotten with attempts out", c.ID)
			}
			if len(w.states[c.ID]) > 0 {
				w.t.Fatalf("%s is forgotten with a state held", c.ID)
			}
			if w.answers[c.ID] == 0 && !w.disconnected[c.ID] {
				w.t.Fatalf("%s is forgotten without an answer", c.ID)
			}
		}
		if c, ok := c.(Respond); ok && w.answers[c.ID] > 1 {
			w.t.Fatalf("%s has %d final answers", c.ID, w.answers[c.ID])
		}
	}
	if err := w.table.Audit(); err != nil {
		w.t.Fatal(err)
	}
}

// endAttempt ends a running attempt in some way that its progress allows.
func (w *propertyWorld) endAttempt(id string, s StartAttempt) {
	f := outcome.Evidence{Cause: outcome.Cause(rapid.IntRange(0, int(outcome.ClientDisconnected)).Draw(w.t, "cause")),
		Progress: outcome.Progress(rapid.IntRange(int(outcome.Connecting), int(outcome.HeaderReceived)).Draw(w.t, "progress"))}
	if f.Cause == outcome.ResponseComplete {
		f.Progress = outcome.HeaderReceived
		f.ResponseKind = outcome.ResponseKind(rapid.IntRange(int(outcome.EngineError), int(outcome.InvalidRequest)).Draw(w.t, "meaning"))
		if (w.grants[id] == 0 || w.grantedAttempt[id] != s.Attempt) && f.ResponseKind == outcome.DecodeDone && s.Stage == outcome.Decode {
			f.ResponseKind = outcome.EngineRejected // a stream is never whole before its first token
		}
	}
	f.Stage = s.Stage
	v := outcome.Classify(f)
	if s.Stage == outcome.Decode && !v.MayHaveRun && v.Status != scheduler.Completed {
		w.possibleEffects[id]--
	}
	if s.Stage == outcome.Prefill && (v.Status == scheduler.Prefilled || v.MayHoldState) {
		w.states[id][s.Attempt] = true
	}
	if s.Stage == outcome.Decode && s.FetchState && (v.Info == 1 || v.Status == scheduler.Completed && !v.PassThrough) {
		delete(w.states[id], s.StateAttempt)
	}
	delete(w.inFlight[id], s.Attempt)
	if s.Stage == outcome.Decode && v.Status == scheduler.Completed && !v.PassThrough {
		w.answers[id]++ // it was passed on as it came
	}
	if f.Cause == outcome.ClientDisconnected {
		w.disconnected[id] = true
		w.table.ClientDisconnected(w.now, id, false)
	}
	w.table.AttemptEnded(w.now, id, s.Attempt, f, nil)
}

// Whatever the module and the sockets do, in whatever order, the book keeps the rules.
func TestTableKeepsRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &propertyWorld{t: t, table: newTable(), now: 1, inFlight: map[string]map[int]StartAttempt{}, answers: map[string]int{},
			grants: map[string]int{}, grantedAttempt: map[string]int{}, outcomesOwed: map[string]map[int]bool{}, possibleEffects: map[string]int{}, class: map[string]int{},
			disconnected: map[string]bool{}, states: map[string]map[int]bool{}}
		var ids []string
		sends := map[string]int{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.now += rapid.Float64Range(0, 0.3).Draw(t, "pass")
			op := rapid.IntRange(0, 11).Draw(t, "op")
			if op == 0 || len(ids) == 0 {
				id := fmt.Sprint("q", len(ids))
				w.class[id] = rapid.IntRange(0, 3).Draw(t, "class")
				w.inFlight[id], w.outcomesOwed[id], w.states[id] = map[int]StartAttempt{}, map[int]bool{}, map[int]bool{}
				if _, ok := w.table.AddRequest(w.now, newRequest(id, w.class[id]), rapid.SampledFrom([]float64{0, 6}).Draw(t, "whole")); ok {
					ids = append(ids, id)
				}
				w.checkCommands()
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			var running []StartAttempt
			for n := range 200 {
				if s, ok := w.inFlight[id][n]; ok {
					running = append(running, s)
				}
			}
			switch op {
			case 1, 2, 3:
				engine := rapid.SampledFrom([]string{"r0", "r1", "w0", "w1", "nobody"}).Draw(t, "engine")
				if w.table.records[id] != nil {
					w.outcomesOwed[id][sends[id]] = true
					sends[id]++
				}
				w.table.Apply(w.now, scheduler.Send{ID: id, Engine: engine})
			case 4, 5, 6:
				if len(running) > 0 {
					w.endAttempt(id, rapid.SampledFrom(running).Draw(t, "attempt"))
				}
			case 7:
				if len(running) > 0 {
					if s := rapid.SampledFrom(running).Draw(t, "attempt"); s.Stage == outcome.Decode {
						had := w.grants[id]
						w.table.FirstToken(w.now, id, s.Attempt)
						w.checkCommands()
						if w.grants[id] > had && s.FetchState { // the fetch has ended
							delete(w.states[id], s.StateAttempt)
						}
					}
				}
			case 8:
				w.table.Apply(w.now, rapid.SampledFrom([]scheduler.Action{scheduler.Reject{ID: id}, scheduler.Fail{ID: id}, scheduler.Release{ID: id},
					scheduler.Cancel{ID: id, Attempt: 0}, scheduler.Cancel{ID: id, Attempt: 1}}).Draw(t, "action"))
			case 9:
				w.disconnected[id] = w.disconnected[id] || w.answers[id] == 0
				w.table.ClientDisconnected(w.now, id, rapid.Bool().Draw(t, "half"))
			case 10:
				w.table.DeadlineReached(w.now, id)
			case 11:
				state := rapid.SampledFrom([]scheduler.EngineState{scheduler.EngineReady, scheduler.EngineDraining}).Draw(t, "state")
				w.table.UpdateEndpoints(w.now, scheduler.EndpointUpdate{Form: scheduler.UpdateIncremental, Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: state}}})
			}
			w.checkCommands()
		}
		// In the end everything is answered, every attempt ends, and the book is empty.
		w.table.StopAccepting()
		w.table.RespondToAll(w.now)
		w.checkCommands()
		for _, id := range ids {
			for n := range 200 {
				if s, ok := w.inFlight[id][n]; ok {
					delete(w.inFlight[id], n)
					w.table.AttemptEnded(w.now, id, s.Attempt, outcome.Evidence{Progress: outcome.Connected, Cause: outcome.RequestEnded}, nil)
					w.checkCommands()
				}
			}
		}
		if w.table.Len() != 0 || w.table.OpenRequests() != 0 {
			t.Fatalf("%d entries, %d live are left", w.table.Len(), w.table.OpenRequests())
		}
		for _, id := range ids {
			if len(w.outcomesOwed[id]) > 0 {
				t.Fatalf("%s: the module still waits for %v", id, w.outcomesOwed[id])
			}
		}
	})
}

// Attempts that ended before their request was written count towards the limit only where they are to, and beyond as many again.
func TestUnsentAttemptsAreFreeWhereConfigured(t *testing.T) {
	for free, want := range map[bool]int{false: 4, true: 8} {
		table := newTable()
		cfg := table.config
		cfg.UnsentAttemptsAreFree = free
		table.Reconfigure(cfg)
		table.AddRequest(1, newRequest("a", 1), 0)
		table.Drain()
		n := 0
		for range 20 {
			table.Apply(1, scheduler.Send{ID: "a", Engine: "w0"})
			starts := commandsOf[StartAttempt](table)
			if len(starts) == 0 {
				break
			}
			n++
			table.AttemptEnded(1, "a", starts[0].Attempt, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
			if err := table.Audit(); err != nil {
				t.Fatal(err)
			}
		}
		if n != want {
			t.Errorf("free %v: got %d attempts, want %d", free, n, want)
		}
	}
}
