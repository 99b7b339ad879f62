package staterelease

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The number of calls is bounded and none is made after the deadline. If the first call was lost and time remains, a second one is made.
func TestReleaseCallsAreBoundedAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e9).Draw(t, "now")
		schedule := RetrySchedule{Deadline: now + rapid.Float64Range(0.001, 10).Draw(t, "left")}
		calls := 1
		for {
			now += rapid.Float64Range(0, 0.5).Draw(t, "took")
			result := Unacknowledged
			if rapid.IntRange(0, 9).Draw(t, "answered") == 0 {
				result = Acknowledged
			}
			at, again := schedule.Next(now, result)
			if !again {
				if result == Unacknowledged && calls == 1 && now < schedule.Deadline {
					t.Fatalf("no second call after a lost one with %.3f s left", schedule.Deadline-now)
				}
				break
			}
			if result == Acknowledged || at < now || at > schedule.Deadline {
				t.Fatalf("%v at %.3f: next call at %.3f, want one by %.3f, or none", result, now, at, schedule.Deadline)
			}
			now = at
			if calls++; calls > maxAttempts {
				t.Fatalf("%d calls exceed the maximum", calls)
			}
		}
	})
}

// Engines whose last call succeeded come before those whose last call failed. Among engines that are otherwise equal, the holder comes
// first.
func TestRankEngines(t *testing.T) {
	got := ""
	for _, e := range RankEngines([]Engine{
		{ID: "dead holder", Holder: true, LastSuccess: 1, LastFailure: 5},
		{ID: "gone", LastSuccess: 9},
		{ID: "old", Listed: true, LastSuccess: 2},
		{ID: "new", Listed: true, LastSuccess: 8, LastFailure: 3},
		{ID: "silent", Listed: true, LastFailure: 4},
	}, 5) {
		got += e.ID + ", "
	}
	if want := "new, old, gone, silent, dead holder, "; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	engines := []Engine{{ID: "a", Listed: true, LastSuccess: 9}, {ID: "h", Listed: true, Holder: true}}
	if firstEngine := RankEngines(engines, 1)[0].ID; firstEngine != "h" {
		t.Errorf("the first engine is %s, want the holder", firstEngine)
	}
}

// A node that is cut off from all engines but one finds that engine within four rounds, in which it calls no engine twice. Once all have
// been called, it starts over.
func TestRoundsOfCallsFindTheEngineThatResponds(t *testing.T) {
	var engines []Engine
	for i := range 11 {
		engines = append(engines, Engine{ID: string(rune('a' + i)), Listed: true, LastSuccess: float64(20 - i)})
	}
	schedule := RetrySchedule{Deadline: 10.4, AnyEngine: true}
	now, called := 10.0, map[string]int{}
	for round := range 4 {
		for _, id := range schedule.NextEngines(engines) {
			called[id]++
			i := id[0] - 'a'
			engines[i].LastFailure = 30
		}
		if round == 0 && called["a"] != 1 {
			t.Errorf("got %v in the first round, want the engine that responded latest", called)
		}
		now += schedule.CallTimeout(now)
		at, again := schedule.Next(now, Unacknowledged)
		if !again || at > now+0.05 {
			t.Fatalf("round %d: the next one at %g, %v, now %g", round, at, again, now)
		}
		now = at
	}
	if len(called) != len(engines) || now > 10.4 {
		t.Errorf("called %v in four rounds of %.2f s, want all engines in 0.4 s", called, now-10)
	}
	for id, n := range called {
		if n != 1 {
			t.Errorf("%s was called %d times, want once", id, n)
		}
	}
	if again := schedule.NextEngines(engines); len(again) == 0 {
		t.Error("no engine is called once all have been")
	}
}

func TestCallTimeoutLeavesTimeForRetries(t *testing.T) {
	schedule := RetrySchedule{Deadline: 11}
	if w := schedule.CallTimeout(10); w > 0.3 {
		t.Errorf("the timeout of a call is %g s of 1 s, want at most 0.3 s", w)
	}
	if w := schedule.CallTimeout(12); w <= 0 {
		t.Errorf("the timeout of a call past the deadline is %g s", w)
	}
}

// If any engine can release the state, two silent engines use up little of the time for the release, even if that is short.
func TestSilentEnginesLeaveTimeForOtherEngines(t *testing.T) {
	schedule := RetrySchedule{Deadline: 10.3, AnyEngine: true}
	now := 10.0
	for range 2 {
		now += schedule.CallTimeout(now)
		if at, again := schedule.Next(now, Unacknowledged); !again || at != now {
			t.Fatalf("got a further call %v at %g, want one at once", again, at)
		}
	}
	if now > 10.15 {
		t.Errorf("two silent engines took %g s of 0.3", now-10)
	}
}

func TestNextEngineIsCalledAtOnce(t *testing.T) {
	schedule := RetrySchedule{Deadline: 11, AnyEngine: true}
	if at, again := schedule.Next(10, Unacknowledged); !again || at != 10 {
		t.Errorf("got a further call %v at %g, want one at 10", again, at)
	}
	if _, again := schedule.Next(10, Acknowledged); again {
		t.Error("called again after a response")
	}
}

// Calls that fail immediately, because a system call fails or a connection is refused, do not use up the number of calls during the outage:
// an engine that becomes reachable again before the deadline is called.
func TestImmediateFailuresDoNotExhaustAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed := rapid.Float64Range(0.3, 5).Draw(t, "allowed")
		outage := rapid.Float64Range(0, 0.8).Draw(t, "outage") * allowed
		schedule := RetrySchedule{Deadline: 100 + allowed, AnyEngine: rapid.Bool().Draw(t, "any")}
		now, calls := 100.0, 1
		for now < 100+outage {
			at, again := schedule.Next(now, Unacknowledged)
			if !again {
				t.Fatalf("no further call at %.3f s of %.3f after %d calls; calls fail until %.3f s", now-100, allowed, calls, outage)
			}
			if calls++; calls > 64 {
				t.Fatalf("%d calls within %.3f s, want at most 64", calls, now-100)
			}
			now = at
		}
		if now > schedule.Deadline {
			t.Fatalf("the call after the outage is made %.3f s after the deadline", now-schedule.Deadline)
		}
	})
}

// If any engine can release the state, calls continue past the deadline because the state is still held. Their number is bounded.
func TestReleaseRetriesContinuePastDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := RetrySchedule{Deadline: 11, AnyEngine: true}
		now, calls, ended := 11.0, 0, 0.0
		outage := rapid.Float64Range(0, 45).Draw(t, "outage")
		for now < 11+outage {
			at, again := schedule.Next(now, Unacknowledged)
			if !again {
				t.Fatalf("no further call %.3f s after the deadline, with calls failing for %.3f s", now-11, outage)
			}
			if pause, most := at-now, max(minOverduePause, (now-11)/2); pause < minOverduePause-1e-9 || pause > most {
				t.Fatalf("%.3f s after the deadline the next call is made %.3f s later, want %.3f to %.3f",
					now-11, pause, minOverduePause, most)
			}
			calls++
			now, ended = at+rapid.Float64Range(0, 0.2).Draw(t, "took"), at
		}
		if calls > 40 {
			t.Fatalf("%d calls in %.3f s, want at most 40", calls, ended-11)
		}
		if _, again := schedule.Next(now, Acknowledged); again {
			t.Fatal("called again after a response")
		}
	})
	schedule := RetrySchedule{Deadline: 11, AnyEngine: true}
	if at, again := schedule.Next(11+overdueRetryTime, Unacknowledged); again {
		t.Errorf("called again at %g", at)
	}
	if at, again := (&RetrySchedule{Deadline: 11}).Next(11, Unacknowledged); again && at <= 11 {
		t.Errorf("one engine is called at once at its deadline: %g", at)
	}
}

// A state that is due is released immediately, or its attempts are canceled so that the next check releases it, unless a response streams.
func TestEveryDueStateHasAnAction(t *testing.T) {
	for _, c := range []struct {
		progress  Progress
		fetchable bool
		want      Action
	}{
		{NoneInFlight, true, Release},
		{NotDelivered, true, Cancel},
		{Silent, true, Release},
		{Responding, true, Wait},
		{NoneInFlight, false, Release},
		{NotDelivered, false, Release}, // the attempt does not need the released state
		{Silent, false, Release},
		{Responding, false, Wait},
	} {
		if got := ActionAtLimit(c.progress, c.fetchable); got != c.want {
			t.Errorf("progress %d, fetchable %v: got %v, want %v", c.progress, c.fetchable, got, c.want)
		}
	}
}

func TestDueTimeLeavesAttemptsTimeWithinTheLimit(t *testing.T) {
	for _, c := range []struct{ since, attemptAt, want float64 }{
		{10, 0, 10.9}, {10, 10.1, 10.9}, {10, 10.65, 10.95}, {10, 10.8, 11}, {10, 12, 11},
	} {
		if got := DueAt(c.since, 1, c.attemptAt); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("held since %g, attempt at %g: got %g, want %g", c.since, c.attemptAt, got, c.want)
		}
	}
}

// Guards against release calls whose cost grows with the fleet on the goroutine that owes the answers: the first engines are found without
// sorting them all, and are those of a sort, whatever the order in which the engines come.
func TestRankEnginesFindsTheFirstOfASort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for i := range rapid.IntRange(0, 40).Draw(t, "engines") {
			engines = append(engines, Engine{
				ID:          fmt.Sprint(i),
				Listed:      rapid.Bool().Draw(t, "listed"),
				Holder:      i == 7,
				LastSuccess: float64(rapid.IntRange(0, 3).Draw(t, "success")),
				LastFailure: float64(rapid.IntRange(0, 3).Draw(t, "failure")),
			})
		}
		limit := rapid.IntRange(1, 5).Draw(t, "limit")
		want := slices.SortedFunc(slices.Values(engines), compareRank)
		want = want[:min(limit, len(want))]
		if got := RankEngines(rapid.Permutation(engines).Draw(t, "order"), limit); !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// BenchmarkNextEngines measures the choice of the engine for one release call.
func BenchmarkNextEngines(b *testing.B) {
	for _, size := range []int{100, 800, 3200} {
		var engines []Engine
		for i := range size {
			engines = append(engines, Engine{ID: fmt.Sprint(i), Listed: true, LastSuccess: float64(i * 7919 % size)})
		}
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				(&RetrySchedule{AnyEngine: true}).NextEngines(engines)
			}
		})
	}
}
