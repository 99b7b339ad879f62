package scheduler

import (
	"fmt"
	"testing"
)

func TestAttemptIsNotCanceledWherePredictionsAreLate(t *testing.T) {
	// One attempt at an engine is all that a router of a large fleet has there: where prefills have lately missed their
	// predictions by a second, one that is a second late is not canceled.
	for _, c := range []struct {
		predictionError float64 // seconds
		cancels         int
	}{
		{predictionError: 0, cancels: 1},
		{predictionError: 1, cancels: 0},
	} {
		sched := startScheduler(t, testConfig(), testFleet())
		sched.predictionError[Prefill].add(0, c.predictionError, 1)
		sched.Step(1, []Event{testRequest("a", 0)})
		if got := len(actionsOf[Cancel](sched.Step(2.6, nil))); got != c.cancels {
			t.Fatalf("prediction error %g s: got %d cancels, want %d", c.predictionError, got, c.cancels)
		}
	}
}

func TestFailingEngineIsEjectedAndReadmittedOnProbation(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	e := sched.engines["w0"]
	sched.now = 1
	sched.recordFailure(e)
	sched.recordFailure(e)
	if sched.acceptsWork(e) {
		t.Fatal("gets work after two failures in a row")
	}
	sched.now += maxEjection
	if !sched.acceptsWork(e) {
		t.Fatal("gets no request on probation after the ejection")
	}
	e.admitted = []*request{{stage: stageDecoding, decodeEngine: e, inFlight: &attempt{engine: e, sentAt: sched.now, expected: 1}}}
	if sched.acceptsWork(e) {
		t.Fatal("gets a second request on probation beside the first")
	}
	e.admitted = nil
	for i := 0; i < 5; i++ {
		sched.recordSuccess(e)
	}
	if e.failureScore >= probationScore {
		t.Fatal("still on probation after five successes")
	}
}

func TestWithAllEjectedTheLeastFailedServes(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	for _, e := range sched.engineList {
		e.failureScore, e.ejectedUntil = 0.9, 100
	}
	sched.engines["r1"].failureScore, sched.engines["w1"].failureScore = 0.6, 0.6
	if prefill, w := prefillAndPlace(t, sched, 1, testRequest("a", 0)); prefill != "r1" || w != "w1" {
		t.Fatalf("sent to %s and %s, want r1 and w1", prefill, w)
	}
}

func TestSilentPrefillEngineGetsNothingMore(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	s := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	got := onlyAction[Send](t, sched.Step(1.6, []Event{testRequest("b", 0)}))
	if got.Engine == s.Engine {
		t.Fatalf("%s is silent and got more", s.Engine)
	}
}

// A prefill engine that loses its states (a node cut off, memory run short, a restart that the endpoint list doesn't show)
// answers prefills as if all were well. The decode engine that finds no state is not full.
func TestPrefillEngineThatLosesStatesIsAvoided(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	now, preferred := 1.0, ""
	for i := range 2 {
		req := testRequest(fmt.Sprint("q", i), 0)
		prefill, w := prefillAndPlace(t, sched, now, req)
		if preferred == "" {
			preferred = prefill
		}
		acts := sched.Step(now+0.2, []Event{Outcome{ID: req.ID, Attempt: 1, Engine: w, Status: Rejected, Info: 1}})
		if e := sched.engines[w]; e.fullUntil > now {
			t.Fatalf("%s counts as full", w)
		}
		if i == 0 {
			if s := onlyAction[Send](t, acts); s.Engine != preferred { // once is chance
				t.Fatalf("prefilled again at %s, want %s", s.Engine, preferred)
			}
			sched.Step(now+0.3, []Event{ClientDisconnected{ID: req.ID},
				Outcome{ID: req.ID, Attempt: 2, Engine: preferred, Status: Canceled, Closed: true}})
		} else if s := onlyAction[Send](t, acts); s.Engine == preferred {
			t.Fatalf("%s lost two states and gets the request again", preferred)
		}
		now += 0.5
	}
}

// An engine that answers some attempts and none to others: one that two later ones overtook is called off and tried
// elsewhere, and counts against the engine, which is not taken for silent. Two that are merely slow are left alone.
func TestOvertakenAttemptIsCanceledAndRetriedElsewhere(t *testing.T) {
	cfg := testConfig()
	cfg.Kinds = cfg.Kinds[:2]
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("r1", 0, 0), testEngine("w0", 1, 0))
	for _, later := range []int{1, 2} {
		sched := startScheduler(t, cfg, endpoints)
		lost := onlyAction[Send](t, sched.Step(1, []Event{testRequest("lost", 0)}))
		for i := range later {
			id, now := fmt.Sprint("n", i), 1.1+float64(i)/10
			s := onlyAction[Send](t, sched.Step(now, []Event{testRequest(id, 0)}))
			if s.Engine != lost.Engine {
				t.Fatalf("%s went to %s", id, s.Engine)
			}
			sched.Step(now+0.05, []Event{Outcome{ID: id, Engine: s.Engine, Status: Prefilled, Spent: 0.05}})
		}
		if sched.engines[lost.Engine].failureScore > 0 || !sched.acceptsWork(sched.engines[lost.Engine]) {
			t.Fatal("an engine that answers is not silent")
		}
		cancelled := false
		for _, c := range actionsOf[Cancel](sched.Step(2.2, []Event{TimerFired{}})) { // the writer says nothing: not what is asked here
			cancelled = cancelled || c.ID == "lost"
		}
		if cancelled != (later == 2) {
			t.Fatalf("%d later ones answered, called off: %v", later, cancelled)
		}
		if later == 1 {
			continue
		}
		acts := sched.Step(2.21, []Event{Outcome{ID: "lost", Engine: lost.Engine, Status: Canceled, Spent: 1.2}})
		for _, s := range actionsOf[Send](acts) {
			if s.ID == "lost" && s.Engine == lost.Engine {
				t.Fatal("tried again where it was lost")
			}
		}
		if sched.engines[lost.Engine].failureScore <= 0 {
			t.Fatal("what it loses does not count against it")
		}
	}
}

// An engine that hangs while others of its role answer says nothing of the role: the next one that hangs is noticed as soon as
// the first was. Where the whole role is late, that is learned.
func TestHangingEngineDoesNotRaisePredictionErrorOfItsRole(t *testing.T) {
	endpoints := listOf(testEngine("w0", 1, 0))
	for i := range 6 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), 0, 0))
	}
	for _, c := range []struct {
		others bool
		most   float64 // mean error believed afterwards
	}{{true, 0.05}, {false, 9}} {
		sched := startScheduler(t, testConfig(), endpoints)
		now := 1.0
		for i := range 12 {
			id := fmt.Sprint("hangs", i)
			s := onlyAction[Send](t, sched.Step(now, []Event{testRequest(id, 0)}))
			if c.others {
				for k := range 2 { // two others are answered at once
					other := fmt.Sprint("good", i, "-", k)
					req := testRequest(other, 0)
					req.Prefix = other
					x := actionsOf[Send](sched.Step(now+0.01, []Event{req}))
					if len(x) == 1 && x[0].Engine != s.Engine {
						sched.Step(now+0.06, []Event{Outcome{ID: other, Engine: x[0].Engine, Status: Prefilled, Spent: 0.05}})
					}
					sched.Step(now+0.06, []Event{ClientDisconnected{ID: other}})
				}
			}
			sched.Step(now+2, []Event{Outcome{ID: id, Engine: s.Engine, Status: Canceled, Spent: 2}, ClientDisconnected{ID: id}})
			now += 2.5
		}
		got := sched.predictionError[Prefill].get(now, 0, 0)
		if c.others && got > c.most || !c.others && got < 0.3 {
			t.Errorf("others answer: %v; mean error %.2f s", c.others, got)
		}
	}
}
