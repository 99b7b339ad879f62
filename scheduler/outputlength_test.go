package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestOutputLengthFollowsHintsAndLongestStreams(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	req := &request{Request: testRequest("a", 0), class: &sched.cfg.Classes[0]}
	req.DurationHint = 3
	if got := sched.expectedOutputTokens(req); got != 50 {
		t.Fatalf("output tokens by the hint: got %g, want 50", got)
	}
	if got := meanToQuantileRatio([]float64{1, 1, 1, 1, 2}, 1); math.Abs(got-0.6) > 1e-9 {
		t.Fatalf("mean over the longest: got %g, want 0.6", got)
	}
}

// A response of one or two tokens can begin and end within one step. If its duration of zero is learned, the expected output length
// becomes NaN, and then no decode engine with a stream passes the admission tests any more.
func TestStreamsWithoutDurationAreNotLearned(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	now := 1.0
	for i := range 2 * maxStreamTimes {
		req := testRequest(fmt.Sprint("q", i), 0)
		_, decode := prefillAndPlace(t, sched, now, req)
		sched.Step(now+0.2, []Event{FirstToken{ID: req.ID, Attempt: 1, Engine: decode, Spent: 0.01},
			Outcome{ID: req.ID, Attempt: 1, Engine: decode, Status: Completed, Closed: true}})
		now += 0.5
	}
	req := &request{Request: testRequest("x", 0), class: &sched.cfg.Classes[0]}
	if n := sched.expectedOutputTokens(req); !(n > 0) {
		t.Fatalf("expected output tokens: got %v, want above 0", n)
	}
	for i := range 3 { // streams that take longer than a step
		req := testRequest(fmt.Sprint("long", i), 0)
		_, decode := prefillAndPlace(t, sched, now, req)
		sched.Step(now+0.2, []Event{FirstToken{ID: req.ID, Attempt: 1, Engine: decode, Spent: 0.01}})
		now += 0.3
	}
}
