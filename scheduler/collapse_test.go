package scheduler

import (
	"fmt"
	"math"
	"testing"
)

// An aim that is longer than a read, but by less than the slack of the first-token test, left a class that was refused by an idle
// fleet: 55 to 80% of its worth on drawn days 149, 167 and 327 (lab/simulation).
func TestClassWhoseAimLeavesLittleSlackIsSentToAnIdleFleet(t *testing.T) {
	alone := (1000 + prefillOverhead) * initialPrefillSecondsPerToken
	for _, x := range []struct {
		name string
		aim  float64 // beside the lag of a writer
		want int
	}{
		{"room for the slack", 2 * prefillSlack * alone, 1},
		{"less than that", 1.3 * alone, 1},
		{"no time to read", 0.5 * alone, 0},
	} {
		cfg := testConfig()
		cfg.Classes[0].ObjectivePer1KTokens, cfg.Classes[0].FirstTokenObjective = 0, initialFirstTokenLatency+x.aim
		sched := startScheduler(t, cfg, testFleet())
		if got := len(actionsOf[Send](sched.Step(1, []Event{testRequest("a", 0)}))); got != x.want {
			t.Errorf("%s: an idle fleet was sent %d reads, want %d", x.name, got, x.want)
		}
	}
}

// A class whose aim is hardly longer than its reads keeps late requests of others waiting no longer: where its aim cannot be kept
// behind anybody, nobody keeps it by waiting.
func TestShortAimsHoldTheirPlaceInTheHighTier(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].ObjectivePer1KTokens, cfg.Classes[0].FirstTokenObjective = 0, initialFirstTokenLatency+1.3*(1000+prefillOverhead)*initialPrefillSecondsPerToken
	sched := startScheduler(t, cfg, testFleet())
	if got := len(actionsOf[Send](sched.Step(1, []Event{testRequest("a", 0), testRequest("b", 0), testRequest("c", 0), testRequest("d", 0)}))); got < 1 || got > 2 {
		t.Errorf("two idle readers were sent %d reads of an aim that has no room for two, want 1 or 2", got)
	}
}

// What was learned in bad times kept all work away for ever, for nothing was sent that could have taught otherwise: waits of
// reads, lags of writers, speeds, the errors of predictions. When nothing of ours has come for a while, one request is tried, and one alone.
func TestOneRequestIsTriedWhereWhatWasLearnedKeepsAllAway(t *testing.T) {
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
				q := testRequest(fmt.Sprintf("q%.2f", now), 0)
				if name == "errors of predictions" {
					q.ClientTimeLeft = 40
				}
				acts := sched.Step(now, []Event{q})
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

// Where the first few in order are late by just so much that none passes, and not yet so late that they leave the high tier, those behind
// them were tried only once they had come to the head, and were as late: after a burst a node with 50 requests a second served 0.56 to
// the end of the day while all engines idled (drawn days 1116, 1329).
func TestThoseAtTheHeadDoNotKeepAwayWhoStillHasTime(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	sched.now = 10
	alone := (1000 + prefillOverhead) * initialPrefillSecondsPerToken
	for i := range 40 {
		id := fmt.Sprintf("q%02d", i)
		sched.requestArrived(testRequest(id, 0))
		q := sched.requests[id]
		q.arrived, q.deadline, q.firstTokenDue = 0, 30, 20
		if i < 2*drawWindowSize {
			q.firstTokenDue = sched.now + initialFirstTokenLatency + 1.3*alone // it could be read in time, but not with the slack that the test asks for
		}
	}
	sent := 0
	for now := 10.0; now < 10.02; now += 0.005 {
		sent += len(actionsOf[Send](sched.Step(now, nil)))
	}
	if sent < 4 {
		t.Errorf("idle readers were sent %d of 32 requests that have time", sent)
	}
}

// One class whose aim no reader can keep behind anybody kept the late requests of all others from being read, for ever.
func TestClassWithTheShortestAimDoesNotKeepTheLowTierAway(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].FirstTokenObjective = 0.01
	sched := startScheduler(t, cfg, testFleet())
	sched.now = 1
	sched.classes[1].promptTokens.add(1, 1000, 1)
	sched.requestArrived(testRequest("a", 0))
	sched.requests["a"].lowTier = true
	onlyAction[Send](t, sched.Step(1, nil))
}

// Whatever waits, cold engines get seven tenths of what is believed of the rule's allowance, with one router or hundreds: the
// chance that it allows beside N is not left unused by those who need no chance.
func TestColdEnginesGetMostOfWhatTheyAreBelievedToBear(t *testing.T) {
	for _, n := range []int{1, 3, 30, 300} {
		f := newSlowStartFleet(n, 0, 0, 0, 0.5, 7)
		_, all := f.mostInWindow(8)
		windows := 8/f.cfg.Rules.SlowStartWindow - 1 // that in which it was heard of is closed
		believed := slowStartCapacityTrust * f.allowance
		if want := 0.7 * (believed + 2*math.Sqrt(believed)) * windows; float64(all) < want {
			t.Errorf("%d routers: %d sends in 8 s, wanted %.0f at least", n, all, want)
		}
	}
}
