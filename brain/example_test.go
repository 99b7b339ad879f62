package brain_test

import (
	"fmt"

	"dillroute/brain"
)

// A node links the library, passes on what happens and carries out what is returned.
func Example() {
	r, err := brain.New(brain.Config{
		Balancers: 1, Tick: 0.002,
		Classes: []brain.Class{{Aim: 1, HardLimit: 5, TokenAim: 0.06, Worth: 1}},
		Kinds:   []brain.Kind{{Role: brain.Read, Memory: 2e5}, {Role: brain.Write, Memory: 1.5e5}},
		Limits:  brain.Limits{MaxAttempts: 4, Cancel: true},
		Rules:   brain.Rules{LetGoBy: 1, ColdFor: 10, ColdShare: 0.25, FallMultiple: 4, TipAfter: 2},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Step(0, []brain.Event{brain.Members{Form: brain.ListFull, Engines: []brain.Engine{
		{ID: "prefill-1", Kind: 0}, {ID: "decode-1", Kind: 1}}}})
	events := []brain.Event{brain.Request{ID: "r1", Session: "s", TimeLeft: 5, PromptLen: 900, MaxOut: 200}}
	for _, a := range r.Step(1, events) {
		if s, ok := a.(brain.Send); ok {
			fmt.Println("read at", s.Engine)
		}
	}
	events = []brain.Event{brain.Outcome{ID: "r1", Engine: "prefill-1", Status: brain.Parsed, Spent: 0.1}}
	for _, a := range r.Step(1.1, events) {
		if s, ok := a.(brain.Send); ok {
			fmt.Println("write at", s.Engine)
		}
	}
	// Output:
	// read at prefill-1
	// write at decode-1
}
