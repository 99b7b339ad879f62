package scheduler

import (
	"fmt"
	"testing"
)

func TestFinalResponseComesBeforeAShortDeadline(t *testing.T) {
	// The time left is under recheckInterval: the timer must be for the final response, not for the next look.
	sched := startScheduler(t, testConfig(), listOf())
	req := testRequest("a", 0)
	req.ClientTimeLeft = 0.013
	acts := sched.Step(1, []Event{req})
	if len(actionsOf[Reject](acts)) == 1 {
		return
	}
	at := onlyAction[SetTimer](t, acts)
	if at.At > 1.013-0.002 {
		t.Fatalf("timer at %g is past the deadline", at.At)
	}
	onlyAction[Reject](t, sched.Step(at.At, []Event{TimerFired{at.Token}}))
}

func TestQueuedRequestGetsItsFinalResponseByTimersAlone(t *testing.T) {
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
		w := onlyAction[SetTimer](t, acts)
		now = w.At
		acts = sched.Step(now, []Event{TimerFired{w.Token}})
	}
	t.Fatal("no final response")
}

// A request that can no longer be served with some value is rejected in that pass, not when half of its time is over, and one
// whose late answer still has value waits.
func TestRequestWithoutAttainableValueIsRejectedAtOnce(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	req := testRequest("a", 0)
	req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 2e5, 0, 2 // 10 s to prefill at best
	onlyAction[Reject](t, sched.Step(1, []Event{req}))

	cfg := testConfig()
	cfg.Classes[0].LateValue = 0
	req = testRequest("b", 0)
	req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 6e4, 0, 30 // 3 s at best: before its deadline, but after its objective
	cfg.Classes[0].ObjectivePer1KTokens = 0
	sched = startScheduler(t, cfg, testFleet())
	onlyAction[Reject](t, sched.Step(1, []Event{req}))

	cfg = testConfig()
	cfg.Classes[0].ObjectivePer1KTokens = 0
	sched = startScheduler(t, cfg, testFleet())
	noAction[Reject](t, sched.Step(1, []Event{req}))
}

// A rejection tells a Retry-After delay where the settings let it: within the most that they allow, spread, shorter where
// nothing waits; and tells none where they don't.
func TestRejectionsTellRetryAfter(t *testing.T) {
	hopeless := func(id string) Request {
		req := testRequest(id, 0)
		req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft = 2e5, 0, 2
		return req
	}
	sched := startScheduler(t, testConfig(), testFleet())
	if a := onlyAction[Reject](t, sched.Step(1, []Event{hopeless("a")})); a.RetryAfter != 0 {
		t.Fatalf("got Retry-After %g where none is allowed", a.RetryAfter)
	}
	cfg := testConfig()
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, 1
	sched = startScheduler(t, cfg, testFleet())
	idle, seen := 0.0, map[float64]bool{}
	for i := range 20 {
		a := onlyAction[Reject](t, sched.Step(1+float64(i)/100, []Event{hopeless(fmt.Sprint("a", i))}))
		if !(a.RetryAfter > 0 && a.RetryAfter <= 1) {
			t.Fatalf("got Retry-After %g, want above 0 and 1 at most", a.RetryAfter)
		}
		idle, seen[a.RetryAfter] = idle+a.RetryAfter/20, true
	}
	if len(seen) < 10 {
		t.Fatalf("clients that are rejected together return together: %v", seen)
	}
	for i := range 60 { // both prefill engines get long queues
		req := testRequest(fmt.Sprint("b", i), 0)
		req.PromptTokens, req.PrefixTokens, req.ClientTimeLeft, req.Prefix = 5000, 0, 30, fmt.Sprint("p", i)
		sched.Step(2, []Event{req})
	}
	busy := 0.0
	for i := range 20 {
		busy += onlyAction[Reject](t, sched.Step(2.01+float64(i)/1000, []Event{hopeless(fmt.Sprint("c", i))})).RetryAfter / 20
	}
	if busy <= idle {
		t.Fatalf("mean Retry-After %g s behind a queue, %g s without one", busy, idle)
	}
}
