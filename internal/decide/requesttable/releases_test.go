package requesttable

import (
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func allBook() *Ledger {
	l := newBook()
	cfg := l.cfg
	cfg.ReleaseAll = true
	l.Reconfigure(cfg)
	return l
}

// A release that takes everything would take the state of a read that runs: it waits until nothing is at stake.
func TestReleaseForAllWaitsForWhatIsOut(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r1"})
	l.Take()
	l.Ended(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	if rs := find[Release](l); len(rs) != 0 {
		t.Fatalf("released while another read is out: %v", rs)
	}
	l.Ended(1.2, "a", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	if rs := find[Release](l); len(rs) != 0 {
		t.Fatalf("released while a state is wanted: %v", rs)
	}
	n := decode(t, l, 1.3, "a", "w0")
	l.First(1.4, "a", n)
	l.Ended(1.5, "a", n, outcome.Evidence{Progress: outcome.Streaming, Cause: outcome.ResponseComplete, ResponseKind: outcome.DecodeDone}, nil)
	if rs := find[Release](l); len(rs) != 1 || rs[0].Engine != "r0" || rs[0].CutAt != 1.1 {
		t.Fatalf("%v", rs)
	}
}

// A release that failed is not repeated over what has come since; it is owed anew.
func TestReleaseIsNotRepeatedOverANewRead(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	l.Take()
	l.Ended(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.AttemptTimedOut}, nil)
	rs := find[Release](l)
	if len(rs) != 1 || !l.Wanted(rs[0]) {
		t.Fatalf("%v", rs)
	}
	l.Apply(1.2, scheduler.Send{ID: "a", Engine: "r1"})
	l.Take()
	if l.Wanted(rs[0]) {
		t.Fatal("the new read would be lost")
	}
	l.Apply(1.3, scheduler.Reject{ID: "a"})
	l.Ended(1.4, "a", 1, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}, nil)
	if again := find[Release](l); len(again) != 1 {
		t.Fatalf("%v", again)
	}
}

// An engine that read for itself keeps what it has read when its attempt breaks off.
func TestUnreadAttemptThatBrokeIsReleased(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	n := decode(t, l, 1, "a", "w0")
	l.Ended(1.1, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
	if rs := find[Release](l); len(rs) != 1 || rs[0].Engine != "w0" {
		t.Fatalf("%v", rs)
	}
	l.Request(2, request("b", 0), 0)
	n = decode(t, l, 2, "b", "w0")
	l.Ended(2.1, "b", n, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineRejected}, nil)
	if rs := find[Release](l); len(rs) != 0 {
		t.Fatalf("what never ran holds nothing: %v", rs)
	}
}

func TestIDInUseLeavesTheFirstRequest(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	if no, ok := l.Request(1.1, request("a", 1), 0); ok || no.HTTPStatus != 409 || no.RetryIsSafe {
		t.Fatalf("%+v %v", no, ok)
	}
	decode(t, l, 1.2, "a", "w0")
}

// Over all stories of one request: a release is never made while an attempt is out or a state waits, and whatever may be
// held is released before the request is forgotten.
func TestReleaseForAllProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := allBook()
		l.Request(1, request("a", 0), 0)
		l.Take()
		now, out, held, state, forgotten := 1.0, map[int]Start{}, false, false, false
		see := func() {
			for _, c := range l.TakeCommands() {
				switch c := c.(type) {
				case Start:
					out[c.N] = c
				case Release:
					if len(out) > 0 {
						t.Fatal("released while an attempt is out")
					}
					held, state = false, false
				case Forget:
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
				l.Apply(now, scheduler.Send{ID: "a", Engine: rapid.SampledFrom([]string{"r0", "r1", "w0"}).Draw(t, "engine")})
			case k == 1:
				l.Apply(now, scheduler.Release{ID: "a"})
			case k == 2 && rapid.Bool().Draw(t, "refuse"):
				l.Apply(now, scheduler.Reject{ID: "a"})
			default:
				for n, s := range out {
					f := outcome.Evidence{Progress: outcome.RequestWritten, Cause: rapid.SampledFrom([]outcome.Cause{outcome.ConnectionBroken, outcome.AttemptTimedOut, outcome.CanceledByScheduler}).Draw(t, "cause")}
					if rapid.Bool().Draw(t, "answered") {
						f = outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: rapid.SampledFrom([]outcome.ResponseKind{outcome.PrefillDone, outcome.EngineRejected, outcome.StateMissing}).Draw(t, "meaning")}
					}
					delete(out, n)
					may := f.Cause != outcome.ResponseComplete && (s.Stage == outcome.Prefill || !s.State)
					read := f.Cause == outcome.ResponseComplete && f.ResponseKind == outcome.PrefillDone && s.Stage == outcome.Prefill
					held, state = held || may || read, state || read
					l.Ended(now, "a", n, f, nil)
					break
				}
			}
			see()
		}
		l.Apply(now, scheduler.Reject{ID: "a"})
		see()
		for n := range out {
			delete(out, n)
			l.Ended(now, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.RequestEnded}, nil)
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
func TestStateIsReleasedBeforeTheNextAttempt(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	l.Take()
	l.Ended(1.1, "a", 0, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.CanceledByScheduler}, nil)
	cut := find[Release](l)
	if len(cut) != 1 || cut[0].CutAt != 1.1 {
		t.Fatalf("got %v, want the release of what was broken off at 1.1", cut)
	}
	l.Apply(1.1, scheduler.Send{ID: "a", Engine: "r1"})
	l.Take()
	if l.Wanted(cut[0]) {
		t.Fatal("released over a read that is out")
	}
	l.Ended(1.2, "a", 1, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	n := decode(t, l, 1.2, "a", "w0")
	l.Ended(1.45, "a", n, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
	l.Take()
	l.Apply(1.45, scheduler.Release{ID: "a"})
	l.Apply(1.45, scheduler.Send{ID: "a", Engine: "w0"})
	rs := find[Release](l)
	if len(rs) == 0 || rs[0].CutAt != 0 || rs[0].Engine != "r1" {
		t.Fatalf("got %v, want the state at r1 released at once", rs)
	}
}

// The time of a state runs from the latest outcome of an attempt that was out: one that arrived and was turned away begins it anew, one
// that was never written does not. A send that has not arrived when it is over is called off.
func TestTheTimeOfAStateRunsFromTheLatestOutcome(t *testing.T) {
	l := newBook()
	l.Request(1, request("a", 0), 0)
	read := decode(t, l, 1, "a", "r0")
	l.Ended(2, "a", read, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	stateAt := func(now float64) (int, float64) {
		t.Helper()
		l.Take()
		l.Apply(now, scheduler.Send{ID: "a", Engine: "w0"})
		starts := find[Start](l)
		if len(starts) != 1 || !starts[0].State {
			t.Fatalf("got %v, want one attempt with a state", starts)
		}
		return starts[0].N, starts[0].StateAt
	}
	n, at := stateAt(2.1)
	if at != 2 {
		t.Errorf("after the read: got %g, want 2", at)
	}
	l.Ended(2.2, "a", n, outcome.Evidence{Progress: outcome.Connecting, Cause: outcome.ConnectionBroken}, nil)
	n, at = stateAt(2.3)
	if at != 2 {
		t.Errorf("after a connection that failed: got %g, want 2", at)
	}
	l.Ended(2.4, "a", n, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.EngineRejected}, nil)
	n, at = stateAt(2.5)
	if at != 2.4 {
		t.Errorf("after one that was turned away: got %g, want 2.4", at)
	}
	l.Take()
	l.NotArrived("a", n)
	if aborts := find[Abort](l); len(aborts) != 1 || aborts[0].N != n {
		t.Errorf("a send that has not arrived: got %v, want it called off", aborts)
	}
}

// A state is released beside the attempt that is to take it, where nothing has come of that in the state's time nor of its engine; not
// once its answer has begun or it has ended, and not where the module calls it off.
func TestStateOfAnUnheardAttemptIsReleasedBesideIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(l *Ledger, n int)
		class  int // 0 may be repeated, 1 may not run twice
		heard  bool
		want   int
	}{
		{"nothing has come", func(*Ledger, int) {}, 1, false, 1},
		{"its engine answers others", func(*Ledger, int) {}, 1, true, 0},
		{"it may be repeated, so that the module calls it off", func(*Ledger, int) {}, 0, false, 0},
		{"its answer has begun", func(l *Ledger, n int) { l.First(1.5, "a", n) }, 1, false, 0},
		{"it has ended", func(l *Ledger, n int) {
			l.Ended(1.5, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.ConnectionBroken}, nil)
		}, 1, false, 0},
	} {
		l := allBook()
		l.Request(1, request("a", c.class), 0)
		l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
		l.Ended(1.1, "a", 0, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
		l.Take()
		n := decode(t, l, 1.2, "a", "w0")
		c.before(l, n)
		l.Take()
		l.Unheard("a", n, c.heard)
		rs := find[Release](l)
		if len(rs) != c.want {
			t.Errorf("%s: %v, want %d", c.name, rs, c.want)
			continue
		}
		if c.want == 0 {
			continue
		}
		if rs[0].Engine != "r0" || !l.Wanted(rs[0]) {
			t.Errorf("%s: %+v, again %v", c.name, rs[0], l.Wanted(rs[0]))
		}
		l.First(1.6, "a", n)
		if l.Take(); l.Wanted(rs[0]) {
			t.Errorf("%s: released again though its answer has begun", c.name)
		}
	}
}

// Beside the second attempt in a row that is silent the state is released whatever its class, and its time runs since the read: the first
// may never have arrived.
func TestStateOfTwoSilentAttemptsIsReleased(t *testing.T) {
	l := allBook()
	l.Request(1, request("a", 0), 0)
	l.Apply(1, scheduler.Send{ID: "a", Engine: "r0"})
	l.Ended(1.1, "a", 0, outcome.Evidence{Progress: outcome.HeaderReceived, Cause: outcome.ResponseComplete, ResponseKind: outcome.PrefillDone}, nil)
	l.Take()
	n := decode(t, l, 1.2, "a", "w0")
	l.Ended(1.6, "a", n, outcome.Evidence{Progress: outcome.RequestWritten, Cause: outcome.CanceledByScheduler}, nil)
	l.Take()
	l.Apply(1.7, scheduler.Send{ID: "a", Engine: "w0"})
	starts := find[Start](l)
	if len(starts) != 1 || starts[0].HeldAt != 1.1 || starts[0].StateAt != 1.6 {
		t.Fatalf("%+v, want one whose state is held since 1.1, and since 1.6 if the first attempt had arrived", starts)
	}
	l.Unheard("a", starts[0].N, false)
	if rs := find[Release](l); len(rs) != 1 {
		t.Errorf("%v", rs)
	}
}
