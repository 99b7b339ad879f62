package scheduler

import (
	"bufio"
	"fmt"
	"math"
	"math/rand"
	"os"
	"reflect"
	"strings"
	"testing"
)

// testConfig: kind 0 reads, kind 1 writes, kind 2 does both; class 0 repeatable, 1 once, 2 by key.
func testConfig() Config {
	return Config{NodeCount: 1, ZoneCount: 1, Tick: 0.002,
		Classes: []Class{
			{Effect: Idempotent, FirstTokenObjective: 1, ObjectivePer1KTokens: 0.04, ClientTimeout: 5, OutputTokenObjective: 0.06, PriorityWeight: 1, LateValue: 0.3},
			{Effect: AtMostOnce, FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.08, PriorityWeight: 2, LateValue: 0.3},
			{Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 2, FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.08, PriorityWeight: 1},
		},
		Kinds:   []Kind{{Prefill, 2e5}, {Decode, 1.5e5}, {Mixed, 2e5}},
		Tenants: []Tenant{{0}},
		Limits:  Limits{MaxAttempts: 4, Cancel: true},
		Rules: Rules{SlowStartShare: 0.25, SlowStartDuration: 10, OverloadMultiple: 4, SlowStartWindow: 2, StateReleaseLimit: 1, PollInterval: 10,
			DrainGrace: 0.25, AnswerSlack: 0.008},
	}
}

func eng(id string, kind, cell int) Engine { return Engine{ID: id, Kind: kind, Cell: cell, Weight: 1} }

// fleet is two cells of a reader and a writer each.
func fleet() EndpointUpdate {
	return EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0), eng("r1", 0, 1), eng("w1", 1, 1)}}
}

func start(t *testing.T, cfg Config, m EndpointUpdate) *Scheduler {
	t.Helper()
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{m})
	return r
}

func ask(id string, class int) Request {
	return Request{ID: id, Class: class, Session: "s" + id, Prefix: "p", ClientTimeLeft: 4, PromptTokens: 1000, PrefixTokens: 800,
		MaxOutputTokens: 200}
}

func of[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func one[T Action](t *testing.T, acts []Action) T {
	t.Helper()
	xs := of[T](acts)
	if len(xs) != 1 {
		t.Fatalf("want one %T, got %v", *new(T), acts)
	}
	return xs[0]
}

func none[T Action](t *testing.T, acts []Action) {
	t.Helper()
	if xs := of[T](acts); len(xs) != 0 {
		t.Fatalf("want no %T, got %v", *new(T), xs)
	}
}

// read takes a request to the point where its state waits and is sent to a writer.
func read(t *testing.T, r *Scheduler, now float64, q Request) (reader, writer string) {
	t.Helper()
	s := one[Send](t, r.Step(now, []Event{q}))
	w := one[Send](t, r.Step(now+0.05, []Event{Outcome{ID: q.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.05}}))
	return s.Engine, w.Engine
}

func TestOrdinaryPathReadsThenWritesInTheSameCell(t *testing.T) {
	r := start(t, testConfig(), fleet())
	rd, w := read(t, r, 1, ask("a", 0))
	if rd[0] != 'r' || w[0] != 'w' || rd[1] != w[1] {
		t.Fatalf("read at %s, written at %s", rd, w)
	}
	r.Step(1.1, []Event{FirstToken{ID: "a", Attempt: 1, Engine: w, Spent: 0.05}})
	acts := r.Step(2, []Event{Outcome{ID: "a", Attempt: 1, Engine: w, Status: Completed, Spent: 1, Closed: true}})
	none[Fail](t, acts)
	none[Reject](t, acts)
	if len(r.byID)+len(r.open)+len(r.engines[w].jobs) != 0 {
		t.Fatal("an ended request left something behind")
	}
}

func TestAnswerComesBeforeAShortDeadline(t *testing.T) {
	// Time left under the look interval: the timer must be for the answer, not for the next look.
	r := start(t, testConfig(), EndpointUpdate{Form: UpdateComplete})
	q := ask("a", 0)
	q.ClientTimeLeft = 0.013
	acts := r.Step(1, []Event{q})
	if len(of[Reject](acts)) == 1 {
		return
	}
	at := one[SetTimer](t, acts)
	if at.At > 1.013-0.002 {
		t.Fatalf("timer at %g is past the deadline", at.At)
	}
	one[Reject](t, r.Step(at.At, []Event{TimerFired{at.Token}}))
}

func TestHeldRequestIsAnsweredByTimersAlone(t *testing.T) {
	r := start(t, testConfig(), EndpointUpdate{Form: UpdateComplete})
	acts := r.Step(1, []Event{ask("a", 1)})
	now := 1.0
	for i := 0; i < 1000; i++ {
		if len(of[Reject](acts)) == 1 {
			if now >= 5 {
				t.Fatalf("answered at %g", now)
			}
			return
		}
		w := one[SetTimer](t, acts)
		now = w.At
		acts = r.Step(now, []Event{TimerFired{w.Token}})
	}
	t.Fatal("never answered")
}

func TestServiceResumesWhenEnginesAppear(t *testing.T) {
	r := start(t, testConfig(), EndpointUpdate{Form: UpdateComplete})
	none[Send](t, r.Step(1, []Event{ask("a", 0)}))
	one[Send](t, r.Step(1.2, []Event{fleet()}))
}

func TestOnceIsNeverResentNorRefusedAfterItMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		status Status
		ran    bool
	}{{ServerError, true}, {ConnectionLost, true}, {TimedOut, true}, {Canceled, true}, {Rejected, false},
		{ConnectFailed, false}} {
		r := start(t, testConfig(), fleet())
		_, w := read(t, r, 1, ask("a", 1))
		acts := r.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: w, Status: c.status}})
		if c.ran {
			none[Send](t, acts)
			none[Reject](t, acts)
			one[Fail](t, acts)
			one[Release](t, acts)
		} else {
			one[Send](t, acts) // the state still waits: another writer
		}
	}
}

func TestByKeyStaysInItsGroupAndTime(t *testing.T) {
	m := fleet()
	m.Engines = append(m.Engines, eng("w0b", 1, 0), eng("w1b", 1, 1))
	r := start(t, testConfig(), m)
	rd, w := read(t, r, 1, ask("a", 2))
	s := one[Send](t, r.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: w, Status: ServerError}}))
	if s.Engine[1] != rd[1] {
		t.Fatalf("resent to %s, first at %s", s.Engine, w)
	}
	// Past the key's time nothing more may go out, and a group smaller than all forbids a refusal.
	acts := r.Step(3.2, []Event{Outcome{ID: "a", Attempt: 2, Engine: s.Engine, Status: ServerError}})
	none[Send](t, acts)
	none[Reject](t, acts)
	one[Fail](t, acts)
}

// A keyed request that is to be read anew, after an attempt that may have run, is read within its group or not at all:
// whatever is sent then counts as a repeat.
func TestByKeyReadsStayInItsGroup(t *testing.T) {
	m, cfg := fleet(), testConfig()
	m.Engines = append(m.Engines, eng("w0b", 1, 0), eng("w1b", 1, 1))
	cfg.Limits.MaxAttempts = 8
	r := start(t, cfg, m)
	_, w := read(t, r, 1, ask("a", 2))
	s := one[Send](t, r.Step(1.2, []Event{Outcome{ID: "a", Attempt: 1, Engine: w, Status: ServerError}}))
	gone := eng("r"+w[1:2], 0, int(w[1]-'0'))
	gone.State = EngineRemoved
	acts := r.Step(1.3, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{gone}},
		Outcome{ID: "a", Attempt: 2, Engine: s.Engine, Status: Rejected, Info: 1}}) // its state is gone as well
	for _, x := range of[Send](acts) {
		if x.Engine[1] != w[1] {
			t.Fatalf("read anew at %s, after an attempt at %s", x.Engine, w)
		}
	}
}

func TestNothingGoesToDrainingOrGone(t *testing.T) {
	for _, state := range []EngineState{EngineDraining, EngineRemoved} {
		r := start(t, testConfig(), fleet())
		s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
		w := "w" + s.Engine[1:]
		e := eng(w, 1, int(s.Engine[1]-'0'))
		e.State = state
		r.Step(1.01, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{e}}})
		got := one[Send](t, r.Step(1.05, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Prefilled}}))
		if got.Engine == w {
			t.Fatalf("sent to %s after it was %v", w, state)
		}
	}
}

func TestColdEngineGetsNoMoreThanItsBudget(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0), eng("w1", 1, 0)}}
	m.Engines[2].BootTime = 9.9
	r := start(t, testConfig(), m)
	n := map[string]int{}
	for i := 0; i < 100; i++ {
		now := 10 + float64(i)*0.02
		id := fmt.Sprint("q", i)
		acts := r.Step(now, []Event{ask(id, 0)})
		for _, s := range of[Send](acts) {
			if s.Engine == "r0" {
				acts = r.Step(now+0.01, []Event{Outcome{ID: s.ID, Engine: "r0", Status: Prefilled, Spent: 0.01}})
				for _, s := range of[Send](acts) {
					n[s.Engine]++
					r.Step(now+0.01, []Event{FirstToken{ID: s.ID, Attempt: 1, Engine: s.Engine, Spent: 0.01}})
				}
			}
		}
	}
	// cold_share x multiple is one warm engine's load; ours is held to less than that.
	if n["w1"] == 0 || n["w1"] > n["w0"] {
		t.Fatalf("cold got %d, warm %d", n["w1"], n["w0"])
	}
}

// many routers, each with about one request a second, against a cold writer: what they send together in any
// window stays under its budget, which is reckoned from what warm writers get done.
func TestColdBudgetAddsUpOverManyRouters(t *testing.T) {
	const routers, rate, until = 100, 1.0, 14.0
	cfg := testConfig()
	cfg.NodeCount = routers
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0)}}
	for i := 0; i < 10; i++ {
		m.Engines = append(m.Engines, eng(fmt.Sprint("w", i), 1, 0))
	}
	m.Engines[1].BootTime = 4
	type sent struct{ at float64 }
	var cold []sent
	all := 0
	for rank := range routers {
		cfg.NodeIndex = rank
		r, err := New(cfg, uint64(rank))
		if err != nil {
			t.Fatal(err)
		}
		r.Step(0, []Event{m})
		for i := 0; i < int(until*rate); i++ {
			now := (float64(i) + float64(rank)/routers) / rate
			id := fmt.Sprint("q", i)
			for _, s := range of[Send](r.Step(now, []Event{ask(id, 0)})) {
				for _, s := range of[Send](r.Step(now+0.05, []Event{Outcome{ID: s.ID, Attempt: 0, Engine: s.Engine, Status: Prefilled, Spent: 0.05}})) {
					all++
					if s.Engine == "w0" && now >= 4 {
						cold = append(cold, sent{now})
					}
					r.Step(now+0.08, []Event{FirstToken{ID: s.ID, Attempt: 1, Engine: s.Engine, Spent: 0.03}})
					r.Step(now+0.09, []Event{Outcome{ID: s.ID, Attempt: 1, Engine: s.Engine, Status: Completed, Spent: 0.04, Closed: true}})
				}
			}
		}
	}
	warm := float64(all) / until / 10 // a writer's mean, a second
	most := 0
	for _, a := range cold {
		n := 0
		for _, b := range cold {
			if b.at >= a.at && b.at < a.at+cfg.Rules.SlowStartWindow {
				n++
			}
		}
		most = max(most, n)
	}
	budget := cfg.Rules.OverloadMultiple * cfg.Rules.SlowStartShare * cfg.Rules.SlowStartWindow * warm
	if len(cold) == 0 || float64(most) > 1.3*budget {
		t.Fatalf("%d sends to the cold writer, at most %d in a window; budget %.1f", len(cold), most, budget)
	}
}

func TestReportedLoadHoldsBackWhereOwnStreamsAreFew(t *testing.T) {
	// One of very many routers: no stream of its own anywhere, but every writer reports that it is busy.
	cfg := testConfig()
	cfg.NodeCount, cfg.ReportStyle = 100, ReportInline
	r := start(t, cfg, fleet())
	for i := range r.kinds {
		r.kinds[i].pace.c = [3]float64{0.02, 0.001, 0}
	}
	busy := &LoadReport{Utilization: 0.9, MemoryShare: 0.3, Has: HasUtilization | HasMemoryShare}
	r.Step(1, []Event{Outcome{ID: "x", Engine: "w0", Report: busy}})
	if s := of[Send](r.Step(1.1, []Event{ask("a", 0)})); len(s) != 0 {
		t.Fatalf("sent to %v though the kind's writers are full", s)
	}
	idle := &LoadReport{Utilization: 0.1, Has: HasUtilization | HasMemoryShare}
	one[Send](t, r.Step(1.2, []Event{Outcome{ID: "x", Engine: "w1", Report: idle}}))
}

func TestOldReportsFadeToTheKind(t *testing.T) {
	r := start(t, testConfig(), fleet())
	e := r.engines["w0"]
	r.now = 1
	r.reported(r.engines["w1"], &LoadReport{MemoryShare: 0.2, Has: HasMemoryShare})
	for range 200 {
		r.reported(r.engines["w1"], &LoadReport{MemoryShare: 0.2, Has: HasMemoryShare})
	}
	r.reported(e, &LoadReport{MemoryShare: 0.9, Has: HasMemoryShare})
	q := &request{Request: ask("a", 0), class: &r.cfg.Classes[0]}
	now := r.memUsed(e, q)
	r.now += 5 * reportFresh
	if later := r.memUsed(e, q); now < 0.85 || later > 0.35 {
		t.Fatalf("memory taken to be %g, %g later", now, later)
	}
}

func TestLateEverywhereIsNotSilence(t *testing.T) {
	// One attempt at an engine is all a router in a large fleet has there: where reads have lately missed their
	// predictions by a second, one that is a second late is not called off.
	for _, c := range []struct {
		spread float64
		calls  int
	}{{0, 1}, {1, 0}} {
		r := start(t, testConfig(), fleet())
		r.spread[Prefill].add(0, c.spread, 1)
		r.Step(1, []Event{ask("a", 0)})
		if got := len(of[Cancel](r.Step(2.6, nil))); got != c.calls {
			t.Fatalf("spread %g: %d called off", c.spread, got)
		}
	}
}

func TestHomesLieWhereWritersAre(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete}
	for i := range 4 { // cell 0: four readers and one writer; cell 1: two readers and five writers
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, 0))
	}
	m.Engines = append(m.Engines, eng("w", 1, 0), eng("r4", 0, 1), eng("r5", 0, 1))
	for i := range 5 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("x", i), 1, 1))
	}
	r := start(t, testConfig(), m)
	n := [2]int{}
	for i := range 300 {
		q := &request{Request: ask("a", 0)}
		q.Prefix = fmt.Sprint("p", i)
		n[r.readers(q)[0].Cell]++
	}
	if n[1] < n[0] {
		t.Fatalf("homes by cell: %v", n)
	}
}

func TestHotBeginningHasSeveralHomesAndOthersOne(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("w", 1, 0)}}
	for i := range 10 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, 0))
	}
	r := start(t, testConfig(), m)
	r.now = 1
	for i := range 100 {
		q := ask(fmt.Sprint(i), 0)
		if i%10 > 2 {
			q.Prefix = fmt.Sprint("cool", i)
		}
		r.arrive(q)
	}
	homes := map[string]map[string]bool{"p": {}, "cool9": {}}
	for i := range 200 {
		for p := range homes {
			q := &request{Request: ask("a", 0)}
			q.Prefix, q.Session = p, fmt.Sprint("s", i)
			homes[p][r.readers(q)[0].ID] = true
		}
	}
	if n := len(homes["p"]); n < 2 || n > 4 || len(homes["cool9"]) != 1 {
		t.Fatalf("homes %v", homes)
	}
}

func TestOverrunHomePassesToTheNext(t *testing.T) {
	m := fleet()
	m.Engines = append(m.Engines, eng("r2", 0, 0), eng("r3", 0, 1))
	r := start(t, testConfig(), m)
	first := one[Send](t, r.Step(1, []Event{ask("a", 0)})).Engine
	r.Step(1.05, []Event{Outcome{ID: "a", Engine: first, Status: Prefilled, Spent: 0.05}})
	r.engines[first].wait.add(r.now, 0.7, 1)
	if next := one[Send](t, r.Step(1.1, []Event{ask("b", 0)})).Engine; next == first {
		t.Fatal("the home was not passed over though its queue takes 0.7 s")
	}
}

// At many routers every high tier is nearly always empty: what comes too late is read only where a newcomer right
// behind it would still come in time, by what reads have lately shown.
func TestLowTierIsReadOnlyWhereItMakesNobodyLate(t *testing.T) {
	for wait, want := range map[float64]int{0: 1, 0.9: 0} {
		r := start(t, testConfig(), fleet())
		r.now = 1
		r.arrive(ask("a", 0))
		r.byID["a"].low = true
		r.kinds[0].wait.add(1, wait, 1)
		if got := len(of[Send](r.Step(1, nil))); got != want {
			t.Errorf("reads wait %g s: %d sent, want %d", wait, got, want)
		}
	}
	r := start(t, testConfig(), fleet())
	r.now = 1
	r.arrive(ask("a", 0))
	r.byID["a"].low = true
	r.spread[Prefill].add(1, 0.4, 1) // no wait is known, but predictions have been off
	none[Send](t, r.Step(1, nil))
}

// Nothing was sent to readers once thought full, so nothing was learned of them, and nothing was sent.
func TestWaitsOnceLearnedFadeWhileNothingIsRead(t *testing.T) {
	r := start(t, testConfig(), fleet())
	r.now = 1
	for _, e := range r.list {
		e.wait.add(1, 3, 1)
	}
	r.kinds[0].wait.add(1, 3, 1)
	none[Send](t, r.Step(1, []Event{ask("a", 0)}))
	one[Send](t, r.Step(41, []Event{ask("b", 0)}))
}

// A client's patience is for tries that can succeed: two tries went to an engine that fails at once before it was ejected.
func TestARetryGoesElsewhere(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete}
	for i := range 4 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, 0), eng(fmt.Sprint("w", i), 1, 0))
	}
	r := start(t, testConfig(), m)
	first := one[Send](t, r.Step(1, []Event{ask("a", 0)})).Engine
	again := one[Send](t, r.Step(1.01, []Event{Outcome{ID: "a", Engine: first, Status: ServerError, Spent: 0.01}})).Engine
	if again == first {
		t.Fatalf("%s failed the request and is asked again", first)
	}
	r = start(t, testConfig(), EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0)}})
	r.Step(1, []Event{ask("a", 0)})
	if s := one[Send](t, r.Step(1.01, []Event{Outcome{ID: "a", Engine: "r0", Status: ServerError, Spent: 0.01}})); s.Engine != "r0" {
		t.Fatalf("%s instead of the only reader", s.Engine)
	}
}

// Writers of one cell ran late while others stood idle: what the first token takes counts against a writer's room.
func TestWriterThatIsSlowToStartIsPassedOver(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0), eng("w1", 1, 0)}}
	for _, slow := range []string{"w0", "w1"} {
		r := start(t, testConfig(), m)
		r.now = 1
		r.engines[slow].lag.add(1, 0.6, 1)
		q := &request{Request: ask("q", 0), class: &r.cfg.Classes[0]}
		if w := r.bestWriter(q, r.engines["r0"], 1, false); w.ID == slow {
			t.Errorf("%s was taken though its first tokens take 0.6 s", slow)
		}
	}
}

// A mixed engine is a home as readers are, for fewer beginnings. It answers what it reads, so that no state moves,
// and what readers have read goes to it only when no writer passes.
func TestMixedEnginesAreHomes(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete}
	for i := range 4 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, i), eng(fmt.Sprint("w", i), 1, i), eng(fmt.Sprint("m", i), 2, i))
	}
	r := start(t, testConfig(), m)
	homes, now := map[byte]int{}, 1.0
	for i := range 300 {
		q := ask(fmt.Sprint("q", i), 0)
		q.Prefix = fmt.Sprint("p", i)
		s := one[Send](t, r.Step(now, []Event{q}))
		homes[s.Engine[0]]++
		if s.Engine[0] == 'm' {
			r.Step(now+0.05, []Event{FirstToken{ID: q.ID, Engine: s.Engine, Spent: 0.05}})
			acts := r.Step(now+0.1, []Event{Outcome{ID: q.ID, Engine: s.Engine, Status: Completed, Closed: true}})
			none[Release](t, acts)
		} else {
			w := one[Send](t, r.Step(now+0.05, []Event{Outcome{ID: q.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.05}}))
			if w.Engine[0] != 'w' {
				t.Fatalf("%s was given a state though writers pass", w.Engine)
			}
			r.Step(now+0.08, []Event{FirstToken{ID: q.ID, Attempt: 1, Engine: w.Engine, Spent: 0.03},
				Outcome{ID: q.ID, Attempt: 1, Engine: w.Engine, Status: Completed, Closed: true}})
		}
		now += 0.2
	}
	if n := homes['m']; n < 60 || n > 140 || homes['r']+n != 300 {
		t.Fatalf("read by %v; a third by mixed engines was meant", homes)
	}
}

func TestSmallShareSavesUpWholeRequests(t *testing.T) {
	cfg := testConfig()
	cfg.NodeCount, cfg.Tenants = 100, []Tenant{{2}}
	r := start(t, cfg, fleet())
	r.Step(1, []Event{ask("a", 0), ask("b", 0)})
	if r.byID["a"].over || r.byID["b"].over {
		t.Fatal("the first requests of a small share count as beyond it")
	}
}

func TestWhatAMixedEngineReadItselfIsReleased(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("m0", 2, 0)}}
	r := start(t, testConfig(), m)
	s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
	one[Cancel](t, r.Step(4.99, nil))
	one[Release](t, r.Step(5, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Canceled, Closed: true}}))
}

func TestColdBudgetCountsWhatIsAdmittedAndNotYetSent(t *testing.T) {
	// Reads that end together must not all go to a cold writer: admission takes its part of the budget.
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0), eng("w1", 1, 0)}}
	m.Engines[2].BootTime = 0.5
	cfg := testConfig()
	cfg.NodeCount = 1000 // of the even share nothing is left
	r := start(t, cfg, m)
	r.borne[Decode].add(3, 1000, rateWindow) // about one warm request a second
	for i := 0; i < 30; i++ {
		r.Step(3, []Event{ask(fmt.Sprint(i), 0)})
	}
	n := 0
	for _, q := range r.engines["w1"].jobs {
		if q.stage == reading {
			n++
		}
	}
	if n > 2 {
		t.Fatalf("%d requests are on their way to a cold writer", n)
	}
}

func TestRestartSendsNothingToAColdEngineForAWindow(t *testing.T) {
	m := EndpointUpdate{Form: UpdateStale, Engines: []Engine{eng("r0", 0, 0), eng("w0", 1, 0)}}
	m.Engines[0].BootTime = 0.5
	r, _ := New(testConfig(), 1)
	none[Send](t, r.Step(1, []Event{m, ask("a", 0)}))
	none[Send](t, r.Step(2.9, []Event{ask("b", 0)}))
}

func TestStateIsReleasedWhenNoWriterTakesIt(t *testing.T) {
	r := start(t, testConfig(), fleet())
	s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
	var gone []Engine
	for _, e := range fleet().Engines {
		if e.Kind == 1 {
			e.State = EngineDraining
			gone = append(gone, e)
		}
	}
	r.Step(1.01, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: gone}})
	acts := r.Step(1.05, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Prefilled}})
	for now := 1.05; now < 2.05-0.3; now += 0.02 {
		if len(of[Release](acts)) == 1 {
			return
		}
		acts = r.Step(now, []Event{TimerFired{0}})
	}
	t.Fatal("the state was not released in time")
}

// While connections fail to come up, the time for which a state is held keeps running: the last try begins so early that it
// ends within the rule, and then the state is let go of though writers are left to be tried.
func TestStateIsReleasedInTimeWhileConnectionsFail(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0)}}
	for i := range 8 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("w", i), 1, 0))
	}
	cfg := testConfig()
	cfg.Limits.MaxAttempts, cfg.Limits.StateTimeRunsDuringConnects = 9, true // the protocol on sockets
	r := start(t, cfg, m)
	read := one[Send](t, r.Step(1, []Event{ask("a", 1)}))
	acts, parsed, n := r.Step(1.1, []Event{Outcome{ID: "a", Engine: read.Engine, Status: Prefilled, Spent: 0.1}}), 1.1, 1
	for now := parsed; now < parsed+cfg.Rules.StateReleaseLimit; n++ {
		s := of[Send](acts)
		if len(s) == 0 || len(of[Release](acts)) > 0 {
			break
		}
		now += 0.25 // the time to connect
		acts = r.Step(now, []Event{Outcome{ID: "a", Attempt: n, Engine: s[0].Engine, Status: ConnectFailed, Spent: 0.25}})
	}
	if len(of[Release](acts)) != 1 || r.now > parsed+0.8*cfg.Rules.StateReleaseLimit || n < 3 {
		t.Fatalf("%.2f s after the read, after %d attempts: %v", r.now-parsed, n, acts)
	}
}

// Where a failed connection counts as an attempt, the rule's time runs from its outcome: a state that was let go of earlier had to
// be read anew, and yard-assist-later, whose handshakes are slow, fell from 0.729 to 0.669 (simulated servers).
func TestStateWaitsAnewAfterAFailedConnectionThatCounts(t *testing.T) {
	m := fleet()
	m.Engines = append(m.Engines, eng("w2", 1, 0), eng("w3", 1, 0))
	r := start(t, testConfig(), m)
	read := one[Send](t, r.Step(1, []Event{ask("a", 1)}))
	write := one[Send](t, r.Step(1.1, []Event{Outcome{ID: "a", Engine: read.Engine, Status: Prefilled, Spent: 0.1}}))
	acts := r.Step(1.8, []Event{Outcome{ID: "a", Attempt: 1, Engine: write.Engine, Status: ConnectFailed, Spent: 0.7}})
	none[Release](t, acts)
	if again := one[Send](t, acts); again.Engine == write.Engine {
		t.Errorf("the state was sent to %s again", again.Engine)
	}
}

func TestGoneReleasesTheStateOfAReadStillOut(t *testing.T) {
	r := start(t, testConfig(), fleet())
	s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
	one[Cancel](t, r.Step(1.01, []Event{ClientDisconnected{"a"}}))
	one[Release](t, r.Step(1.02, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Prefilled, Closed: true}}))
	if len(r.byID) != 0 {
		t.Fatal("the request is still known")
	}
}

func TestPrefixHomeIsSharedAndStable(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete}
	for i := 0; i < 6; i++ {
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, i), eng(fmt.Sprint("w", i), 1, i))
	}
	home := func(r *Scheduler, prefix string) string {
		q := ask("x", 0)
		q.Prefix = prefix
		s := one[Send](t, r.Step(r.now+1, []Event{q}))
		r.Step(r.now, []Event{Outcome{ID: "x", Engine: s.Engine, Status: ServerError, Closed: true}})
		r.engines[s.Engine].err = 0
		return s.Engine
	}
	a, b := start(t, testConfig(), m), start(t, testConfig(), m)
	b.rng.Uint64()
	before := map[string]string{}
	for i := 0; i < 20; i++ {
		p := fmt.Sprint("p", i)
		before[p] = home(a, p)
		if got := home(b, p); got != before[p] {
			t.Fatalf("routers disagree on %s: %s, %s", p, before[p], got)
		}
	}
	left := m.Engines[0]
	left.State = EngineRemoved
	a.Step(a.now, []Event{EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{left}}})
	for p, was := range before {
		if got := home(a, p); was != "r0" && got != was {
			t.Fatalf("%s moved from %s to %s though its home stayed", p, was, got)
		}
	}
}

func TestFastFailingWriterIsEjectedAndReadmittedByTrial(t *testing.T) {
	r := start(t, testConfig(), fleet())
	e := r.engines["w0"]
	r.now = 1
	r.judge(e, 1)
	r.judge(e, 1)
	if r.trusted(e) {
		t.Fatal("still trusted after two failures in a row")
	}
	r.now += maxEject
	if !r.trusted(e) {
		t.Fatal("no trial after the ejection")
	}
	e.jobs = []*request{{stage: writing, writer: e, sentAt: r.now, expect: 1}}
	if r.trusted(e) {
		t.Fatal("a second trial beside the first")
	}
	e.jobs = nil
	for i := 0; i < 5; i++ {
		r.judge(e, 0)
	}
	if e.err >= errTrial {
		t.Fatal("not readmitted after good trials")
	}
}

func TestWithAllSuspectTheLeastFailedServes(t *testing.T) {
	r := start(t, testConfig(), fleet())
	for _, e := range r.list {
		e.err, e.ejectedTill = 0.9, 100
	}
	r.engines["r1"].err, r.engines["w1"].err = 0.6, 0.6
	if rd, w := read(t, r, 1, ask("a", 0)); rd != "r1" || w != "w1" {
		t.Fatalf("used %s and %s", rd, w)
	}
}

func TestSilentReaderGetsNothingMore(t *testing.T) {
	r := start(t, testConfig(), fleet())
	s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
	got := one[Send](t, r.Step(1.6, []Event{ask("b", 0)}))
	if got.Engine == s.Engine {
		t.Fatalf("%s is silent and got more", s.Engine)
	}
}

// A reader that loses what it has read (a node cut off, memory run short, a restart that the list has not told)
// answers reads as if all were well. The writer that finds no state is not full.
func TestReaderThatLosesStatesIsLeft(t *testing.T) {
	r := start(t, testConfig(), fleet())
	now, home := 1.0, ""
	for i := range 2 {
		q := ask(fmt.Sprint("q", i), 0)
		rd, w := read(t, r, now, q)
		if home == "" {
			home = rd
		}
		acts := r.Step(now+0.2, []Event{Outcome{ID: q.ID, Attempt: 1, Engine: w, Status: Rejected, Info: 1}})
		if e := r.engines[w]; e.fullTill > now {
			t.Fatalf("%s counts as full", w)
		}
		if i == 0 {
			if s := one[Send](t, acts); s.Engine != home { // once is chance
				t.Fatalf("read again at %s, want %s", s.Engine, home)
			}
			r.Step(now+0.3, []Event{ClientDisconnected{q.ID}, Outcome{ID: q.ID, Attempt: 2, Engine: home, Status: Canceled, Closed: true}})
		} else if s := one[Send](t, acts); s.Engine == home {
			t.Fatalf("%s lost two states and is asked again", home)
		}
		now += 0.5
	}
}

// Answers of a token or two begin and end within one step. Their time of zero made the guess of lengths no number,
// and then no writer with a stream passed the test any more (seen on sockets).
func TestStreamsWithoutDurationTeachNothing(t *testing.T) {
	r := start(t, testConfig(), fleet())
	now := 1.0
	for i := range 2 * lengths {
		q := ask(fmt.Sprint("q", i), 0)
		_, w := read(t, r, now, q)
		r.Step(now+0.2, []Event{FirstToken{ID: q.ID, Attempt: 1, Engine: w, Spent: 0.01},
			Outcome{ID: q.ID, Attempt: 1, Engine: w, Status: Completed, Closed: true}})
		now += 0.5
	}
	q := &request{Request: ask("x", 0), class: &r.cfg.Classes[0]}
	if n := r.answerTokens(q); !(n > 0) {
		t.Fatalf("an answer is guessed at %v tokens", n)
	}
	for i := range 3 { // streams that last
		q := ask(fmt.Sprint("long", i), 0)
		_, w := read(t, r, now, q)
		r.Step(now+0.2, []Event{FirstToken{ID: q.ID, Attempt: 1, Engine: w, Spent: 0.01}})
		now += 0.3
	}
}

// A router that hears of writers seldom leaves a cell whose writer has less room; one that hears often leaves it only
// when no writer there passes.
func TestFullCellIsLeftWhereReportsAreOld(t *testing.T) {
	report := func(share float64) *LoadReport { return &LoadReport{MemoryShare: share, Has: HasMemoryShare} }
	for age, want := range map[float64]string{0.1: "w0", 8: "w1"} {
		cfg := testConfig()
		cfg.ReportStyle, cfg.Prices.Transfer = ReportInline, 0.03
		r := start(t, cfg, fleet())
		q := &request{Request: ask("q", 0), class: &r.cfg.Classes[0]}
		r.Step(1, []Event{ProbeResult{Engine: "w0", Status: Completed, Report: report(0.85)}, ProbeResult{Engine: "w1", Status: Completed, Report: report(0.05)}})
		r.kinds[1].mem.v = 0.4 // of all that were heard of lately
		r.engines["w0"].reportAt, r.engines["w1"].reportAt = 1, 1
		r.now = 1 + age
		if age > 1 { // the near one tells now, the far one told long ago
			r.engines["w0"].reportAt = r.now
		}
		if w := r.bestWriter(q, r.engines["r0"], 1, false); w == nil || w.ID != want {
			t.Errorf("reports %.1f s old: %v, want %s", age, w, want)
		}
	}
}

func TestLostPrefixesAreReadAnew(t *testing.T) {
	r := start(t, testConfig(), fleet())
	e := r.engines["r0"]
	q := &request{Request: ask("a", 0), class: &r.cfg.Classes[0], kept: 800, load: 600, tokens: 200}
	q.Session = ""
	for range 5 {
		r.learnHit(q, e, 800)
	}
	before := r.keptAt(q, e)
	for range 5 {
		r.learnHit(q, e, 0)
	}
	if after := r.keptAt(q, e); before < 600 || after > before/2 {
		t.Fatalf("kept is taken to be %g, then %g", before, after)
	}
}

func TestFarMovesLearnTheLink(t *testing.T) {
	r := start(t, testConfig(), fleet())
	from, to := r.engines["r0"], r.engines["w1"]
	q := &request{Request: ask("a", 0)}
	before := r.moveTime(q, from, to)
	r.link(from, to).perTok.add(r.now, 1e-3, 1)
	if after := r.moveTime(q, from, to); after < 10*before {
		t.Fatalf("a slow link went unnoticed: %g, %g", before, after)
	}
	r.link(from, to).out = 5000
	if r.moveTime(q, from, to) < 5 {
		t.Fatal("moves under way do not count")
	}
	if r.moveTime(q, from, r.engines["w0"]) != 0 {
		t.Fatal("a near move counts on the link")
	}
}

func TestCurveFindsAKnownLaw(t *testing.T) {
	var k curve
	k.c = [3]float64{0.02, 0, 0}
	rnd := rand.New(rand.NewSource(1))
	law := func(l float64) float64 { return 0.02 * (1 + 0.03*(l-1) + 0.0005*l*(l-1)) }
	for i := 0; i < 3000; i++ {
		l := float64(1 + rnd.Intn(60))
		k.sample(l, law(l), 1, memoryOf)
		k.fit(k.c)
	}
	for _, l := range []float64{1, 10, 30, 60} {
		if got, want := k.c[0]/k.speed(l), law(l); math.Abs(got-want) > 0.1*want {
			t.Errorf("pace at %g: %g, want %g", l, got, want)
		}
	}
}

func TestCurveStaysPhysicalOnDegenerateSamples(t *testing.T) {
	for _, pace := range []float64{0, 1e-9, 1e6} {
		var k curve
		k.c = [3]float64{0.02, 0, 0}
		for i := 0; i < 200; i++ {
			k.sample(float64(1+i%2*40), pace*float64(200-i), 1, memoryOf)
			k.fit(k.c)
			if !(k.c[0] > 0) || k.c[1] < 0 || k.c[2] < 0 || k.c[1] > k.c[0] || k.c[2] > k.c[0] {
				t.Fatalf("fit is %v", k.c)
			}
			if f := k.speed(50); !(f > 0 && f <= 1) {
				t.Fatalf("speed is %g", f)
			}
		}
	}
}

func TestCurveHoldsBackANewcomer(t *testing.T) {
	r := start(t, testConfig(), fleet())
	for i := range r.kinds {
		r.kinds[i].pace.c = [3]float64{0.03, 0.012, 0} // two streams 0.042, three 0.054, four 0.066
	}
	r.cfg.Limits.MaxAttempts = 2
	sent := 0
	for i := 0; i < 12; i++ {
		sent += len(of[Send](r.Step(1, []Event{ask(fmt.Sprint(i), 0)})))
	}
	if sent != 4 { // two at each writer keep 0.8 x 0.06; a third would not
		t.Fatalf("%d were admitted", sent)
	}
}

func TestRoughHintsDoNotSlowTheCurve(t *testing.T) {
	// Every answer has 100 tokens at 0.03 s; hints are a third or three times of it.
	r := start(t, testConfig(), fleet())
	e := r.engines["w0"]
	for i := 0; i < 300; i++ {
		q := &request{Request: ask("a", 0), class: &r.cfg.Classes[0], flowAt: 1, flowL: 1, stage: flowing}
		q.MaxOutputTokens, q.DurationHint = 800, 0.06*100*[2]float64{1.0 / 3, 3}[i%2]
		r.now = 1 + 3
		r.learnStream(q, e)
	}
	if pace := e.pace.c[0]; pace > 0.03*100*2/(100.0/3+300)+0.004 {
		t.Fatalf("a lone stream is taken to need %g s a token", pace)
	}
}

func TestHighTierGoesByDeadlineAndLowWaits(t *testing.T) {
	var q [3]*request
	for i := range q {
		q[i] = &request{aim: float64(3 - i)}
	}
	q[2].over = true
	xs := []*request{q[0], q[1], q[2]}
	byDeadline(xs)
	if xs[0] != q[1] || xs[1] != q[0] || xs[2] != q[2] {
		t.Fatal("not by deadline with over-share traffic last")
	}
	// A request whose aim has passed waits while the high tier holds one.
	r := start(t, testConfig(), EndpointUpdate{Form: UpdateComplete})
	late := ask("late", 0)
	r.Step(0, []Event{late})
	r.Step(1.5, []Event{ask("new", 0)})
	m := fleet()
	acts := r.Step(1.6, []Event{m})
	if !r.byID["late"].low || r.byID["new"].low {
		t.Fatal("tiers are wrong")
	}
	if s := of[Send](acts); len(s) == 0 || s[0].ID != "new" {
		t.Fatalf("the high tier does not go first: %v", s)
	}
}

func TestAnswerLengthIsInferred(t *testing.T) {
	r := start(t, testConfig(), fleet())
	q := &request{Request: ask("a", 0), class: &r.cfg.Classes[0]}
	q.DurationHint = 3
	if got := r.answerTokens(q); got != 50 {
		t.Fatalf("hinted length is %g", got)
	}
	if got := meanOver([]float64{1, 1, 1, 1, 2}, 1); math.Abs(got-0.6) > 1e-9 {
		t.Fatalf("mean over top is %g", got)
	}
}

func TestSameSeedAndEventsGiveTheSameActions(t *testing.T) {
	run := func() (all []Action) {
		r, _ := New(testConfig(), 9)
		all = append(all, r.Step(0, []Event{fleet()})...)
		for i := 0; i < 60; i++ {
			now := 1 + float64(i)*0.01
			acts := r.Step(now, []Event{ask(fmt.Sprint(i), i%3)})
			all = append(all, acts...)
			for _, s := range of[Send](acts) {
				if s.Engine[0] == 'r' && i%2 == 0 {
					all = append(all, r.Step(now, []Event{Outcome{ID: s.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.02}})...)
				}
			}
		}
		return all
	}
	if !reflect.DeepEqual(run(), run()) {
		t.Fatal("actions differ")
	}
}

func TestWritersDoNotReadWhileReadersAreMerelyLate(t *testing.T) {
	cfg := testConfig()
	cfg.DecodeEnginesPrefill = true
	m := fleet()
	m.Engines = append(m.Engines, eng("m0", 2, 0))
	r := start(t, cfg, m)
	for _, e := range r.list {
		e.wait.add(0.9, 5, 1) // every read would take five seconds and more
	}
	for i := 0; i < 5; i++ {
		for _, s := range of[Send](r.Step(1, []Event{ask(fmt.Sprint(i), 0)})) {
			if s.Engine[0] == 'w' || s.Engine == "m0" && i > 0 {
				t.Fatalf("request %d went unread to %s", i, s.Engine)
			}
		}
	}
	// With no reader at all, a writer reads.
	r = start(t, cfg, EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("w0", 1, 0)}})
	if s := one[Send](t, r.Step(1, []Event{ask("a", 0)})); s.Engine != "w0" {
		t.Fatalf("sent to %s", s.Engine)
	}
}

func TestStrayEventsAreIgnored(t *testing.T) {
	r := start(t, testConfig(), fleet())
	r.Step(1, []Event{ask("a", 0)})
	acts := r.Step(1.001, []Event{Outcome{ID: "zz", Engine: "r0"}, Outcome{ID: "a", Attempt: 7, Engine: "r0"}, ClientDisconnected{"zz"},
		FirstToken{ID: "a", Attempt: 3}, TimerFired{999}, ProbeResult{Engine: "nobody"}, ReserveResult{ID: "zz"}, PeerMessage{}, ask("a", 0)})
	for _, a := range acts {
		if _, ok := a.(SetTimer); !ok {
			t.Fatalf("acted on a stray event: %v", a)
		}
	}
}

func TestNewNamesTheBadField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"Balancers":   func(c *Config) { c.NodeCount = 0 },
		"Rank":        func(c *Config) { c.NodeIndex = 5 },
		"Classes":     func(c *Config) { c.Classes = nil },
		"Classes[1]":  func(c *Config) { c.Classes[1].FirstTokenObjective = -1 },
		"Kinds":       func(c *Config) { c.Kinds = nil },
		"MaxAttempts": func(c *Config) { c.Limits.MaxAttempts = 0 },
		"Zone":        func(c *Config) { c.Zone = 3 },
		"Rules":       func(c *Config) { c.Rules.StateReleaseLimit = -1 },
	} {
		c := testConfig()
		spoil(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error is %v", field, err)
		}
	}
}

// TestModuleSize holds scheduler.go to 1,000 lines that are not blank and 110 columns.
func TestModuleSize(t *testing.T) {
	f, err := os.Open("scheduler.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		s := strings.ReplaceAll(sc.Text(), "\t", "    ")
		if strings.TrimSpace(s) != "" {
			lines++
		}
		if n := len([]rune(s)); n > 110 {
			t.Errorf("%d columns: %s", n, s)
		}
	}
	if lines > 1000 {
		t.Errorf("scheduler.go has %d lines", lines)
	}
}

// Nodes cannot agree on how many they are. Where half think 130 and half 180 of 155, tenants' quotas are off by the error of
// the counts and no more, and the cold budget, which follows from what each gets done, is the same.
func TestLimitsAddUpWithWrongNodeCounts(t *testing.T) {
	const nodes, quota, seconds = 155, 400.0, 60
	granted := 0
	for i := range nodes {
		cfg := testConfig()
		cfg.NodeCount = []int{130, 180}[i%2]
		cfg.NodeIndex = i % 130 // some numbers are given twice
		cfg.Tenants = []Tenant{{Quota: quota}}
		r := start(t, cfg, fleet())
		for k := range 100 * seconds { // far more than its part
			now := 1 + float64(k)/100
			r.now = now
			q := ask(fmt.Sprint(i, "-", k), 0)
			r.arrive(q)
			if x := r.byID[q.ID]; !x.over {
				granted++
			}
			delete(r.byID, q.ID)
			r.open = r.open[:0]
		}
	}
	saved := float64(nodes) * max(shareLeast, shareSlack*quota/130)
	if most := 1.1*quota*seconds + saved; float64(granted) > most || float64(granted) < 0.9*quota*seconds {
		t.Fatalf("%d requests within the share in %d s, quota %g a second", granted, seconds, quota)
	}
}

// What can no longer be served with some worth is refused in that pass, not when half of its time is over, and what
// still earns a late worth waits.
func TestWhatHasNoWayLeftIsRefusedAtOnce(t *testing.T) {
	r := start(t, testConfig(), fleet())
	q := ask("a", 0)
	q.PromptTokens, q.PrefixTokens, q.ClientTimeLeft = 2e5, 0, 2 // 10 s to read at best
	one[Reject](t, r.Step(1, []Event{q}))

	cfg := testConfig()
	cfg.Classes[0].LateValue = 0
	r = start(t, cfg, fleet())
	q = ask("b", 0)
	q.PromptTokens, q.PrefixTokens, q.ClientTimeLeft = 6e4, 0, 30 // 3 s at best: in time, but after its aim
	cfg.Classes[0].ObjectivePer1KTokens = 0
	r = start(t, cfg, fleet())
	one[Reject](t, r.Step(1, []Event{q}))

	cfg = testConfig()
	cfg.Classes[0].ObjectivePer1KTokens = 0
	r = start(t, cfg, fleet())
	none[Reject](t, r.Step(1, []Event{q}))
}

// A refusal tells when to come back where the settings let it: within the most that they allow, spread, sooner where
// nothing waits; and says nothing where they do not.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	hopeless := func(id string) Request {
		q := ask(id, 0)
		q.PromptTokens, q.PrefixTokens, q.ClientTimeLeft = 2e5, 0, 2
		return q
	}
	r := start(t, testConfig(), fleet())
	if a := one[Reject](t, r.Step(1, []Event{hopeless("a")})); a.RetryAfter != 0 {
		t.Fatalf("a time where none is allowed: %g", a.RetryAfter)
	}
	cfg := testConfig()
	cfg.Limits.RetryAfter, cfg.Limits.MaxRetryAfter = true, 1
	r = start(t, cfg, fleet())
	idle, seen := 0.0, map[float64]bool{}
	for i := range 20 {
		a := one[Reject](t, r.Step(1+float64(i)/100, []Event{hopeless(fmt.Sprint("a", i))}))
		if !(a.RetryAfter > 0 && a.RetryAfter <= 1) {
			t.Fatalf("%g", a.RetryAfter)
		}
		idle, seen[a.RetryAfter] = idle+a.RetryAfter/20, true
	}
	if len(seen) < 10 {
		t.Fatalf("those refused together come back together: %v", seen)
	}
	for i := range 60 { // both readers get much to read
		q := ask(fmt.Sprint("b", i), 0)
		q.PromptTokens, q.PrefixTokens, q.ClientTimeLeft, q.Prefix = 5000, 0, 30, fmt.Sprint("p", i)
		r.Step(2, []Event{q})
	}
	busy := 0.0
	for i := range 20 {
		busy += one[Reject](t, r.Step(2.01+float64(i)/1000, []Event{hopeless(fmt.Sprint("c", i))})).RetryAfter / 20
	}
	if busy <= idle {
		t.Fatalf("asked back after %g s behind a queue, %g s without one", busy, idle)
	}
}

// An engine that answers some attempts and none to others: one that two later ones overtook is called off and tried
// elsewhere, and counts against the engine, which is not taken for silent. Two that are merely slow are left alone.
func TestOvertakenAttemptIsLostNotSlow(t *testing.T) {
	cfg := testConfig()
	cfg.Kinds = cfg.Kinds[:2]
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("r1", 0, 0), eng("w0", 1, 0)}}
	for _, later := range []int{1, 2} {
		r := start(t, cfg, m)
		lost := one[Send](t, r.Step(1, []Event{ask("lost", 0)}))
		for i := range later {
			id, now := fmt.Sprint("n", i), 1.1+float64(i)/10
			s := one[Send](t, r.Step(now, []Event{ask(id, 0)}))
			if s.Engine != lost.Engine {
				t.Fatalf("%s went to %s", id, s.Engine)
			}
			r.Step(now+0.05, []Event{Outcome{ID: id, Engine: s.Engine, Status: Prefilled, Spent: 0.05}})
		}
		if r.engines[lost.Engine].err > 0 || !r.trusted(r.engines[lost.Engine]) {
			t.Fatal("an engine that answers is not silent")
		}
		cancelled := false
		for _, c := range of[Cancel](r.Step(2.2, []Event{TimerFired{}})) { // the writer says nothing: not what is asked here
			cancelled = cancelled || c.ID == "lost"
		}
		if cancelled != (later == 2) {
			t.Fatalf("%d later ones answered, called off: %v", later, cancelled)
		}
		if later == 1 {
			continue
		}
		acts := r.Step(2.21, []Event{Outcome{ID: "lost", Engine: lost.Engine, Status: Canceled, Spent: 1.2}})
		for _, s := range of[Send](acts) {
			if s.ID == "lost" && s.Engine == lost.Engine {
				t.Fatal("tried again where it was lost")
			}
		}
		if r.engines[lost.Engine].err <= 0 {
			t.Fatal("what it loses does not count against it")
		}
	}
}

// An engine that turns away though it reports room is not asked again for that request while there are others; one
// that is full by its own word may be.
func TestRejectionInIdlenessGoesElsewhere(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("r1", 0, 0), eng("w0", 1, 0)}}
	for _, waiting := range []float64{0, 3} {
		r := start(t, testConfig(), m)
		s := one[Send](t, r.Step(1, []Event{ask("a", 0)}))
		rep := &LoadReport{Waiting: waiting, Utilization: 0.2, Has: HasWaiting | HasUtilization}
		again := one[Send](t, r.Step(1.3, []Event{Outcome{ID: "a", Engine: s.Engine, Status: Rejected, Spent: 0.28, Report: rep}}))
		if elsewhere := again.Engine != s.Engine; elsewhere != (waiting == 0) {
			t.Errorf("%g waiting: first %s, then %s", waiting, s.Engine, again.Engine)
		}
		if r.engines[s.Engine].err != 0 {
			t.Error("a rejection is no failure")
		}
	}
}

// A writer whose lone pace misses the aim, and which reports load, is still used where there is no other: its answers are
// late, and all refused would be worse. One that keeps the pace comes first.
func TestWriterTooSlowForThePaceIsTheLastResort(t *testing.T) {
	for _, other := range []bool{false, true} {
		m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("slow", 1, 0)}}
		if other {
			m.Engines = append(m.Engines, eng("w1", 1, 0))
		}
		r := start(t, testConfig(), m)
		rep := &LoadReport{Utilization: 0.3, Has: HasUtilization | HasWaiting | HasMemoryShare}
		for _, e := range r.list {
			if e.role == Decode {
				r.reported(e, rep)
				e.pace.c[0] = 0.02
			}
		}
		r.engines["slow"].pace.c[0] = 0.1 // 100 ms a token, 60 wanted
		_, w := read(t, r, 1, ask("a", 0))
		if want := map[bool]string{false: "slow", true: "w1"}[other]; w != want {
			t.Errorf("another writer %v: written at %s", other, w)
		}
	}
}

// An engine that hangs while others of its role answer says nothing of the role: the next one that hangs is noticed as soon as
// the first was. Where the whole role is late, that is learned.
func TestAHangingEngineDoesNotMakeItsRolePatient(t *testing.T) {
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("w0", 1, 0)}}
	for i := range 6 {
		m.Engines = append(m.Engines, eng(fmt.Sprint("r", i), 0, 0))
	}
	for _, c := range []struct {
		others bool
		most   float64 // mean error believed afterwards
	}{{true, 0.05}, {false, 9}} {
		r := start(t, testConfig(), m)
		now := 1.0
		for i := range 12 {
			id := fmt.Sprint("hangs", i)
			s := one[Send](t, r.Step(now, []Event{ask(id, 0)}))
			if c.others {
				for k := range 2 { // two others are answered at once
					other := fmt.Sprint("good", i, "-", k)
					q := ask(other, 0)
					q.Prefix = other
					x := of[Send](r.Step(now+0.01, []Event{q}))
					if len(x) == 1 && x[0].Engine != s.Engine {
						r.Step(now+0.06, []Event{Outcome{ID: other, Engine: x[0].Engine, Status: Prefilled, Spent: 0.05}})
					}
					r.Step(now+0.06, []Event{ClientDisconnected{ID: other}})
				}
			}
			r.Step(now+2, []Event{Outcome{ID: id, Engine: s.Engine, Status: Canceled, Spent: 2}, ClientDisconnected{ID: id}})
			now += 2.5
		}
		got := r.spread[Prefill].get(now, 0, 0)
		if c.others && got > c.most || !c.others && got < 0.3 {
			t.Errorf("others answer: %v; mean error %.2f s", c.others, got)
		}
	}
}

// Engines that died together refuse connections within milliseconds. Where attempts that were never written do not count, a
// request outlives more of them than it has attempts, waits while all are ejected, and is served by the one that comes back.
func TestRefusedConnectionsDoNotUseUpTheAttempts(t *testing.T) {
	for _, free := range []bool{true, false} {
		cfg := testConfig()
		cfg.Limits.MaxAttempts, cfg.Limits.UnsentAttemptsAreFree = 4, free
		r := start(t, cfg, EndpointUpdate{Form: UpdateComplete, Engines: []Engine{eng("r0", 0, 0), eng("r1", 0, 0), eng("r2", 0, 0), eng("w0", 1, 0)}})
		now, sends, served := 1.0, 0, false
		acts := r.Step(now, []Event{ask("a", 1)})
		for range 400 {
			var next []Event
			for _, a := range acts {
				switch a := a.(type) {
				case Send:
					if sends++; now < 1.4 { // all are dead for a while
						next = append(next, Outcome{ID: "a", Attempt: sends - 1, Engine: a.Engine, Status: ConnectFailed, Spent: 1e-3})
					} else {
						next = append(next, Outcome{ID: "a", Attempt: sends - 1, Engine: a.Engine, Status: Prefilled, Spent: 0.05})
					}
				}
			}
			served = served || now > 1.4 && len(next) > 0
			now += 0.005
			acts = r.Step(now, next)
		}
		if served != free {
			t.Errorf("free %v: %d attempts, read after the outage %v, want %v", free, sends, served, free)
		}
		if free && sends > 2*cfg.Limits.MaxAttempts {
			t.Errorf("%d attempts, want twice the limit at the most", sends)
		}
	}
}
