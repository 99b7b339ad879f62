package scheduler

import (
	"fmt"
	"testing"
)

func TestSmallQuotaOfManyNodesAllowsWholeRequests(t *testing.T) {
	cfg := testConfig()
	cfg.NodeCount, cfg.Tenants = 100, []Tenant{{Quota: 2}}
	sched := startScheduler(t, cfg, testFleet())
	sched.Step(1, []Event{testRequest("a", 0), testRequest("b", 0)})
	if sched.requests["a"].overQuota || sched.requests["b"].overQuota {
		t.Fatal("the first requests of a tenant with a small quota count as beyond it")
	}
}

// Nodes share no state, so their configured node counts can be wrong. If half of 155 nodes are configured with 130 nodes and half with
// 180, tenants' quotas are wrong by no more than the error of the counts. The slow-start budget is unchanged, because it is derived from
// the work that is completed for each node.
func TestQuotasAddUpWithWrongNodeCounts(t *testing.T) {
	const nodes, quota, seconds = 155, 400.0, 60
	granted := 0
	for i := range nodes {
		cfg := testConfig()
		cfg.NodeCount = []int{130, 180}[i%2]
		cfg.NodeIndex = i % 130 // some indices are used twice
		cfg.Tenants = []Tenant{{Quota: quota}}
		sched := startScheduler(t, cfg, testFleet())
		for k := range 100 * seconds { // 100 requests per second: far more than the node's share of the quota
			now := 1 + float64(k)/100
			sched.now = now
			req := testRequest(fmt.Sprint(i, "-", k), 0)
			sched.requestArrived(req)
			if x := sched.requests[req.ID]; !x.overQuota {
				granted++
			}
			delete(sched.requests, req.ID)
			sched.openRequests = sched.openRequests[:0]
		}
	}
	saved := float64(nodes) * max(quotaMinBurst, quotaBurst*quota/130)
	if most := 1.1*quota*seconds + saved; float64(granted) > most || float64(granted) < 0.9*quota*seconds {
		t.Fatalf("%d requests counted as within the quota in %d s; the quota is %g per second", granted, seconds, quota)
	}
}
