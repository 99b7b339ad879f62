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

// defectCase is a fleet of engines behind a router with a defect.
type defectCase struct {
	defect        faultyrouter.Defect
	brokenRule    int // rule that the checker must report; 0 = incorrect response text, -1 = none
	changeRequest func(*client.Request)
	injectFault   func(f *fleet.Fleet)
}

// runDefectCase sends requests through the router of a case and returns the violations that the checker reports.
func runDefectCase(t *testing.T, s defectCase) []rules.Violation {
	t.Helper()
	log := &record.Log{}
	var members []fleet.Member
	for _, id := range []string{"prefill-1", "decode-1", "decode-2"} {
		role := id[:len(id)-2]
		members = append(members, fleet.Member{Kind: role, Settings: emulator.Settings{ID: id, Role: role, DecodeStepMS: 2,
			PrefillTokensPerSecond: 1e5,
			LocalPrefill:           true, SlowStartSeconds: 30, SlowStartShare: 0.3, Slots: 4, QueueLimit: 200}})
	}
	engineFleet := fleet.New(members, log)
	if err := engineFleet.Start(); err != nil {
		t.Fatal(err)
	}
	defer engineFleet.Stop()
	draining := map[string]bool{}
	warmingUp := map[string]bool{}
	router, err := faultyrouter.Start(s.defect, "node-0", func() []faultyrouter.Engine {
		var views []faultyrouter.Engine
		for _, m := range members {
			views = append(views, faultyrouter.Engine{ID: m.ID, Address: engineFleet.Engine(m.ID).Address(), Role: m.Role,
				Draining: draining[m.ID], WarmingUp: warmingUp[m.ID]})
		}
		return views
	})
	if err != nil {
		t.Fatal(err)
	}
	deliverList := func(id, state string) {
		log.Add(record.Record{Kind: record.ListDelivered, Node: "node-0", Engine: id, State: state})
	}
	for _, m := range members {
		deliverList(m.ID, "ready")
	}
	switch s.defect {
	case faultyrouter.SendsToDraining:
		draining["decode-1"] = true
		deliverList("decode-1", "draining")
		time.Sleep(1100 * time.Millisecond) // longer than the grace period
	case faultyrouter.FloodsColdEngine:
		engineFleet.Engine("decode-1").Kill()
		if err := engineFleet.Engine("decode-1").Start(true); err != nil {
			t.Fatal(err)
		}
		warmingUp["decode-1"] = true
		deliverList("decode-1", "ready")
	}
	if s.injectFault != nil {
		s.injectFault(engineFleet)
	}
	c := client.New("k", log)
	defer c.Close()
	requests := 4
	if s.defect == faultyrouter.FloodsColdEngine {
		requests = 60
	}
	var wg sync.WaitGroup
	for i := range requests {
		request := client.Request{Model: "m", Patience: 1500 * time.Millisecond, MaxTokens: 100,
			Messages: []emulator.Message{{Role: "user", Content: fmt.Sprint("q", i)}},
			Mark:     emulator.Mark{Operation: fmt.Sprint("op", i), Class: "commit", ResponseTokens: 12}}
		if s.defect == faultyrouter.FloodsColdEngine {
			request.Mark.ResponseTokens = 40
			request.Patience = 10 * time.Second
		}
		if s.changeRequest != nil {
			s.changeRequest(&request)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.Do(context.Background(), "node-0", router.Addr().String(), request)
		}()
	}
	wg.Wait()
	if s.defect == faultyrouter.SendsAfterAnswer || s.defect == faultyrouter.LeavesState {
		time.Sleep(1800 * time.Millisecond) // until the attempt after the response, or the missing release, is recorded
	}
	router.Stop()
	log.Add(record.Record{Kind: record.RecordEnded})
	if s.brokenRule < 0 && s.injectFault == nil { // the case without a defect is valid only if all requests are served
		for _, r := range log.All() {
			if r.Kind == record.FinalResponse && r.Outcome != record.Served {
				t.Errorf("%s: %s", r.Outcome, r.Note)
			}
		}
	}
	return rules.Check(log.All(), rules.Config{
		Classes: map[string]rules.Class{"commit": {Effect: "once", Group: "all"}},
		Engines: map[string]rules.Engine{"decode-1": {PrefillTokensPerSecond: 1e5, DecodeTokensPerSecond: 4 / 0.0024,
			SlowStartShare: 0.3, SlowStartSeconds: 30}},
		AnswerSlack:       0.02,
		DrainGrace:        0.25,
		ListLag:           0.1,
		OverloadMultiple:  2,
		SlowStartWindow:   1,
		StateReleaseLimit: 1,
		Skew:              0.1,
	})
}

// Guards against a checker that misses violations or reports false ones. For each defective router, it must report the rule that the
// defect violates. For the router without a defect, it must report nothing.
func TestCheckerReportsEachDefect(t *testing.T) {
	cutStreamsAfter := func(k int) func(f *fleet.Fleet) {
		return func(f *fleet.Fleet) {
			for _, id := range []string{"decode-1", "decode-2"} {
				f.Engine(id).SetFaults(emulator.Faults{CloseAfter: &k})
			}
		}
	}
	cutBodies := func(f *fleet.Fleet) {
		f.Engine("decode-1").SetFaults(emulator.Faults{TruncatedBody: true})
		f.Engine("decode-2").SetFaults(emulator.Faults{TruncatedBody: true})
	}
	rejectWithError := func(f *fleet.Fleet) {
		f.Engine("decode-1").SetFaults(emulator.Faults{RejectStatus: 500})
		f.Engine("decode-2").SetFaults(emulator.Faults{RejectStatus: 500})
	}
	for _, s := range []defectCase{
		{defect: faultyrouter.None, brokenRule: -1},
		{defect: faultyrouter.None, brokenRule: -1, injectFault: cutStreamsAfter(3)},
		{defect: faultyrouter.None, brokenRule: -1, injectFault: rejectWithError},
		{defect: faultyrouter.NeverAnswers, brokenRule: 1},
		{defect: faultyrouter.AnswersLate, brokenRule: 1},
		{defect: faultyrouter.DropsConnection, brokenRule: 1},
		{defect: faultyrouter.AnswersTwice, brokenRule: 1},
		{defect: faultyrouter.SendsAfterAnswer, brokenRule: 1},
		{defect: faultyrouter.SkipsEvent, brokenRule: 0},
		{defect: faultyrouter.RepeatsOnce, brokenRule: 2, injectFault: cutStreamsAfter(0)},
		{defect: faultyrouter.CallsRetryHarmless, brokenRule: 2, injectFault: cutBodies},
		{defect: faultyrouter.SendsToDraining, brokenRule: 3},
		{defect: faultyrouter.FloodsColdEngine, brokenRule: 4},
		{defect: faultyrouter.DelaysDecode, brokenRule: 5, changeRequest: func(a *client.Request) { a.Patience = 6 * time.Second }},
		{defect: faultyrouter.LeavesState, brokenRule: 5, injectFault: rejectWithError},
	} {
		t.Run(fmt.Sprintf("%s rule %d", s.defect, s.brokenRule), func(t *testing.T) {
			t.Parallel()
			found := runDefectCase(t, s)
			if s.brokenRule < 0 {
				for _, v := range found {
					t.Error(v)
				}
				return
			}
			for _, v := range found {
				if v.Rule == s.brokenRule {
					return
				}
			}
			t.Fatalf("no violation of the expected rule; got %v", found)
		})
	}
}
