package staterelease

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Calls end, never come after the time, and come at least twice where the first was lost and time is left.
func TestReleaseCallsAreBoundedAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e9).Draw(t, "now")
		p := RetrySchedule{Deadline: now + rapid.Float64Range(0.001, 10).Draw(t, "left")}
		calls := 1
		for {
			now += rapid.Float64Range(0, 0.5).Draw(t, "took")
			o := Unacknowledged
			if rapid.IntRange(0, 9).Draw(t, "answered") == 0 {
				o = Acknowledged
			}
			at, again := p.Next(now, o)
			if !again {
				if o == Unacknowledged && calls == 1 && now < p.Deadline {
					t.Fatalf("given up after one lost call with %.3f s left", p.Deadline-now)
				}
				break
			}
			if o == Acknowledged || at < now || at > p.Deadline {
				t.Fatalf("outcome %d at %.3f: again at %.3f, by %.3f", o, now, at, p.Deadline)
			}
			now = at
			if calls++; calls > maxAttempts {
				t.Fatalf("%d calls", calls)
			}
		}
	})
}

// Who answered last comes before who failed last; the holder comes first among its likes; nobody is left out.
func TestRankEngines(t *testing.T) {
	got := ""
	for _, e := range RankEngines([]Engine{
		{ID: "dead holder", Holder: true, LastSuccess: 1, LastFailure: 5},
		{ID: "gone", LastSuccess: 9},
		{ID: "old", Listed: true, LastSuccess: 2},
		{ID: "new", Listed: true, LastSuccess: 8, LastFailure: 3},
		{ID: "silent", Listed: true, LastFailure: 4},
	}) {
		got += e.ID + ", "
	}
	if want := "new, old, gone, silent, dead holder, "; got != want {
		t.Errorf("%s; want %s", got, want)
	}
	if first := RankEngines([]Engine{{ID: "a", Listed: true, LastSuccess: 9}, {ID: "h", Listed: true, Holder: true}})[0].ID; first != "h" {
		t.Errorf("the holder comes first, not %s", first)
	}
}

func TestCallTimeoutLeavesTimeForRetries(t *testing.T) {
	p := RetrySchedule{Deadline: 11}
	if w := p.CallTimeout(10); w > 0.3 {
		t.Errorf("one call may take %g of a second", w)
	}
	if w := p.CallTimeout(12); w <= 0 {
		t.Errorf("a call has %g s", w)
	}
	if EarliestRelease(5, 0) != 5 || EarliestRelease(5, 5) <= 5 {
		t.Error("only what was cut waits")
	}
	if at := EarliestRelease(5, 4.5); at != 5 {
		t.Errorf("what was cut long ago is released at %g, want 5: at once", at)
	}
}

// Where any engine will do, two that are silent use up little of even a short time to release.
func TestSilentEnginesLeaveTimeForOtherEngines(t *testing.T) {
	p := RetrySchedule{Deadline: 10.3, AnyEngine: true}
	now := 10.0
	for range 2 {
		now += p.CallTimeout(now)
		if at, again := p.Next(now, Unacknowledged); !again || at != now {
			t.Fatalf("again %v at %g, want at once", again, at)
		}
	}
	if now > 10.15 {
		t.Errorf("two silent engines took %g s of 0.3", now-10)
	}
}

func TestNextEngineIsCalledAtOnce(t *testing.T) {
	p := RetrySchedule{Deadline: 11, AnyEngine: true}
	if at, again := p.Next(10, Unacknowledged); !again || at != 10 {
		t.Errorf("again %v at %g", again, at)
	}
	if _, again := p.Next(10, Acknowledged); again {
		t.Error("asked again after an answer")
	}
}

// Calls that fail at once, because a system call does or a connection is refused, do not use up the calls that are left while it
// lasts: whoever can be asked again before the time is up is asked.
func TestImmediateFailuresDoNotExhaustAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		letGoBy := rapid.Float64Range(0.3, 5).Draw(t, "let go by")
		outage := rapid.Float64Range(0, 0.8).Draw(t, "outage") * letGoBy
		p := RetrySchedule{Deadline: 100 + letGoBy, AnyEngine: rapid.Bool().Draw(t, "any")}
		now, calls := 100.0, 1
		for now < 100+outage {
			at, again := p.Next(now, Unacknowledged)
			if !again {
				t.Fatalf("given up at %.3f s of %.3f after %d calls, with calls failing until %.3f s", now-100, letGoBy, calls, outage)
			}
			if calls++; calls > 64 {
				t.Fatalf("%d calls within %.3f s", calls, now-100)
			}
			now = at
		}
		if now > p.Deadline {
			t.Fatalf("the call after the outage comes %.3f s after the time", now-p.Deadline)
		}
	})
}

// Once the time is over, calls go on where any engine can release, for the state is still held; they are few, and end.
func TestReleaseRetriesContinuePastDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := RetrySchedule{Deadline: 11, AnyEngine: true}
		now, calls, ended := 11.0, 0, 0.0
		outage := rapid.Float64Range(0, 45).Draw(t, "outage")
		for now < 11+outage {
			at, again := p.Next(now, Unacknowledged)
			if !again {
				t.Fatalf("given up %.3f s after the time, with calls failing for %.3f s", now-11, outage)
			}
			if pause, most := at-now, max(minOverduePause, (now-11)/2); pause < minOverduePause-1e-9 || pause > most {
				t.Fatalf("%.3f s after the time the next call is made %.3f s later, want %.3f to %.3f", now-11, pause, minOverduePause, most)
			}
			calls++
			now, ended = at+rapid.Float64Range(0, 0.2).Draw(t, "took"), at
		}
		if calls > 40 {
			t.Fatalf("%d calls in %.3f s", calls, ended-11)
		}
		if _, again := p.Next(now, Acknowledged); again {
			t.Fatal("asked again after an answer")
		}
	})
	p := RetrySchedule{Deadline: 11, AnyEngine: true}
	if at, again := p.Next(11+overdueRetryTime, Unacknowledged); again {
		t.Errorf("asked again at %g", at)
	}
	if at, again := (&RetrySchedule{Deadline: 11}).Next(11, Unacknowledged); again && at <= 11 {
		t.Errorf("one engine is asked at once at the end of its time: %g", at)
	}
}

func TestEngineRespondedSinceAttemptStarted(t *testing.T) {
	for _, c := range []struct {
		heardAt float64
		want    bool
	}{{0, false}, {9.9, false}, {10.01, false}, {10.2, true}} {
		if got := EngineResponded(c.heardAt, 10); got != c.want {
			t.Errorf("heard of at %g, begun at 10: got %v, want %v", c.heardAt, got, c.want)
		}
	}
}

func TestReleaseBesideAttemptLeavesItTime(t *testing.T) {
	for _, c := range []struct{ now, since, want float64 }{{10.1, 10, 10.9}, {10.8, 10, 11.1}, {12, 10, 12.3}} {
		if got := SilentReleaseAt(c.now, c.since, 1); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("begun at %g, held since %g: got %g, want %g", c.now, c.since, got, c.want)
		}
	}
}
