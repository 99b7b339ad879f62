package rules_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/faultyrouter"
	"dillroute/lab/fleet"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// scene is a fleet with a wrong node before it.
type scene struct {
	sin   faultyrouter.Sin
	rule  int // that must be found broken; -1 = none may be
	ask   func(*client.Ask)
	fault func(f *fleet.Fleet)
}

func play(t *testing.T, s scene) []rules.Violation {
	t.Helper()
	log := &record.Log{}
	var ms []fleet.Member
	for _, id := range []string{"prefill-1", "decode-1", "decode-2"} {
		role := id[:len(id)-2]
		ms = append(ms, fleet.Member{Kind: role, Settings: emulator.Settings{ID: id, Role: role, DecodeStepMS: 2, PrefillTokensPerSecond: 1e5, LocalPrefill: true, SlowStartSeconds: 30,
			SlowStartShare: 0.3, Slots: 4, QueueLimit: 200}})
	}
	f := fleet.New(ms, log)
	if err := f.Start(); err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	drained, cold := map[string]bool{}, map[string]bool{}
	n, err := faultyrouter.Start(s.sin, "node-0", func() []faultyrouter.Engine {
		var es []faultyrouter.Engine
		for _, m := range ms {
			es = append(es, faultyrouter.Engine{ID: m.ID, Address: f.Engine(m.ID).Address(), Role: m.Role, Draining: drained[m.ID], Cold: cold[m.ID]})
		}
		return es
	})
	if err != nil {
		t.Fatal(err)
	}
	tell := func(id, state string) {
		log.Add(record.Record{Kind: record.Told, Node: "node-0", Engine: id, State: state})
	}
	for _, m := range ms {
		tell(m.ID, "ready")
	}
	switch s.sin {
	case faultyrouter.Drain:
		drained["decode-1"] = true
		tell("decode-1", "draining")
		time.Sleep(1100 * time.Millisecond) // the grace must have passed
	case faultyrouter.Flood:
		f.Engine("decode-1").Kill()
		if err := f.Engine("decode-1").Start(true); err != nil {
			t.Fatal(err)
		}
		cold["decode-1"] = true
		tell("decode-1", "ready")
	}
	if s.fault != nil {
		s.fault(f)
	}
	c := client.New("k", log)
	defer c.Close()
	asks := 4
	if s.sin == faultyrouter.Flood {
		asks = 60
	}
	var wg sync.WaitGroup
	for i := range asks {
		a := client.Ask{Model: "m", Patience: 1500 * time.Millisecond, MaxTokens: 100, Messages: []emulator.Message{{Role: "user", Content: fmt.Sprint("q", i)}},
			Mark: emulator.Mark{Operation: fmt.Sprint("op", i), Class: "commit", ResponseTokens: 12}}
		if s.sin == faultyrouter.Flood {
			a.Mark.ResponseTokens = 40
			a.Patience = 10 * time.Second
		}
		if s.ask != nil {
			s.ask(&a)
		}
		wg.Add(1)
		go func() { defer wg.Done(); c.Do(context.Background(), "node-0", n.Addr().String(), a) }()
	}
	wg.Wait()
	if s.sin == faultyrouter.After || s.sin == faultyrouter.KeepFailed {
		time.Sleep(1800 * time.Millisecond) // what comes after the answer, or does not, has to be seen
	}
	n.Stop()
	log.Add(record.Record{Kind: record.Close})
	if s.rule < 0 && s.fault == nil { // an honest node that serves nobody proves nothing
		for _, x := range log.All() {
			if x.Kind == record.Answer && x.Outcome != record.Served {
				t.Errorf("%s: %s", x.Outcome, x.Note)
			}
		}
	}
	return rules.Check(log.All(), rules.Config{Classes: map[string]rules.Class{"commit": {Effect: "once", Group: "all"}},
		Engines:     map[string]rules.Engine{"decode-1": {ReadPerS: 1e5, WriteS: 4 / 0.0024, ColdShare: 0.3, ColdS: 30}},
		AnswerSlack: 0.02, DrainGrace: 0.25, ListLag: 0.1, OverloadMultiple: 2, SlowStartWindow: 1, StateReleaseLimit: 1, Skew: 0.1})
}

// Every wrong node must be caught by the rule that it breaks, and the honest one by none.
func TestWrongNodesAreCaught(t *testing.T) {
	cut := func(k int) func(f *fleet.Fleet) {
		return func(f *fleet.Fleet) {
			for _, id := range []string{"decode-1", "decode-2"} {
				f.Engine(id).SetFaults(emulator.Faults{CloseAfter: &k})
			}
		}
	}
	errors := func(f *fleet.Fleet) {
		f.Engine("decode-1").SetFaults(emulator.Faults{TruncatedBody: true})
		f.Engine("decode-2").SetFaults(emulator.Faults{TruncatedBody: true})
	}
	rejects := func(f *fleet.Fleet) {
		f.Engine("decode-1").SetFaults(emulator.Faults{RejectStatus: 500})
		f.Engine("decode-2").SetFaults(emulator.Faults{RejectStatus: 500})
	}
	for _, s := range []scene{
		{sin: faultyrouter.None, rule: -1}, {sin: faultyrouter.None, rule: -1, fault: cut(3)}, {sin: faultyrouter.None, rule: -1, fault: rejects},
		{sin: faultyrouter.Mute, rule: 1}, {sin: faultyrouter.Late, rule: 1}, {sin: faultyrouter.Drop, rule: 1}, {sin: faultyrouter.Twice, rule: 1},
		{sin: faultyrouter.After, rule: 1}, {sin: faultyrouter.Skip, rule: 0}, {sin: faultyrouter.Repeat, rule: 2, fault: cut(0)},
		{sin: faultyrouter.RefuseRan, rule: 2, fault: errors}, {sin: faultyrouter.Drain, rule: 3}, {sin: faultyrouter.Flood, rule: 4},
		{sin: faultyrouter.Pin, rule: 5, ask: func(a *client.Ask) { a.Patience = 6 * time.Second }}, {sin: faultyrouter.KeepFailed, rule: 5, fault: rejects},
	} {
		t.Run(fmt.Sprintf("%s rule %d", s.sin, s.rule), func(t *testing.T) {
			t.Parallel()
			found := play(t, s)
			if s.rule < 0 {
				for _, v := range found {
					t.Error(v)
				}
				return
			}
			for _, v := range found {
				if v.Rule == s.rule {
					return
				}
			}
			t.Fatalf("not caught; found %v", found)
		})
	}
}
