package scheduler

import "testing"

func TestTransferTimeFollowsTheLink(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	from, to := sched.engines["r0"], sched.engines["w1"]
	req := &request{Request: testRequest("a", 0)}
	before := sched.transferTime(req, from, to)
	sched.link(from, to).secondsPerToken.add(sched.now, 1e-3, 1)
	if after := sched.transferTime(req, from, to); after < 10*before {
		t.Fatalf("transfer time is %g s, and %g s after a sample of a slow link; want at least 10 times as long", before, after)
	}
	sched.link(from, to).tokensInTransit = 5000
	if sched.transferTime(req, from, to) < 5 {
		t.Fatal("tokens in transit do not count towards the transfer time")
	}
	if sched.transferTime(req, from, sched.engines["w0"]) != 0 {
		t.Fatal("a transfer within a cell takes time, want 0")
	}
}
