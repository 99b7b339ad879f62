package scheduler

import "testing"

func TestReportedLoadLimitsAdmissionIfOwnStreamsAreFew(t *testing.T) {
	// The node is one of very many and has no stream of its own at any engine, but the decode engines report that they are busy.
	cfg := testConfig()
	cfg.NodeCount, cfg.ReportStyle = 100, ReportInline
	sched := startScheduler(t, cfg, testFleet())
	for i := range sched.kinds {
		sched.kinds[i].curve.terms = [3]float64{0.02, 0.001, 0}
	}
	busy := &LoadReport{Utilization: 0.9, MemoryShare: 0.3, Has: HasUtilization | HasMemoryShare}
	sched.Step(1, []Event{Outcome{ID: "x", Engine: "w0", Report: busy}})
	if s := actionsOf[Send](sched.Step(1.1, []Event{testRequest("a", 0)})); len(s) != 0 {
		t.Fatalf("got sends %v, want none, as the decode engines are full", s)
	}
	idle := &LoadReport{Utilization: 0.1, Has: HasUtilization | HasMemoryShare}
	onlyAction[Send](t, sched.Step(1.2, []Event{Outcome{ID: "x", Engine: "w1", Report: idle}}))
}

func TestOldReportsDecayToTheMeanOfTheKind(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	e := sched.engines["w0"]
	sched.now = 1
	sched.recordReport(sched.engines["w1"], &LoadReport{MemoryShare: 0.2, Has: HasMemoryShare})
	for range 200 {
		sched.recordReport(sched.engines["w1"], &LoadReport{MemoryShare: 0.2, Has: HasMemoryShare})
	}
	sched.recordReport(e, &LoadReport{MemoryShare: 0.9, Has: HasMemoryShare})
	req := &request{Request: testRequest("a", 0), class: &sched.cfg.Classes[0]}
	now := sched.memoryShareWith(e, req)
	sched.now += 5 * reportFreshTime
	if later := sched.memoryShareWith(e, req); now < 0.85 || later > 0.35 {
		t.Fatalf("estimated memory share is %g, later %g; want at least 0.85, later at most 0.35", now, later)
	}
}
