package scheduler

import (
	"fmt"
	"testing"
)

// What was learned in bad times kept all work away for ever, for nothing was sent that could have taught otherwise: waits of
// reads, lags of writers, speeds, the errors of predictions. When nothing of ours has come for a while, one request is tried, and one alone.
func TestOneExplorationRequestIsSentWhereModelsKeepAllAway(t *testing.T) {
	for name, spoil := range map[string]func(sched *Scheduler){
		"errors of predictions": func(sched *Scheduler) { sched.predictionError[Prefill].add(sched.now, 30, 1) },
		"lags of writers": func(sched *Scheduler) {
			sched.kinds[1].firstTokenLatency.add(sched.now, 30, 1)
			for _, e := range sched.engineList {
				e.firstTokenLatency.add(sched.now, 30, 1)
			}
		},
		"speed of reads": func(sched *Scheduler) {
			for i := range 100 {
				sched.kinds[0].prefillTime.add(float64(1000+100*(i%20)), float64(10+i%20), 1)
			}
		},
		"memory of writers": func(sched *Scheduler) {
			sched.kinds[1].reportedMemory.add(sched.now, 1, 1)
			sched.kinds[1].reportedStreams.add(sched.now, 1e4, 1)
		},
	} {
		for _, routers := range []int{1, 3, 300} {
			cfg := testConfig()
			cfg.NodeCount = routers
			if name == "errors of predictions" { // they keep the low tier alone away
				cfg.Classes[0].FirstTokenObjective, cfg.Classes[0].ObjectivePer1KTokens = 1e-3, 0
			}
			sched := startScheduler(t, cfg, testFleet())
			s := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
			sched.Step(1.1, []Event{Outcome{ID: s.ID, Attempt: 0, Engine: s.Engine, Status: Rejected, Closed: true}})
			spoil(sched)
			sent := 0
			var first float64
			for now := 1.2; now < 9; now += 0.05 {
				req := testRequest(fmt.Sprintf("q%.2f", now), 0)
				if name == "errors of predictions" {
					req.ClientTimeLeft = 40
				}
				acts := sched.Step(now, []Event{req})
				if n := len(actionsOf[Send](acts)); n > 0 && sent == 0 {
					if first = now; n > 1 && now < 2 { // later gauges have returned to their priors
						t.Errorf("%s, %d routers: %d requests are tried at a time", name, routers, n)
					}
				}
				sent += len(actionsOf[Send](acts))
			}
			if sent == 0 {
				t.Errorf("%s, %d routers: nothing was sent in 8 s, though all engines are idle", name, routers)
			} else if wait := first - 1.1; routers == 300 && wait < 1 {
				t.Errorf("%s: each of 300 routers tries a request after %.1f s", name, wait)
			}
		}
	}
}
