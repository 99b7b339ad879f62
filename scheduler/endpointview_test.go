package scheduler

import "testing"

func TestNothingIsSentToDrainingOrRemovedEngines(t *testing.T) {
	for _, state := range []EngineState{EngineDraining, EngineRemoved} {
		sched := startScheduler(t, testConfig(), testFleet())
		s := onlyAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
		decode := "w" + s.Engine[1:]
		e := testEngine(decode, 1, int(s.Engine[1]-'0'))
		e.State = state
		sched.Step(1.01, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{e}}})
		got := onlyAction[Send](t, sched.Step(1.05, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Prefilled}}))
		if got.Engine == decode {
			t.Fatalf("the state was sent to %s, whose listed state is %v", decode, state)
		}
	}
}
