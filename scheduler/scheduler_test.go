package scheduler

import (
	"fmt"
	"reflect"
	"testing"
)

func TestSameSeedAndEventsGiveTheSameActions(t *testing.T) {
	run := func() (all []Action) {
		sched, _ := New(testConfig(), 9)
		all = append(all, sched.Step(0, []Event{testFleet()})...)
		for i := 0; i < 60; i++ {
			now := 1 + float64(i)*0.01
			acts := sched.Step(now, []Event{testRequest(fmt.Sprint(i), i%3)})
			all = append(all, acts...)
			for _, s := range actionsOf[Send](acts) {
				if s.Engine[0] == 'r' && i%2 == 0 {
					all = append(all, sched.Step(now, []Event{Outcome{ID: s.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.02}})...)
				}
			}
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Fatal("two runs with the same seed and events returned different actions")
	}
}

func TestEventsOfUnknownRequestsAreIgnored(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	sched.Step(1, []Event{testRequest("a", 0)})
	acts := sched.Step(1.001, []Event{
		Outcome{ID: "unknown", Engine: "r0"},
		Outcome{ID: "a", Attempt: 7, Engine: "r0"},
		ClientDisconnected{ID: "unknown"},
		FirstToken{ID: "a", Attempt: 3},
		TimerFired{Token: 999},
		ProbeResult{Engine: "unknown"},
		ReserveResult{ID: "unknown"},
		PeerMessage{},
		testRequest("a", 0),
	})
	for _, a := range acts {
		if _, ok := a.(SetTimer); !ok {
			t.Fatalf("got %v for events of unknown requests, want none", a)
		}
	}
}
