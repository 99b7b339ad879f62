package scheduler

import (
	"fmt"
	"testing"
)

func TestAtMostOnceIsNeitherRetriedNorRejectedAfterItMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		status     Status
		mayHaveRun bool
	}{
		{status: ServerError, mayHaveRun: true},
		{status: ConnectionLost, mayHaveRun: true},
		{status: TimedOut, mayHaveRun: true},
		{status: Canceled, mayHaveRun: true},
		{status: Rejected, mayHaveRun: false},
		{status: ConnectFailed, mayHaveRun: false},
	} {
		t.Run(c.status.String(), func(t *testing.T) {
			sched := startScheduler(t, testConfig(), testFleet())
			_, decode := prefillAndPlace(t, sched, 1, testRequest("a", atMostOnceClass))
			acts := sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: decode, Status: c.status}})
			if !c.mayHaveRun {
				onlyAction[Send](t, acts) // the state still waits, and another decode engine gets it
				return
			}
			noAction[Send](t, acts)
			noAction[Reject](t, acts)
			onlyAction[Fail](t, acts)
			onlyAction[Release](t, acts)
		})
	}
}

func TestIdempotentByKeyIsRetriedWithinScopeAndWindow(t *testing.T) {
	endpoints := testFleet()
	endpoints.Engines = append(endpoints.Engines, testEngine("w0b", 1, 0), testEngine("w1b", 1, 1))
	sched := startScheduler(t, testConfig(), endpoints)
	prefill, decode := prefillAndPlace(t, sched, 1, testRequest("a", 2))
	s := onlyAction[Send](t, sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: decode, Status: ServerError}}))
	if s.Engine[1] != prefill[1] {
		t.Fatalf("retried at %s, want an engine in the cell of %s", s.Engine, decode)
	}
	// After the deduplication window no repeat may be sent, and a scope smaller than the fleet forbids a rejection.
	acts := sched.Step(3.2, []Event{Outcome{ID: "a", Attempt: 2, Engine: s.Engine, Status: ServerError}})
	noAction[Send](t, acts)
	noAction[Reject](t, acts)
	onlyAction[Fail](t, acts)
}

// After an attempt that may have run, each further attempt of a request counts as a repeat, even a new prefill. A request that is
// idempotent by key is therefore prefilled again within its deduplication scope or not at all.
func TestIdempotentByKeyIsPrefilledAgainWithinScope(t *testing.T) {
	endpoints, cfg := testFleet(), testConfig()
	endpoints.Engines = append(endpoints.Engines, testEngine("w0b", 1, 0), testEngine("w1b", 1, 1))
	cfg.Limits.MaxAttempts = 8
	sched := startScheduler(t, cfg, endpoints)
	_, decode := prefillAndPlace(t, sched, 1, testRequest("a", 2))
	s := onlyAction[Send](t, sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: decode, Status: ServerError}}))
	removed := testEngine("r"+decode[1:2], 0, int(decode[1]-'0'))
	removed.State = EngineRemoved
	acts := sched.Step(1.3, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{removed}},
		Outcome{ID: "a", Attempt: 2, Engine: s.Engine, Status: Rejected, Info: 1}})
	for _, x := range actionsOf[Send](acts) {
		if x.Engine[1] != decode[1] {
			t.Fatalf("prefilled again at %s after an attempt at %s, want the same cell", x.Engine, decode)
		}
	}
}

// A client's time must be spent on attempts that can succeed. If a retry could go to the engine that has just failed, an engine that fails
// immediately would get two attempts of a request before it is ejected.
func TestRetryGoesToAnotherEngine(t *testing.T) {
	endpoints := listOf()
	for i := range 4 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), 0, 0), testEngine(fmt.Sprint("w", i), 1, 0))
	}
	sched := startScheduler(t, testConfig(), endpoints)
	first := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)})).Engine
	again := onlyAction[Send](t, sched.Step(1.01, []Event{Outcome{ID: "a", Engine: first, Status: ServerError, Spent: 0.01}})).Engine
	if again == first {
		t.Fatalf("retried at %s, where the request failed", first)
	}
	sched = startScheduler(t, testConfig(), listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0)))
	sched.Step(1, []Event{testRequest("a", 0)})
	acts := sched.Step(1.01, []Event{Outcome{ID: "a", Engine: "r0", Status: ServerError, Spent: 0.01}})
	if again := onlyAction[Send](t, acts).Engine; again != "r0" {
		t.Fatalf("retried at %s, want the only prefill engine", again)
	}
}

// An engine that rejects a request although it reports spare capacity doesn't get the request again while there are other engines. An
// engine that reports a queue may get it again.
func TestRejectionDespiteSpareCapacityIsRetriedElsewhere(t *testing.T) {
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("r1", 0, 0), testEngine("w0", 1, 0))
	for _, waiting := range []float64{0, 3} {
		sched := startScheduler(t, testConfig(), endpoints)
		s := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
		report := &LoadReport{Waiting: waiting, Utilization: 0.2, Has: HasWaiting | HasUtilization}
		rejected := Outcome{ID: "a", Engine: s.Engine, Status: Rejected, Spent: 0.28, Report: report}
		again := onlyAction[Send](t, sched.Step(1.3, []Event{rejected}))
		if elsewhere := again.Engine != s.Engine; elsewhere != (waiting == 0) {
			t.Errorf("%g requests waiting: sent to %s, then to %s", waiting, s.Engine, again.Engine)
		}
		if sched.engines[s.Engine].failureScore != 0 {
			t.Error("a rejection raised the failure score of the engine")
		}
	}
}

// Engines that crash together refuse connections within milliseconds. If attempts that were never written don't count towards MaxAttempts,
// a request may have more refused connections than attempts. It waits while all engines are ejected, and is served after the outage.
func TestRefusedConnectionsDoNotCountAsAttempts(t *testing.T) {
	for _, exempt := range []bool{true, false} {
		t.Run(fmt.Sprintf("unsent attempts exempt %v", exempt), func(t *testing.T) {
			cfg := testConfig()
			cfg.Limits.MaxAttempts, cfg.Limits.ExemptUnsentAttempts = 4, exempt
			sends, served := simulateOutage(t, cfg)
			if served != exempt {
				t.Errorf("after %d attempts, prefilled after the outage is %v, want %v", sends, served, exempt)
			}
			if exempt && sends > 2*cfg.Limits.MaxAttempts {
				t.Errorf("got %d attempts, want at most twice the limit", sends)
			}
		})
	}
}

// simulateOutage simulates 2 s in which one at-most-once request meets prefill engines that refuse connections for the first 0.4 s. It
// returns the number of attempts, and whether one was sent after the outage.
func simulateOutage(t *testing.T, cfg Config) (sends int, served bool) {
	t.Helper()
	const start, outageEnd, step, steps = 1.0, 1.4, 0.005, 400
	sched := startScheduler(t, cfg, listOf(testEngine("r0", prefillKind, 0), testEngine("r1", prefillKind, 0),
		testEngine("r2", prefillKind, 0), testEngine("w0", decodeKind, 0)))
	now := start
	actions := sched.Step(now, []Event{testRequest("a", atMostOnceClass)})
	for range steps {
		var outcomes []Event
		for _, sent := range actionsOf[Send](actions) {
			outcome := Outcome{ID: "a", Attempt: sends, Engine: sent.Engine, Status: Prefilled, Spent: 0.05}
			if now < outageEnd {
				outcome.Status, outcome.Spent = ConnectFailed, 1e-3
			}
			outcomes = append(outcomes, outcome)
			sends++
		}
		served = served || now > outageEnd && len(outcomes) > 0
		now += step
		actions = sched.Step(now, outcomes)
	}
	return sends, served
}

// The scheduler alone sent a request a second time after the list had turned its decode engine into a prefill engine. What an attempt may
// have done follows from the role for which it was sent.
func TestAtMostOnceIsNotRetriedAfterDecodeEngineIsListedAsPrefillEngine(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		sched := startScheduler(t, testConfig(), testFleet())
		_, decode := prefillAndPlace(t, sched, 1, testRequest("a", atMostOnceClass))
		changed := testEngine(decode, prefillKind, int(decode[1]-'0'))
		if restarted {
			changed.BootTime = 1.1
		}
		sched.Step(1.1, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{changed}}})
		acts := sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: decode, Status: ConnectionLost}})
		noAction[Send](t, acts)
		noAction[Reject](t, acts)
		onlyAction[Fail](t, acts)
	}
}

// A prefill that fails while the list turns its engine into one that decodes may have run there, also if the list turns it back.
func TestAtMostOnceIsNotRetriedAfterRoleChangedDuringPrefill(t *testing.T) {
	for _, changes := range [][]int{{decodeKind}, {mixedKind}, {decodeKind, prefillKind}} {
		sched := startScheduler(t, testConfig(), testFleet())
		prefill := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", atMostOnceClass)})).Engine
		for i, kind := range changes {
			changed := testEngine(prefill, kind, int(prefill[1]-'0'))
			changed.BootTime = 1 + 0.1*float64(i)
			sched.Step(1.1, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{changed}}})
		}
		acts := sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 0, Engine: prefill, Status: ConnectionLost}})
		noAction[Send](t, acts)
		noAction[Reject](t, acts)
		onlyAction[Fail](t, acts)
	}
}

// The evidence of the host about an effect counts more than the status and the listed role.
func TestRetryFollowsEffectEvidence(t *testing.T) {
	for _, c := range []struct {
		effect  EffectEvidence
		retried bool
	}{{EffectByStatus, true}, {EffectExcluded, true}, {EffectPossible, false}} {
		t.Run(c.effect.String(), func(t *testing.T) {
			sched := startScheduler(t, testConfig(), testFleet())
			prefill := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", atMostOnceClass)})).Engine
			acts := sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 0, Engine: prefill, Status: ConnectionLost, Effect: c.effect}})
			if c.retried {
				onlyAction[Send](t, acts)
				return
			}
			noAction[Send](t, acts)
			noAction[Reject](t, acts)
			onlyAction[Fail](t, acts)
		})
	}
}

// An engine that has become one that decodes answers a prefill with the stream of the response. The request must neither be rejected at its
// deadline while it streams nor be sent again after its end.
func TestStreamInResponseToPrefillEndsRequest(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	prefill := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", atMostOnceClass)})).Engine
	sched.Step(1.1, []Event{FirstToken{ID: "a", Attempt: 0, Engine: prefill, Spent: 0.1}})
	for now := 1.2; now < 8; now += 0.1 {
		acts := sched.Step(now, []Event{TimerFired{}})
		noAction[Reject](t, acts)
		noAction[Fail](t, acts)
		noAction[Send](t, acts)
		noAction[Cancel](t, acts)
	}
	acts := sched.Step(8, []Event{Outcome{ID: "a", Attempt: 0, Engine: prefill, Status: Completed, RequestEnded: true}})
	noAction[Send](t, acts)
	if engine := sched.engines[prefill]; len(engine.prefills)+len(engine.admitted) != 0 || len(sched.requests) != 0 {
		t.Errorf("got %d prefills and %d admitted requests at the engine and %d requests, want none", len(engine.prefills),
			len(engine.admitted), len(sched.requests))
	}
}

// A decode engine that has become a prefill engine answers a decode attempt with a prefill. The next attempt must go to another engine and
// must not discard the state.
func TestPrefillInResponseToDecodeIsRetriedElsewhere(t *testing.T) {
	endpoints := testFleet()
	endpoints.Engines = append(endpoints.Engines, testEngine("w0b", 1, 0), testEngine("w1b", 1, 1))
	sched := startScheduler(t, testConfig(), endpoints)
	_, decode := prefillAndPlace(t, sched, 1, testRequest("a", atMostOnceClass))
	acts := sched.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: decode, Status: Prefilled}})
	noAction[Release](t, acts)
	if next := onlyAction[Send](t, acts).Engine; next == decode || next[0] != 'w' {
		t.Errorf("got an attempt at %s after %s answered with a prefill, want another decode engine", next, decode)
	}
}

// A prefill that is answered with the rejection of a decode engine must not use up its attempts at that engine.
func TestPrefillRejectedByDecodeEngineIsRetriedElsewhere(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	first := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", idempotentClass)})).Engine
	acts := sched.Step(1.1, []Event{Outcome{ID: "a", Attempt: 0, Engine: first, Status: Rejected, Info: stateMissing}})
	if next := onlyAction[Send](t, acts).Engine; next == first {
		t.Errorf("got a second attempt at %s, which has no prefill role any more", next)
	}
}
