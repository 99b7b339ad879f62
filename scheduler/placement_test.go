package scheduler

import "testing"

// Decode engines of one cell ran late while others idled: the first-token latency counts against the spare capacity.
func TestDecodeEngineWithLateFirstTokensIsPassedOver(t *testing.T) {
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	for _, slow := range []string{"w0", "w1"} {
		sched := startScheduler(t, testConfig(), endpoints)
		sched.now = 1
		sched.engines[slow].firstTokenLatency.add(1, 0.6, 1)
		req := &request{Request: testRequest("q", 0), class: &sched.cfg.Classes[0]}
		if w := sched.bestDecodeEngine(req, sched.engines["r0"], 1, false); w.ID == slow {
			t.Errorf("chose %s, whose first tokens take 0.6 s", slow)
		}
	}
}

// A router with old reports sends a state out of a cell whose decode engine has less spare capacity; one with fresh reports
// does so only when no decode engine of the cell passes.
func TestStateLeavesAFullerCellWhereReportsAreOld(t *testing.T) {
	report := func(share float64) *LoadReport { return &LoadReport{MemoryShare: share, Has: HasMemoryShare} }
	for age, want := range map[float64]string{0.1: "w0", 8: "w1"} {
		cfg := testConfig()
		cfg.ReportStyle, cfg.Prices.Transfer = ReportInline, 0.03
		sched := startScheduler(t, cfg, testFleet())
		req := &request{Request: testRequest("q", 0), class: &sched.cfg.Classes[0]}
		sched.Step(1, []Event{
			ProbeResult{Engine: "w0", Status: Completed, Report: report(0.85)},
			ProbeResult{Engine: "w1", Status: Completed, Report: report(0.05)},
		})
		sched.kinds[decodeKind].reportedMemory.mean = 0.4 // of all that have reported lately
		sched.engines["w0"].reportedAt, sched.engines["w1"].reportedAt = 1, 1
		sched.now = 1 + age
		if age > 1 { // the engine of the cell has just reported, the other one long ago
			sched.engines["w0"].reportedAt = sched.now
		}
		if w := sched.bestDecodeEngine(req, sched.engines["r0"], 1, false); w == nil || w.ID != want {
			t.Errorf("reports %.1f s old: %v, want %s", age, w, want)
		}
	}
}

// A decode engine that misses the objective even with one stream, and reports load, is still used where there is no other: late
// answers are worth more than rejections. One that keeps the objective comes first.
func TestDecodeEngineBelowOutputObjectiveIsTheLastResort(t *testing.T) {
	for _, other := range []bool{false, true} {
		endpoints := listOf(testEngine("r0", 0, 0), testEngine("slow", 1, 0))
		if other {
			endpoints.Engines = append(endpoints.Engines, testEngine("w1", 1, 0))
		}
		sched := startScheduler(t, testConfig(), endpoints)
		report := &LoadReport{Utilization: 0.3, Has: HasUtilization | HasWaiting | HasMemoryShare}
		for _, e := range sched.engineList {
			if e.role == Decode {
				sched.recordReport(e, report)
				e.curve.terms[0] = 0.02
			}
		}
		sched.engines["slow"].curve.terms[0] = 0.1 // 100 ms a token; the objective is 60
		_, w := prefillAndPlace(t, sched, 1, testRequest("a", 0))
		if want := map[bool]string{false: "slow", true: "w1"}[other]; w != want {
			t.Errorf("another decode engine %v: decoded at %s, want %s", other, w, want)
		}
	}
}
