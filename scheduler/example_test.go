package scheduler_test

import (
	"fmt"

	"dillroute/scheduler"
)

// A host passes events to the scheduler and carries out the actions that it returns.
func Example() {
	sched, err := scheduler.New(scheduler.Config{
		NodeCount: 1, Tick: 0.002,
		Classes: []scheduler.Class{{FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.06, PriorityWeight: 1}},
		Kinds:   []scheduler.Kind{{Role: scheduler.Prefill, Memory: 2e5}, {Role: scheduler.Decode, Memory: 1.5e5}},
		Limits:  scheduler.Limits{MaxAttempts: 4, Cancel: true},
		Rules: scheduler.Rules{StateReleaseLimit: 1, SlowStartDuration: 10, SlowStartShare: 0.25, OverloadMultiple: 4,
			SlowStartWindow: 2},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	sched.Step(0, []scheduler.Event{scheduler.EndpointUpdate{Form: scheduler.UpdateComplete, Engines: []scheduler.Engine{
		{ID: "prefill-1", Kind: 0}, {ID: "decode-1", Kind: 1}}}})
	events := []scheduler.Event{scheduler.Request{ID: "r1", Session: "s", ClientTimeLeft: 5, PromptTokens: 900, MaxOutputTokens: 200}}
	for _, a := range sched.Step(1, events) {
		if s, ok := a.(scheduler.Send); ok {
			fmt.Println("prefill at", s.Engine)
		}
	}
	events = []scheduler.Event{scheduler.Outcome{ID: "r1", Engine: "prefill-1", Status: scheduler.Prefilled, Spent: 0.1}}
	for _, a := range sched.Step(1.1, events) {
		if s, ok := a.(scheduler.Send); ok {
			fmt.Println("decode at", s.Engine)
		}
	}
	// Output:
	// prefill at prefill-1
	// decode at decode-1
}
