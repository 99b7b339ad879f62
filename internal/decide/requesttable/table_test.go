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

func newBook() *Ledger {
	l := New(Config{Classes: classes(), MaxOpen: 8, MaxAttempts: 4, Slack: 0.05, DrainGrace: 0.25},
		[]scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Decode}})
	l.Members(0, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{
		{ID: "r0", Kind: 0}, {ID: "r1", Kind: 0, Cell: 1}, {ID: "w0", Kind: 1}, {ID: "w1", Kind: 1, Cell: 1}}})
	l.Take()
	return l
}

// find returns the commands of a type that wait.
func find[T Command](l *Ledger) (out []T) {
	for _, c := range l.TakeCommands() {
		if x, ok := c.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func request(id string, class int) scheduler.Request {
	return scheduler.Request{ID: id, Class: class, ClientTimeLeft: 5}
}

// decode starts an attempt at a writer and returns its number.
func decode(t *testing.T, l *Ledger, now float64, id, engine string) int {
	t.Helper()
	l.Apply(now, scheduler.Send{ID: id, Engine: engine})
	xs := find[Start](l)
	if len(xs) != 1 {
		t.Fatalf("%d attempts started", len(xs))
	}
	return xs[0].N
}

// After an attempt that may have run, or is out, whatever is sent for a keyed request counts as a repeat, a read too: it stays
// within group and window, and has to be written before the window ends.
func TestKeyedReadsStayInGroupAndWindow(t *testing.T) {
	for _, c := range []struct {
		name, engine string
		class        int
		now          float64
		starts       bool
	}{
		{"in its cell and time", "r0", 2, 1.5, true}, {"in another cell", "r1", 2, 1.5, false}, {"too late", "r0", 2, 3.1, false},
		{"of a group of all, elsewhere", "r1", 3, 1.5, true}, {"of a group of all, too late", "r1", 3, 3.1, false},
	} {
		l := newBook()
		l.Request(1, request("a", c.class), 0)
		n := decode(t, l, 1, "a", "w0")
		l.Ended(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
		l.Take()
		l.Apply(c.now, scheduler.Send{ID: "a", Engine: c.engine})
		starts := find[Start](l)
		if (len(starts) == 1) != c.starts {
			t.Errorf("%s: got %v, want it sent %v", c.name, starts, c.starts)
		}
		if c.starts && len(starts) == 1 && starts[0].WriteBy != 3 {
			t.Errorf("%s: got to be written by %g, want 3", c.name, starts[0].WriteBy)
		}
	}
	l := newBook()
	l.Request(1, request("a", 2), 0)
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	if starts := find[Start](l); len(starts) != 1 || starts[0].WriteBy != 0 {
		t.Errorf("got %v, want a first attempt that may be written at any time", starts)
	}
}

func TestOnceIsNotSentAgainAfterItMayHaveRun(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 1), 0)
	n := decode(t, l, 1, "a", "w0")
	l.Ended(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	l.Apply(1.2, scheduler.Send{ID: "a", Engine: "w1"})
	cmds := l.TakeCommands()
	if len(cmds) != 1 {
		t.Fatalf("%v", cmds)
	}
	if _, ok := cmds[0].(Fault); !ok {
		t.Fatalf("the attempt was made: %v", cmds)
	}
	l.Apply(1.3, scheduler.Reject{ID: "a"}) // a lie: it may have run
	for _, c := range l.TakeCommands() {
		if a, ok := c.(Answer); ok && a.Answer.RetryIsSafe {
			t.Fatalf("the client is told that a retry is harmless: %+v", a)
		}
	}
}

func TestKeyedStaysInItsGroupAndWindow(t *testing.T) {
	for _, c := range []struct {
		class  int
		engine string
		at     float64
		may    bool
	}{{2, "w0", 1.5, true}, {2, "w1", 1.5, false}, {2, "w0", 3.5, false}, {3, "w1", 1.5, true}, {3, "w1", 3.5, false}} {
		l := newBook()
		l.Request(1, request("a", c.class), 0)
		n := decode(t, l, 1, "a", "w0")
		l.Ended(1.2, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}, nil)
		l.TakeCommands()
		l.Apply(c.at, scheduler.Send{ID: "a", Engine: c.engine})
		if got := len(find[Start](l)) == 1; got != c.may {
			t.Errorf("class %d to %s at %g: %v", c.class, c.engine, c.at, got)
		}
	}
}

func TestNothingToDrainingOrGoneAfterTheGrace(t *testing.T) {
	l := newBook()
	l.Members(10, scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: scheduler.EngineDraining}}})
	for i, c := range []struct {
		engine string
		at     float64
		may    bool
	}{{"w0", 10.2, true}, {"w0", 10.3, false}, {"w1", 10.2, true}, {"w1", 10.3, false}, {"w9", 10.1, false}} {
		id := fmt.Sprint("q", i)
		l.Request(c.at, request(id, 0), 0)
		l.Take()
		l.Apply(c.at, scheduler.Send{ID: id, Engine: c.engine})
		if got := len(find[Start](l)) == 1; got != c.may {
			t.Errorf("to %s at %g: %v", c.engine, c.at, got)
		}
	}
}

func TestFirstTokenIsGrantedOnce(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 0), 0)
	x, y := decode(t, l, 1, "a", "w0"), decode(t, l, 1, "a", "w1")
	l.First(1.1, "a", x)
	l.First(1.1, "a", y)
	grants := 0
	for _, c := range l.TakeCommands() {
		if g, ok := c.(Grant); ok && g.OK {
			grants++
		}
	}
	if grants != 1 {
		t.Fatalf("%d grants", grants)
	}
}

func TestLastWordWaitsForTheStreamToStop(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 1), 0)
	n := decode(t, l, 1, "a", "w0")
	l.First(1.1, "a", n)
	l.TakeCommands()
	l.EndAll(2)
	for _, c := range l.TakeCommands() {
		if _, ok := c.(Answer); ok {
			t.Fatal("two would write to the client at once")
		}
	}
	l.Ended(2.1, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	if as := find[Answer](l); len(as) != 1 || as[0].Answer.RetryIsSafe {
		t.Fatalf("%+v", as)
	}
}

func TestWholeAnswerEndsBeforeItsClientGivesUp(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 1), 8)
	n := decode(t, l, 1, "a", "w0")
	l.First(2, "a", n)
	at, _ := l.Deadline("a")
	l.Overdue(at-0.5, "a")
	if as := find[Abort](l); len(as) != 0 || at > 9 || at < 8 {
		t.Fatalf("%v at %g", as, at)
	}
	l.Overdue(at, "a")
	if as := find[Abort](l); len(as) != 1 {
		t.Fatalf("%v", as)
	}
	l.Ended(at+0.01, "a", n, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
	if as := find[Answer](l); len(as) != 1 || as[0].Answer.RetryIsSafe || as[0].Answer.Code != "answer_too_slow" {
		t.Fatalf("%+v", as)
	}
}

func TestLateReadIsLetGoOf(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 0), 0)
	n := decode(t, l, 1, "a", "r0")
	l.Hangup(1.1, "a", false)
	l.Ended(1.2, "a", n, outcome.Evidence{Cause: outcome.ResponseComplete, Progress: outcome.HeaderReceived, ResponseKind: outcome.PrefillDone}, nil)
	if rs := find[Release](l); len(rs) != 1 || rs[0].Engine != "r0" {
		t.Fatalf("%v", rs)
	}
	if l.Held() != 0 {
		t.Fatal("still held")
	}
}

// world plays a module that does anything at all, and sockets that do the same, against the book.
type world struct {
	t       *rapid.T
	l       *Ledger
	now     float64
	out     map[string]map[int]Start // attempts that run
	answers map[string]int           // final answers given to clients
	granted map[string]int
	grantee map[string]int
	owed    map[string]map[int]bool // outcomes that the module waits for
	effect  map[string]int          // decode attempts that were written whole and did not prove otherwise
	class   map[string]int
	gone    map[string]bool
	states  map[string]map[int]bool // states that engines hold, by the attempt that read them
}

// drain carries out commands and takes events.
func (w *world) drain() {
	events, cmds := w.l.Take()
	for _, ev := range events {
		if o, ok := ev.(scheduler.Outcome); ok {
			if !w.owed[o.ID][o.Attempt] {
				w.t.Fatalf("outcome of attempt %d of %s comes twice or from nowhere", o.Attempt, o.ID)
			}
			delete(w.owed[o.ID], o.Attempt)
		}
	}
	for _, c := range cmds {
		switch c := c.(type) {
		case Start:
			if w.answers[c.ID] > 0 || w.gone[c.ID] {
				w.t.Fatalf("%s is sent to %s after its end", c.ID, c.Engine)
			}
			k := classes()[w.class[c.ID]]
			if c.Stage == outcome.Decode && k.Effect == scheduler.AtMostOnce && w.effect[c.ID] > 0 {
				w.t.Fatalf("%s may run twice", c.ID)
			}
			if c.Stage == outcome.Decode {
				w.effect[c.ID]++ // until it proves otherwise
			}
			w.out[c.ID][c.N] = c
		case Grant:
			if c.OK {
				w.grantee[c.ID] = c.N
				if w.granted[c.ID]++; w.granted[c.ID] > 1 {
					w.t.Fatalf("%s is granted twice", c.ID)
				}
			}
		case Answer:
			w.answers[c.ID]++
			k := classes()[w.class[c.ID]]
			if c.Answer.RetryIsSafe && k.Effect == scheduler.AtMostOnce && w.effect[c.ID] > 0 {
				w.t.Fatalf("%s may have run and is refused: %+v", c.ID, c)
			}
		case Pass:
			w.answers[c.ID]++
		case Release:
			delete(w.states[c.ID], c.N)
		case Forget:
			if len(w.out[c.ID]) > 0 {
				w.t.Fatalf("%s is forgotten with attempts out", c.ID)
			}
			if len(w.states[c.ID]) > 0 {
				w.t.Fatalf("%s is forgotten with a state held", c.ID)
			}
			if w.answers[c.ID] == 0 && !w.gone[c.ID] {
				w.t.Fatalf("%s is forgotten without an answer", c.ID)
			}
		}
		if c, ok := c.(Answer); ok && w.answers[c.ID] > 1 {
			w.t.Fatalf("%s has %d final answers", c.ID, w.answers[c.ID])
		}
	}
	if err := w.l.Audit(); err != nil {
		w.t.Fatal(err)
	}
}

// end ends a running attempt in some way that its progress allows.
func (w *world) end(id string, s Start) {
	f := outcome.Evidence{Cause: outcome.Cause(rapid.IntRange(0, int(outcome.ClientDisconnected)).Draw(w.t, "cause")),
		Progress: outcome.Progress(rapid.IntRange(int(outcome.Connecting), int(outcome.HeaderReceived)).Draw(w.t, "progress"))}
	if f.Cause == outcome.ResponseComplete {
		f.Progress = outcome.HeaderReceived
		f.ResponseKind = outcome.ResponseKind(rapid.IntRange(int(outcome.EngineError), int(outcome.InvalidRequest)).Draw(w.t, "meaning"))
		if (w.granted[id] == 0 || w.grantee[id] != s.N) && f.ResponseKind == outcome.DecodeDone && s.Stage == outcome.Decode {
			f.ResponseKind = outcome.EngineRejected // a stream is never whole before its first token
		}
	}
	f.Stage = s.Stage
	v := outcome.Classify(f)
	if s.Stage == outcome.Decode && !v.MayHaveRun && v.Status != scheduler.Completed {
		w.effect[id]--
	}
	if s.Stage == outcome.Prefill && (v.Status == scheduler.Prefilled || v.MayHoldState) {
		w.states[id][s.N] = true
	}
	if s.Stage == outcome.Decode && s.State && (v.Info == 1 || v.Status == scheduler.Completed && !v.PassThrough) {
		delete(w.states[id], s.StateN)
	}
	delete(w.out[id], s.N)
	if s.Stage == outcome.Decode && v.Status == scheduler.Completed && !v.PassThrough {
		w.answers[id]++ // it was passed on as it came
	}
	if f.Cause == outcome.ClientDisconnected {
		w.gone[id] = true
		w.l.Hangup(w.now, id, false)
	}
	w.l.Ended(w.now, id, s.N, f, nil)
}

// Whatever the module and the sockets do, in whatever order, the book keeps the rules.
func TestBookKeepsTheRulesUnderAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, l: newBook(), now: 1, out: map[string]map[int]Start{}, answers: map[string]int{},
			granted: map[string]int{}, grantee: map[string]int{}, owed: map[string]map[int]bool{}, effect: map[string]int{}, class: map[string]int{},
			gone: map[string]bool{}, states: map[string]map[int]bool{}}
		var ids []string
		sends := map[string]int{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.now += rapid.Float64Range(0, 0.3).Draw(t, "pass")
			op := rapid.IntRange(0, 11).Draw(t, "op")
			if op == 0 || len(ids) == 0 {
				id := fmt.Sprint("q", len(ids))
				w.class[id] = rapid.IntRange(0, 3).Draw(t, "class")
				w.out[id], w.owed[id], w.states[id] = map[int]Start{}, map[int]bool{}, map[int]bool{}
				if _, ok := w.l.Request(w.now, request(id, w.class[id]), rapid.SampledFrom([]float64{0, 6}).Draw(t, "whole")); ok {
					ids = append(ids, id)
				}
				w.drain()
				continue
			}
			id := rapid.SampledFrom(ids).Draw(t, "id")
			var running []Start
			for n := range 200 {
				if s, ok := w.out[id][n]; ok {
					running = append(running, s)
				}
			}
			switch op {
			case 1, 2, 3:
				engine := rapid.SampledFrom([]string{"r0", "r1", "w0", "w1", "nobody"}).Draw(t, "engine")
				if w.l.open[id] != nil {
					w.owed[id][sends[id]] = true
					sends[id]++
				}
				w.l.Apply(w.now, scheduler.Send{ID: id, Engine: engine})
			case 4, 5, 6:
				if len(running) > 0 {
					w.end(id, rapid.SampledFrom(running).Draw(t, "attempt"))
				}
			case 7:
				if len(running) > 0 {
					if s := rapid.SampledFrom(running).Draw(t, "attempt"); s.Stage == outcome.Decode {
						had := w.granted[id]
						w.l.First(w.now, id, s.N)
						w.drain()
						if w.granted[id] > had && s.State { // the fetch has ended
							delete(w.states[id], s.StateN)
						}
					}
				}
			case 8:
				w.l.Apply(w.now, rapid.SampledFrom([]scheduler.Action{scheduler.Reject{ID: id}, scheduler.Fail{ID: id}, scheduler.Release{ID: id},
					scheduler.Cancel{ID: id, Attempt: 0}, scheduler.Cancel{ID: id, Attempt: 1}}).Draw(t, "action"))
			case 9:
				w.gone[id] = w.gone[id] || w.answers[id] == 0
				w.l.Hangup(w.now, id, rapid.Bool().Draw(t, "half"))
			case 10:
				w.l.Overdue(w.now, id)
			case 11:
				state := rapid.SampledFrom([]scheduler.EngineState{scheduler.EngineReady, scheduler.EngineDraining}).Draw(t, "state")
				w.l.Members(w.now, scheduler.EndpointUpdate{Form: scheduler.UpdateIncremental, Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: state}}})
			}
			w.drain()
		}
		// In the end everything is answered, every attempt ends, and the book is empty.
		w.l.Close()
		w.l.EndAll(w.now)
		w.drain()
		for _, id := range ids {
			for n := range 200 {
				if s, ok := w.out[id][n]; ok {
					delete(w.out[id], n)
					w.l.Ended(w.now, id, s.N, outcome.Evidence{Progress: outcome.Connected, Cause: outcome.RequestEnded}, nil)
					w.drain()
				}
			}
		}
		if w.l.Held() != 0 || w.l.Live() != 0 {
			t.Fatalf("%d entries, %d live are left", w.l.Held(), w.l.Live())
		}
		for _, id := range ids {
			if len(w.owed[id]) > 0 {
				t.Fatalf("%s: the module still waits for %v", id, w.owed[id])
			}
		}
	})
}

// Attempts that ended before their request was written count towards the limit only where they are to, and beyond as many again.
func TestUnsentAttemptsDoNotCount(t *testing.T) {
	for free, want := range map[bool]int{false: 4, true: 8} {
		l := newBook()
		cfg := l.cfg
		cfg.UnsentFree = free
		l.Reconfigure(cfg)
		l.Request(1, request("a", 1), 0)
		l.Take()
		n := 0
		for range 20 {
			l.Apply(1, scheduler.Send{ID: "a", Engine: "w0"})
			starts := find[Start](l)
			if len(starts) == 0 {
				break
			}
			n++
			l.Ended(1, "a", starts[0].N, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
			if err := l.Audit(); err != nil {
				t.Fatal(err)
			}
		}
		if n != want {
			t.Errorf("free %v: got %d attempts, want %d", free, n, want)
		}
	}
}
