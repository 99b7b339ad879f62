package scheduler

import (
	"fmt"
	"testing"
)

func TestPreferredReplicasAreMostlyInCellsWithManyDecodeEngines(t *testing.T) {
	endpoints := listOf()
	for i := range 4 { // cell 0: four prefill engines, one decode engine; cell 1: two prefill engines, five decode engines
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), 0, 0))
	}
	endpoints.Engines = append(endpoints.Engines, testEngine("w", 1, 0), testEngine("r4", 0, 1), testEngine("r5", 0, 1))
	for i := range 5 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("x", i), 1, 1))
	}
	sched := startScheduler(t, testConfig(), endpoints)
	n := [2]int{}
	for i := range 300 {
		req := &request{Request: testRequest("a", 0)}
		req.Prefix = fmt.Sprint("p", i)
		n[sched.prefillCandidates(req)[0].Cell]++
	}
	if n[1] < n[0] {
		t.Fatalf("preferred replicas by cell: %v, want most in cell 1", n)
	}
}

func TestOnlyHotPrefixHasSeveralPreferredReplicas(t *testing.T) {
	endpoints := listOf(testEngine("w", 1, 0))
	for i := range 10 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), 0, 0))
	}
	sched := startScheduler(t, testConfig(), endpoints)
	sched.now = 1
	for i := range 100 {
		req := testRequest(fmt.Sprint(i), 0)
		if i%10 > 2 {
			req.Prefix = fmt.Sprint("cool", i)
		}
		sched.requestArrived(req)
	}
	replicas := map[string]map[string]bool{"p": {}, "cool9": {}}
	for i := range 200 {
		for p := range replicas {
			req := &request{Request: testRequest("a", 0)}
			req.Prefix, req.Session = p, fmt.Sprint("s", i)
			replicas[p][sched.prefillCandidates(req)[0].ID] = true
		}
	}
	if n := len(replicas["p"]); n < 2 || n > 4 || len(replicas["cool9"]) != 1 {
		t.Fatalf("preferred replicas: got %v, want 2 to 4 for the hot prefix and 1 for the other", replicas)
	}
}

func TestOverloadedPreferredReplicaIsSkipped(t *testing.T) {
	endpoints := testFleet()
	endpoints.Engines = append(endpoints.Engines, testEngine("r2", 0, 0), testEngine("r3", 0, 1))
	sched := startScheduler(t, testConfig(), endpoints)
	first := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)})).Engine
	sched.Step(1.05, []Event{Outcome{ID: "a", Engine: first, Status: Prefilled, Spent: 0.05}})
	sched.engines[first].prefillWait.add(sched.now, 0.7, 1)
	if next := onlyAction[Send](t, sched.Step(1.1, []Event{testRequest("b", 0)})).Engine; next == first {
		t.Fatal("the preferred replica was used although its queue takes 0.7 s")
	}
}

// A mixed engine is a preferred replica like a prefill engine, but for fewer prefixes. It decodes what it prefills, which avoids the
// transfer of a state. It gets the states of prefill engines only if no decode engine passes the admission tests.
func TestMixedEnginesArePreferredReplicas(t *testing.T) {
	endpoints := listOf()
	for i := range 4 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), prefillKind, i),
			testEngine(fmt.Sprint("w", i), decodeKind, i), testEngine(fmt.Sprint("m", i), mixedKind, i))
	}
	sched := startScheduler(t, testConfig(), endpoints)
	prefilledBy, now := map[byte]int{}, 1.0
	for i := range 300 {
		req := testRequest(fmt.Sprint("q", i), 0)
		req.Prefix = fmt.Sprint("p", i)
		s := onlyAction[Send](t, sched.Step(now, []Event{req}))
		prefilledBy[s.Engine[0]]++
		if s.Engine[0] == 'm' {
			sched.Step(now+0.05, []Event{FirstToken{ID: req.ID, Engine: s.Engine, Spent: 0.05}})
			acts := sched.Step(now+0.1, []Event{Outcome{ID: req.ID, Engine: s.Engine, Status: Completed, RequestEnded: true}})
			noAction[Release](t, acts)
		} else {
			decode := onlyAction[Send](t, sched.Step(now+0.05, []Event{
				Outcome{ID: req.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.05}}))
			if decode.Engine[0] != 'w' {
				t.Fatalf("the state was sent to %s, want a decode engine", decode.Engine)
			}
			sched.Step(now+0.08, []Event{FirstToken{ID: req.ID, Attempt: 1, Engine: decode.Engine, Spent: 0.03},
				Outcome{ID: req.ID, Attempt: 1, Engine: decode.Engine, Status: Completed, RequestEnded: true}})
		}
		now += 0.2
	}
	if n := prefilledBy['m']; n < 60 || n > 140 || prefilledBy['r']+n != 300 {
		t.Fatalf("prefills by first letter of the engine: got %v, want about a third by mixed engines", prefilledBy)
	}
}

func TestPreferredReplicaIsTheSameAtAllNodesAndStable(t *testing.T) {
	endpoints := listOf()
	for i := 0; i < 6; i++ {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("r", i), 0, i), testEngine(fmt.Sprint("w", i), 1, i))
	}
	preferred := func(sched *Scheduler, prefix string) string {
		req := testRequest("x", 0)
		req.Prefix = prefix
		s := onlyAction[Send](t, sched.Step(sched.now+1, []Event{req}))
		sched.Step(sched.now, []Event{Outcome{ID: "x", Engine: s.Engine, Status: ServerError, RequestEnded: true}})
		sched.engines[s.Engine].failureScore = 0
		return s.Engine
	}
	a, b := startScheduler(t, testConfig(), endpoints), startScheduler(t, testConfig(), endpoints)
	b.rng.Uint64()
	before := map[string]string{}
	for i := 0; i < 20; i++ {
		p := fmt.Sprint("p", i)
		before[p] = preferred(a, p)
		if got := preferred(b, p); got != before[p] {
			t.Fatalf("two nodes prefer different replicas for %s: %s and %s", p, before[p], got)
		}
	}
	removed := endpoints.Engines[0]
	removed.State = EngineRemoved
	a.Step(a.now, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{removed}}})
	for p, was := range before {
		if got := preferred(a, p); was != "r0" && got != was {
			t.Fatalf("the preferred replica of %s changed from %s to %s, although the first is still listed", p, was, got)
		}
	}
}

func TestPrefixMissesLowerThePredictedCachedTokens(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	e := sched.engines["r0"]
	req := &request{Request: testRequest("a", 0), class: &sched.cfg.Classes[0], cachedTokens: 800,
		prefill: prefillPrediction{load: 600, uncachedTokens: 200}}
	req.Session = ""
	for range 5 {
		sched.learnPrefixHitRate(req, e, 800)
	}
	before := sched.cachedPrefixTokens(req, e)
	for range 5 {
		sched.learnPrefixHitRate(req, e, 0)
	}
	if after := sched.cachedPrefixTokens(req, e); before < 600 || after > before/2 {
		t.Fatalf("predicted cached tokens: %g after hits and %g after misses, want at least 600 and at most half", before, after)
	}
}

// Guards against memory that grows without end while one client sends requests under ever new names. A name in use is kept.
func TestInventedNamesAreBounded(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	for i := range 3 * maxNames {
		sched.now = 1 + float64(i)*1e-4
		sched.countPrefix(fmt.Sprint("p", i))
		sched.rememberSession(fmt.Sprint("s", i), session{usedAt: sched.now, prefillEngine: sched.engines["r0"]})
		if i%100 == 0 {
			sched.countPrefix("in use")
		}
		if len(sched.prefixRates) > maxNames || len(sched.sessions) > maxNames {
			t.Fatalf("got %d prefixes and %d sessions, want at most %d", len(sched.prefixRates), len(sched.sessions), maxNames)
		}
	}
	if _, found := sched.prefixRates["in use"]; !found {
		t.Error("the prefix in use was evicted")
	}
}
