package scheduler

import (
	"fmt"
	"testing"
)

// Performance models that were learned under overload can forbid every send. Without sends there are no new measurements that could
// correct the models. When no first token has arrived for a while, exactly one request is therefore sent without the admission tests.
func TestOneExplorationRequestIsSentIfModelsForbidAllSends(t *testing.T) {
	const predictionErrors = "prediction errors" // high prediction errors block only the low tier
	for name, distortModel := range map[string]func(sched *Scheduler){
		predictionErrors: func(sched *Scheduler) { sched.predictionError[Prefill].add(sched.now, 30, 1) },
		"first-token latencies": func(sched *Scheduler) {
			sched.kinds[decodeKind].firstTokenLatency.add(sched.now, 30, 1)
			for _, engine := range sched.engineList {
				engine.firstTokenLatency.add(sched.now, 30, 1)
			}
		},
		"prefill times": func(sched *Scheduler) {
			for i := range 100 {
				sched.kinds[prefillKind].prefillTime.add(float64(1000+100*(i%20)), float64(10+i%20), 1)
			}
		},
		"memory of decode engines": func(sched *Scheduler) {
			sched.kinds[decodeKind].reportedMemory.add(sched.now, 1, 1)
			sched.kinds[decodeKind].reportedStreams.add(sched.now, 1e4, 1)
		},
	} {
		for _, nodes := range []int{1, 3, 300} {
			t.Run(fmt.Sprintf("%s, %d nodes", name, nodes), func(t *testing.T) {
				c := explorationCase{nodes: nodes, lowTier: name == predictionErrors, distortModel: distortModel}
				c.check(t)
			})
		}
	}
}

// explorationCase distorts a performance model of a scheduler whose engines are idle, and then passes it requests.
type explorationCase struct {
	nodes        int
	lowTier      bool // requests can't meet their objective
	distortModel func(sched *Scheduler)
}

func (p explorationCase) check(t *testing.T) {
	t.Helper()
	const distortedAt, until = 1.1, 9.0
	sched := p.start(t, distortedAt)
	sent, first := 0, 0.0
	for now := 1.2; now < until; now += 0.05 {
		n := len(actionsOf[Send](sched.Step(now, []Event{p.request(now)})))
		if n > 0 && sent == 0 {
			first = now
		}
		if n > 1 && sent == 0 && now < 2 { // after that, the learned means have returned to their priors
			t.Errorf("got %d exploration requests in one step, want 1", n)
		}
		sent += n
	}
	if sent == 0 {
		t.Error("nothing was sent in 8 s, although all engines are idle")
	} else if wait := first - distortedAt; p.nodes == 300 && wait < 1 {
		t.Errorf("one of 300 nodes sent an exploration request after only %.1f s, want at least 1 s", wait)
	}
}

func (p explorationCase) start(t *testing.T, distortedAt float64) *Scheduler {
	t.Helper()
	cfg := testConfig()
	cfg.NodeCount = p.nodes
	if p.lowTier {
		cfg.Classes[0].FirstTokenObjective, cfg.Classes[0].ObjectivePer1KTokens = 1e-3, 0
	}
	sched := startScheduler(t, cfg, testFleet())
	send := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	sched.Step(distortedAt, []Event{Outcome{ID: send.ID, Engine: send.Engine, Status: Rejected, RequestEnded: true}})
	p.distortModel(sched)
	return sched
}

func (p explorationCase) request(now float64) Request {
	req := testRequest(fmt.Sprintf("q%.2f", now), 0)
	if p.lowTier {
		req.ClientTimeLeft = 40
	}
	return req
}
