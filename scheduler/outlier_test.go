package scheduler

import (
	"fmt"
	"math"
	"testing"
)

func TestAttemptIsNotCanceledWithinRecentPredictionErrors(t *testing.T) {
	// A node of a large fleet often has only one attempt at an engine. If prefills have recently taken a second longer than
	// predicted, an attempt that is a second late is not canceled.
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
		t.Fatal("the engine accepts work after two failures in a row")
	}
	sched.now += maxEjection
	if !sched.acceptsWork(e) {
		t.Fatal("the engine accepts no request on probation after the ejection")
	}
	e.admitted = []*request{{stage: stageDecoding, decodeEngine: e, inFlight: &attempt{engine: e, sentAt: sched.now, predictedSeconds: 1}}}
	if sched.acceptsWork(e) {
		t.Fatal("the engine accepts a second request on probation while the first is in flight")
	}
	e.admitted = nil
	for i := 0; i < 5; i++ {
		sched.recordSuccess(e)
	}
	if e.failureScore >= probationScore {
		t.Fatal("the engine is still on probation after five successes")
	}
}

func TestEnginesThatFailedLeastAreUsedIfAllAreEjected(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	for _, e := range sched.engineList {
		e.failureScore, e.ejectedUntil = 0.9, 100
	}
	sched.engines["r1"].failureScore, sched.engines["w1"].failureScore = 0.6, 0.6
	if prefill, decode := prefillAndPlace(t, sched, 1, testRequest("a", 0)); prefill != "r1" || decode != "w1" {
		t.Fatalf("sent to %s and %s, want r1 and w1", prefill, decode)
	}
}

func TestSilentPrefillEngineGetsNoFurtherRequests(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	s := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	got := onlyAction[Send](t, sched.Step(1.6, []Event{testRequest("b", 0)}))
	if got.Engine == s.Engine {
		t.Fatalf("the second request was sent to %s, which is silent", s.Engine)
	}
}

// A prefill engine that loses its states still answers prefills normally. The cause can be a machine that is cut off, too little memory,
// or a restart that the endpoint list doesn't show. A decode engine that rejects an attempt because it found no state doesn't count as
// full.
func TestPrefillEngineThatLosesStatesIsAvoided(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	now, preferred := 1.0, ""
	for i := range 2 {
		req := testRequest(fmt.Sprint("q", i), 0)
		prefill, decode := prefillAndPlace(t, sched, now, req)
		if preferred == "" {
			preferred = prefill
		}
		acts := sched.Step(now+0.2, []Event{Outcome{ID: req.ID, Attempt: 1, Engine: decode, Status: Rejected, Info: 1}})
		if e := sched.engines[decode]; e.fullUntil > now {
			t.Fatalf("%s counts as full", decode)
		}
		if i == 0 {
			if s := onlyAction[Send](t, acts); s.Engine != preferred { // one lost state is taken as chance
				t.Fatalf("prefilled again at %s, want %s", s.Engine, preferred)
			}
			sched.Step(now+0.3, []Event{ClientDisconnected{ID: req.ID},
				Outcome{ID: req.ID, Attempt: 2, Engine: preferred, Status: Canceled, RequestEnded: true}})
		} else if s := onlyAction[Send](t, acts); s.Engine == preferred {
			t.Fatalf("%s lost two states and the request was sent to it again", preferred)
		}
		now += 0.5
	}
}

// An engine answers some attempts and loses others. If it answers two later attempts first, the earlier attempt is canceled, and the
// request is retried at another engine. This counts as a failure of the engine, but the engine still accepts work. An attempt that only
// one later attempt has overtaken may just be slow, and continues.
func TestOvertakenAttemptIsCanceledAndRetriedElsewhere(t *testing.T) {
	for _, c := range []struct {
		later    int // attempts that are sent later and answered earlier
		canceled bool
	}{
		{later: 1, canceled: false},
		{later: 2, canceled: true},
	} {
		t.Run(fmt.Sprintf("overtaken by %d", c.later), func(t *testing.T) {
			sched, lost := overtakeAttempt(t, c.later)
			engine := sched.engines[lost.Engine]
			if engine.failureScore > 0 || !sched.acceptsWork(engine) {
				t.Fatal("an engine that answers other attempts counts as silent or failing")
			}
			if got := cancels(sched.Step(2.2, []Event{TimerFired{}}), lost.ID); got != c.canceled {
				t.Fatalf("canceled: got %v, want %v", got, c.canceled)
			}
			if c.canceled {
				checkRetriedElsewhere(t, sched, lost)
			}
		})
	}
}

// overtakeAttempt makes the scheduler send one attempt, and then later ones to the same engine, which answers only these.
func overtakeAttempt(t *testing.T, later int) (*Scheduler, Send) {
	t.Helper()
	cfg := testConfig()
	cfg.Kinds = cfg.Kinds[:2]
	sched := startScheduler(t, cfg, listOf(testEngine("r0", prefillKind, 0), testEngine("r1", prefillKind, 0),
		testEngine("w0", decodeKind, 0)))
	lost := onlyAction[Send](t, sched.Step(1, []Event{testRequest("lost", 0)}))
	for i := range later {
		id, now := fmt.Sprint("n", i), 1.1+float64(i)/10
		sent := onlyAction[Send](t, sched.Step(now, []Event{testRequest(id, 0)}))
		if sent.Engine != lost.Engine {
			t.Fatalf("%s was sent to %s, want %s", id, sent.Engine, lost.Engine)
		}
		sched.Step(now+0.05, []Event{Outcome{ID: id, Engine: sent.Engine, Status: Prefilled, Spent: 0.05}})
	}
	return sched, lost
}

// cancels reports whether an attempt of the request is canceled. Other attempts may be canceled too, as the decode engine never answers.
func cancels(actions []Action, id string) bool {
	for _, cancel := range actionsOf[Cancel](actions) {
		if cancel.ID == id {
			return true
		}
	}
	return false
}

func checkRetriedElsewhere(t *testing.T, sched *Scheduler, lost Send) {
	t.Helper()
	actions := sched.Step(2.21, []Event{Outcome{ID: lost.ID, Engine: lost.Engine, Status: Canceled, Spent: 1.2}})
	for _, sent := range actionsOf[Send](actions) {
		if sent.ID == lost.ID && sent.Engine == lost.Engine {
			t.Fatal("the request was retried at the engine that lost its attempt")
		}
	}
	if sched.engines[lost.Engine].failureScore <= 0 {
		t.Fatal("the lost attempt doesn't raise the failure score of the engine")
	}
}

// An engine that hangs while others of its role answer must not raise the prediction error of the role. Otherwise the next engine that
// hangs would be detected later than the first. If all engines of the role are late, the error is learned.
func TestHangingEngineDoesNotRaisePredictionErrorOfItsRole(t *testing.T) {
	endpoints := listOf(testEngine("w0", decodeKind, 0))
	for i := range 6 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), prefillKind, 0))
	}
	for _, c := range []struct {
		name         string
		othersAnswer bool
		least, most  float64 // mean prediction error afterwards, in seconds
	}{
		{name: "others answer", othersAnswer: true, least: 0, most: 0.05},
		{name: "none answers", othersAnswer: false, least: 0.3, most: math.Inf(1)},
	} {
		t.Run(c.name, func(t *testing.T) {
			sched := startScheduler(t, testConfig(), endpoints)
			now := 1.0
			for i := range 12 {
				id := fmt.Sprint("hangs", i)
				hanging := onlyAction[Send](t, sched.Step(now, []Event{testRequest(id, 0)}))
				if c.othersAnswer {
					answerOthers(sched, now, i, hanging.Engine)
				}
				sched.Step(now+2, []Event{Outcome{ID: id, Engine: hanging.Engine, Status: Canceled, Spent: 2}, ClientDisconnected{ID: id}})
				now += 2.5
			}
			if got := sched.predictionError[Prefill].get(now, 0, 0); got < c.least || got > c.most {
				t.Errorf("mean prediction error is %.2f s, want %g to %g", got, c.least, c.most)
			}
		})
	}
}

// answerOthers sends two further requests and answers those that went to other engines than the hanging one.
func answerOthers(sched *Scheduler, now float64, round int, hanging string) {
	for k := range 2 {
		id := fmt.Sprint("good", round, "-", k)
		req := testRequest(id, 0)
		req.Prefix = id
		sent := actionsOf[Send](sched.Step(now+0.01, []Event{req}))
		if len(sent) == 1 && sent[0].Engine != hanging {
			sched.Step(now+0.06, []Event{Outcome{ID: id, Engine: sent[0].Engine, Status: Prefilled, Spent: 0.05}})
		}
		sched.Step(now+0.06, []Event{ClientDisconnected{ID: id}})
	}
}
