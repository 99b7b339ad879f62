package scheduler

import "testing"

func TestTransfersLearnTheLink(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	from, to := sched.engines["r0"], sched.engines["w1"]
	req := &request{Request: testRequest("a", 0)}
	before := sched.transferTime(req, from, to)
	sched.link(from, to).secondsPerToken.add(sched.now, 1e-3, 1)
	if after := sched.transferTime(req, from, to); after < 10*before {
		t.Fatalf("a slow link was not learned: %g s, then %g s", before, after)
	}
	sched.link(from, to).tokensInTransit = 5000
	if sched.transferTime(req, from, to) < 5 {
		t.Fatal("transfers in flight do not count")
	}
	if sched.transferTime(req, from, sched.engines["w0"]) != 0 {
		t.Fatal("a transfer within the cell counts on the link")
	}
}
