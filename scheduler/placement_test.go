package scheduler

import "testing"

// The first-token latency of a decode engine counts against its spare capacity. Otherwise the decode engines of one cell run late while
// others are idle.
func TestDecodeEngineWithLateFirstTokensIsSkipped(t *testing.T) {
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	for _, slow := range []string{"w0", "w1"} {
		sched := startScheduler(t, testConfig(), endpoints)
		sched.now = 1
		sched.engines[slow].firstTokenLatency.add(1, 0.6, 1)
		req := &request{Request: testRequest("q", 0), class: &sched.cfg.Classes[0]}
		if chosen := sched.bestDecodeEngine(req, sched.engines["r0"], 1, false); chosen.ID == slow {
			t.Errorf("chose %s, whose first tokens take 0.6 s", slow)
		}
	}
}

// A node with old reports sends a state out of a cell whose decode engine has less spare capacity. A node with fresh reports does so only
// if no decode engine of the cell passes the admission tests.
func TestStateLeavesAFullerCellIfReportsAreOld(t *testing.T) {
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
		sched.kinds[decodeKind].reportedMemory.mean = 0.4 // mean of all engines of the kind that have reported recently
		sched.engines["w0"].reportedAt, sched.engines["w1"].reportedAt = 1, 1
		sched.now = 1 + age
		if age > 1 { // the engine of the cell has just reported, the other one has not for a long time
			sched.engines["w0"].reportedAt = sched.now
		}
		if chosen := sched.bestDecodeEngine(req, sched.engines["r0"], 1, false); chosen == nil || chosen.ID != want {
			t.Errorf("reports %.1f s old: got %v, want %s", age, chosen, want)
		}
	}
}

// A decode engine that misses the objective even with one stream, and reports load, is still used if there is no other: late responses
// are worth more than rejections. An engine that meets the objective is preferred.
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
		sched.engines["slow"].curve.terms[0] = 0.1 // 100 ms per token; the objective is 60 ms
		_, decode := prefillAndPlace(t, sched, 1, testRequest("a", 0))
		if want := map[bool]string{false: "slow", true: "w1"}[other]; decode != want {
			t.Errorf("other decode engine listed is %v: decoded at %s, want %s", other, decode, want)
		}
	}
}
