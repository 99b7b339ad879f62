package scheduler_test

import (
	"fmt"

	"dillroute/scheduler"
)

// A node links the library, passes on what happens and carries out what is returned.
func Example() {
	r, err := scheduler.New(scheduler.Config{
		Balancers: 1, Tick: 0.002,
		Classes: []scheduler.Class{{Aim: 1, HardLimit: 5, TokenAim: 0.06, Worth: 1}},
		Kinds:   []scheduler.Kind{{Role: scheduler.Read, Memory: 2e5}, {Role: scheduler.Write, Memory: 1.5e5}},
		Limits:  scheduler.Limits{MaxAttempts: 4, Cancel: true},
		Rules:   scheduler.Rules{LetGoBy: 1, ColdFor: 10, ColdShare: 0.25, FallMultiple: 4, TipAfter: 2},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Step(0, []scheduler.Event{scheduler.Members{Form: scheduler.ListFull, Engines: []scheduler.Engine{
		{ID: "prefill-1", Kind: 0}, {ID: "decode-1", Kind: 1}}}})
	events := []scheduler.Event{scheduler.Request{ID: "r1", Session: "s", TimeLeft: 5, PromptLen: 900, MaxOut: 200}}
	for _, a := range r.Step(1, events) {
		if s, ok := a.(scheduler.Send); ok {
			fmt.Println("read at", s.Engine)
		}
	}
	events = []scheduler.Event{scheduler.Outcome{ID: "r1", Engine: "prefill-1", Status: scheduler.Parsed, Spent: 0.1}}
	for _, a := range r.Step(1.1, events) {
		if s, ok := a.(scheduler.Send); ok {
			fmt.Println("write at", s.Engine)
		}
	}
	// Output:
	// read at prefill-1
	// write at decode-1
}
