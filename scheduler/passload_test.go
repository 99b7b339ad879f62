package scheduler

import (
	"fmt"
	"testing"
)

// setDecodeEnginesFull sets whether the engines that decode are full and ejected.
func setDecodeEnginesFull(sched *Scheduler, full bool) {
	until := 0.0
	if full {
		until = 1e6
	}
	for _, target := range sched.engineList {
		if target.role == Decode {
			target.ejectedUntil = until
			target.fullUntil = until
		}
	}
}

// crowdedScheduler returns a scheduler with 3,200 engines, half of which prefill and none of which accepts a decode, and requests that
// arrive in the next step.
func crowdedScheduler(t *testing.T, requests int) (*Scheduler, []Event) {
	t.Helper()
	endpoints := listOf()
	for i := range 3200 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprintf("e%04d", i), i%2, i/2%4))
	}
	sched := startScheduler(t, testConfig(), endpoints)
	setDecodeEnginesFull(sched, true)
	var events []Event
	for i := range requests {
		req := testRequest(fmt.Sprint("q", i), idempotentClass)
		req.Prefix = fmt.Sprint("p", i)
		events = append(events, req)
	}
	return sched, events
}

// Guards against a decision pass without a bound: while it runs, no request is answered and no state is released. Requests that the pass
// has not reached are handled in the next one.
func TestPassEndsAtItsEvaluationLimit(t *testing.T) {
	const oneSearch = 8 * 3200 // evaluations of the searches that one request may begin
	sched, events := crowdedScheduler(t, 300)
	acts := sched.Step(1, events)
	load := sched.LastPass()
	if load.Evaluations > maxEvaluations+oneSearch {
		t.Errorf("got %d evaluations, want at most %d and one more request", load.Evaluations, maxEvaluations)
	}
	if !load.Interrupted {
		t.Error("the pass is not marked as interrupted")
	}
	if timer := onlyAction[SetTimer](t, acts); timer.At > 1+2*sched.cfg.Tick {
		t.Errorf("the next pass comes at %g, want it after a tick", timer.At)
	}
}

// Guards against final responses that wait until the pass has searched engines for other requests.
func TestInterruptedPassesAnswerEachRequestInTime(t *testing.T) {
	sched, events := crowdedScheduler(t, 300)
	answered := 0
	acts := sched.Step(1, events)
	interrupted := 0
	for now := 1.0; now < 6 && answered < len(events); {
		for _, reject := range actionsOf[Reject](acts) {
			answered++
			if now >= 5 {
				t.Errorf("%s is rejected at %g, after its deadline", reject.ID, now)
			}
		}
		if sched.LastPass().Interrupted {
			interrupted++
		}
		now += 0.005
		acts = sched.Step(now, []Event{TimerFired{Token: sched.timerToken}})
	}
	if answered != len(events) || interrupted == 0 {
		t.Errorf("got %d final responses in %d interrupted passes, want %d in some", answered, interrupted, len(events))
	}
}

// Guards against states that are held past their limit because the pass is interrupted before it reaches them.
func TestInterruptedPassesReleaseStatesInTime(t *testing.T) {
	sched, events := crowdedScheduler(t, 300)
	setDecodeEnginesFull(sched, false)
	prefilled := map[string]float64{}
	released := map[string]float64{}
	acts := sched.Step(1, events)
	for now := 1.005; now < 4; now += 0.005 {
		var outcomes []Event
		for _, sent := range actionsOf[Send](acts) {
			if prefilled[sent.ID] == 0 {
				prefilled[sent.ID] = now
				outcomes = append(outcomes, Outcome{ID: sent.ID, Engine: sent.Engine, Status: Prefilled, Spent: 0.005})
			}
		}
		setDecodeEnginesFull(sched, true)
		acts = sched.Step(now, append(outcomes, TimerFired{Token: sched.timerToken}))
		for _, release := range actionsOf[Release](acts) {
			released[release.ID] = now
		}
	}
	if len(prefilled) < 100 {
		t.Fatalf("got %d prefilled requests, want at least 100", len(prefilled))
	}
	for id, since := range prefilled {
		if at := released[id]; at == 0 || at > since+sched.cfg.Rules.StateReleaseLimit {
			t.Errorf("the state of %s since %g is released at %g", id, since, at)
		}
	}
}
