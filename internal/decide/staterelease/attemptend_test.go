package staterelease

import (
	"testing"

	"pgregory.net/rapid"
)

// callsAfterEnd returns the times of the calls that follow an attempt that ended at endedAt, if each call is acknowledged immediately. At
// servedAt the engine responds to a later request that was started at that time; 0 = never.
func callsAfterEnd(endedAt, allowed, servedAt float64) (calls []float64) {
	schedule := RetrySchedule{Deadline: endedAt + allowed, AnyEngine: true, Allowed: allowed, End: AttemptEnd{At: endedAt}}
	now := endedAt
	for {
		if servedAt > 0 && now >= servedAt {
			schedule.End.EngineServedAt = servedAt
		}
		at, again := schedule.Next(now, Acknowledged)
		if !again {
			return calls
		}
		calls = append(calls, at)
		now = at
	}
}

// After an attempt ended without a response, further calls follow the first one although each is acknowledged, because a prefill may end
// between them. Each of these calls is repeated if it fails.
func TestCallsFollowACutAttempt(t *testing.T) {
	if calls := callsAfterEnd(0, 1, 0); len(calls) != 0 {
		t.Errorf("without such an attempt: got calls at %v, want none", calls)
	}
	calls := callsAfterEnd(5, 1, 5.04)
	if len(calls) != 2 || calls[0] > 5.1 || calls[1] < 5.5 || calls[1] > 5.9 {
		t.Fatalf("got calls at %v, want one a moment later and one before the limit", calls)
	}
	schedule := RetrySchedule{Deadline: 6, AnyEngine: true, Allowed: 1, End: AttemptEnd{At: 5, EngineServedAt: 5.04}}
	if at, again := schedule.Next(5.001, Acknowledged); !again || at != calls[0] || schedule.OnlyDelayedCallsLeft() {
		t.Fatalf("after the first call: got %g, %v, want %g, which is no delayed one", at, again, calls[0])
	}
	if at, again := schedule.Next(calls[0], Unacknowledged); !again || at != calls[0] {
		t.Errorf("the second call failed: got %g, %v, want a retry at once", at, again)
	}
	if at, again := schedule.Next(calls[0]+0.05, Acknowledged); !again || at != calls[1] || !schedule.OnlyDelayedCallsLeft() {
		t.Errorf("after the second call: got %g, %v, want %g, a delayed one", at, again, calls[1])
	}
	if at, again := schedule.Next(calls[1], Acknowledged); again {
		t.Errorf("after the last call: got a further one at %g", at)
	}
}

// Engines hang for up to 10 s, so an engine that has served no later request may notice the end of an attempt that much later. Whenever it
// does, a call follows within the limit on the state. The number of calls is bounded.
func TestACallFollowsWithinTheLimitWheneverAnEngineNoticesTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed := rapid.Float64Range(0.3, 3).Draw(t, "allowed")
		endedAt := rapid.Float64Range(1, 1e6).Draw(t, "ended")
		const hangTime = 10.0
		noticedAt := endedAt + rapid.Float64Range(0, hangTime).Draw(t, "noticed after")
		calls := callsAfterEnd(endedAt, allowed, 0)
		if most := int(delayedCallTime/(delayedCallInterval*allowed)) + 3; len(calls) > most {
			t.Fatalf("%d calls, want at most %d", len(calls), most)
		}
		for _, at := range calls {
			if at >= noticedAt && at <= noticedAt+allowed {
				return
			}
		}
		t.Fatalf("ended at %g, noticed at %g, allowed %g: calls at %v", endedAt, noticedAt, allowed, calls)
	})
}

// An engine that has responded to a later request has noticed the end, so the calls for engines that are slow to notice stop.
func TestCallsEndOnceTheEngineHasServedALaterRequest(t *testing.T) {
	calls := callsAfterEnd(5, 1, 8)
	if last := calls[len(calls)-1]; last < 8 || last > 9 {
		t.Errorf("got calls at %v, want the last one within a limit after 8", calls)
	}
}

// Further calls go to other engines that respond, as long as there are any: an engine that acknowledged a call may not have reached the
// one that holds the state.
func TestFurtherCallsGoToOtherEngines(t *testing.T) {
	engines := []Engine{{ID: "a", Listed: true, Holder: true}, {ID: "b", Listed: true, LastSuccess: 2}, {ID: "c", Listed: true},
		{ID: "silent", Listed: true, LastFailure: 4}}
	schedule := RetrySchedule{Deadline: 6, AnyEngine: true, Allowed: 1, End: AttemptEnd{At: 5}}
	got := ""
	for range 4 {
		got += schedule.NextEngines(engines)[0]
		schedule.Next(5, Acknowledged)
	}
	if got != "abca" {
		t.Errorf("called %s, want abca", got)
	}
}
