package scheduler

import (
	"fmt"
	"testing"
)

// What was learned in bad times kept all work away for ever, as nothing was sent from which to learn anew. When no first token
// has come for a while, one request is sent untested, and one alone.
func TestOneExplorationRequestIsSentWhereModelsKeepAllAway(t *testing.T) {
	const predictionErrors = "prediction errors" // these keep only the low tier away
	for name, spoil := range map[string]func(sched *Scheduler){
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
		for _, routers := range []int{1, 3, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				play := explorationPlay{routers: routers, lowTier: name == predictionErrors, spoil: spoil}
				play.check(t)
			})
		}
	}
}

// explorationPlay spoils the models of a scheduler whose engines are idle, and sends it requests.
type explorationPlay struct {
	routers int
	lowTier bool // requests can't keep their objective
	spoil   func(sched *Scheduler)
}

func (p explorationPlay) check(t *testing.T) {
	t.Helper()
	const spoiledAt, until = 1.1, 9.0
	sched := p.start(t, spoiledAt)
	sent, first := 0, 0.0
	for now := 1.2; now < until; now += 0.05 {
		n := len(actionsOf[Send](sched.Step(now, []Event{p.request(now)})))
		if n > 0 && sent == 0 {
			first = now
		}
		if n > 1 && sent == 0 && now < 2 { // later, gauges have returned to their priors
			t.Errorf("got %d exploration requests at a time, want 1", n)
		}
		sent += n
	}
	if sent == 0 {
		t.Error("nothing was sent in 8 s, though all engines are idle")
	} else if wait := first - spoiledAt; p.routers == 300 && wait < 1 {
		t.Errorf("each of 300 routers sends an exploration request after %.1f s", wait)
	}
}

func (p explorationPlay) start(t *testing.T, spoiledAt float64) *Scheduler {
	t.Helper()
	cfg := testConfig()
	cfg.NodeCount = p.routers
	if p.lowTier {
		cfg.Classes[0].FirstTokenObjective, cfg.Classes[0].ObjectivePer1KTokens = 1e-3, 0
	}
	sched := startScheduler(t, cfg, testFleet())
	send := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	sched.Step(spoiledAt, []Event{Outcome{ID: send.ID, Engine: send.Engine, Status: Rejected, Closed: true}})
	p.spoil(sched)
	return sched
}

func (p explorationPlay) request(now float64) Request {
	req := testRequest(fmt.Sprintf("q%.2f", now), 0)
	if p.lowTier {
		req.ClientTimeLeft = 40
	}
	return req
}
