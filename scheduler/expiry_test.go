package scheduler

import (
	"fmt"
	"testing"
)

func TestFinalResponseComesBeforeAShortDeadline(t *testing.T) {
	// The time left is shorter than the recheck interval, so the timer must be set for the final response, not for the next recheck.
	sched := startScheduler(t, testConfig(), listOf())
	req := testRequest("a", 0)
	req.ClientTimeLeft = 0.013
	acts := sched.Step(1, []Event{req})
	if len(actionsOf[Reject](acts)) == 1 {
		return
	}
	timer := onlyAction[SetTimer](t, acts)
	if timer.At > 1.013-0.002 {
		t.Fatalf("the timer is set for %g, too late for a final response before the deadline", timer.At)
	}
	onlyAction[Reject](t, sched.Step(timer.At, []Event{TimerFired{timer.Token}}))
}

func TestQueuedRequestGetsItsFinalResponseFromTimersAlone(t *testing.T) {
	sched := startScheduler(t, testConfig(), listOf())
	acts := sched.Step(1, []Event{testRequest("a", 1)})
	now := 1.0
	for i := 0; i < 1000; i++ {
		if len(actionsOf[Reject](acts)) == 1 {
			if now >= 5 {
				t.Fatalf("final response at %g, after the deadline", now)
			}
			return
		}
		timer := onlyAction[SetTimer](t, acts)
		now = timer.At
		acts = sched.Step(now, []Event{TimerFired{timer.Token}})
	}
	t.Fatal("no final response")
}

// A request that can no longer be served with any value is rejected in the same step, not when half of its time has passed. A request
// whose late response still has value waits.
func TestRequestWithoutAttainableValueIsRejectedAtOnce(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	req := testRequest("a", 0)
	req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 2e5, 0, 2 // takes 10 s to prefill at best
	onlyAction[Reject](t, sched.Step(1, []Event{req}))

	cfg := testConfig()
	cfg.Classes[0].LateValue = 0
	req = testRequest("b", 0)
	req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 6e4, 0, 30 // takes 3 s at best: before its deadline, but after its objective
	cfg.Classes[0].ObjectivePer1KTokens = 0
	sched = startScheduler(t, cfg, testFleet())
	onlyAction[Reject](t, sched.Step(1, []Event{req}))

	cfg = testConfig()
	cfg.Classes[0].ObjectivePer1KTokens = 0
	sched = startScheduler(t, cfg, testFleet())
	noAction[Reject](t, sched.Step(1, []Event{req}))
}

// If the limits allow it, a rejection has a Retry-After delay: within the allowed maximum, spread at random, and shorter where
// nothing waits. Otherwise it has none.
func TestRejectionsHaveRetryAfterIfAllowed(t *testing.T) {
	unservable := func(id string) Request {
		req := testRequest(id, 0)
		req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 2e5, 0, 2
		return req
	}
	sched := startScheduler(t, testConfig(), testFleet())
	if a := onlyAction[Reject](t, sched.Step(1, []Event{unservable("a")})); a.RetryAfter != 0 {
		t.Fatalf("got Retry-After %g, want none, as it is not allowed", a.RetryAfter)
	}
	cfg := testConfig()
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, 1
	sched = startScheduler(t, cfg, testFleet())
	idleMean, seen := 0.0, map[float64]bool{}
	for i := range 20 {
		a := onlyAction[Reject](t, sched.Step(1+float64(i)/100, []Event{unservable(fmt.Sprint("a", i))}))
		if !(a.RetryAfter > 0 && a.RetryAfter <= 1) {
			t.Fatalf("got Retry-After %g, want above 0 and at most 1", a.RetryAfter)
		}
		idleMean, seen[a.RetryAfter] = idleMean+a.RetryAfter/20, true
	}
	if len(seen) < 10 {
		t.Fatalf("clients that are rejected together would retry together: %v", seen)
	}
	for i := range 60 { // fills the queues of both prefill engines
		req := testRequest(fmt.Sprint("b", i), 0)
		req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft, req.Prefix = 5000, 0, 30, fmt.Sprint("p", i)
		sched.Step(2, []Event{req})
	}
	busyMean := 0.0
	for i := range 20 {
		busyMean += onlyAction[Reject](t, sched.Step(2.01+float64(i)/1000, []Event{unservable(fmt.Sprint("c", i))})).RetryAfter / 20
	}
	if busyMean <= idleMean {
		t.Fatalf("mean Retry-After is %g s with full queues and %g s with empty ones, want the first to be longer", busyMean, idleMean)
	}
}
