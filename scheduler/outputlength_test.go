package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestOutputLengthIsInferred(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	req := &request{Request: testRequest("a", 0), class: &sched.cfg.Classes[0]}
	req.DurationHint = 3
	if got := sched.expectedOutputTokens(req); got != 50 {
		t.Fatalf("length by the hint is %g, want 50", got)
	}
	if got := meanToQuantileRatio([]float64{1, 1, 1, 1, 2}, 1); math.Abs(got-0.6) > 1e-9 {
		t.Fatalf("mean over the longest is %g, want 0.6", got)
	}
}

// Answers of a token or two begin and end within one step. Their time of zero made the expected length not a number, and then
// no decode engine with a stream passed the admission tests any more (seen on sockets).
func TestStreamsWithoutDurationAreNotLearned(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	now := 1.0
	for i := range 2 * maxStreamTimes {
		req := testRequest(fmt.Sprint("q", i), 0)
		_, w := prefillAndPlace(t, sched, now, req)
		sched.Step(now+0.2, []Event{FirstToken{ID: req.ID, Attempt: 1, Engine: w, Spent: 0.01},
			Outcome{ID: req.ID, Attempt: 1, Engine: w, Status: Completed, Closed: true}})
		now += 0.5
	}
	req := &request{Request: testRequest("x", 0), class: &sched.cfg.Classes[0]}
	if n := sched.expectedOutputTokens(req); !(n > 0) {
		t.Fatalf("an answer is expected to have %v tokens", n)
	}
	for i := range 3 { // streams that last
		req := testRequest(fmt.Sprint("long", i), 0)
		_, w := prefillAndPlace(t, sched, now, req)
		sched.Step(now+0.2, []Event{FirstToken{ID: req.ID, Attempt: 1, Engine: w, Spent: 0.01}})
		now += 0.3
	}
}
