package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// slowStartFleet is many routers and one cold engine. Each sends as often as its coldRoom allows, which is the most that any burst
// can bring.
type slowStartFleet struct {
	cfg        Config
	schedulers []*Scheduler
	bootTime   float64
	coldEngine string
	allowance  float64 // N: mean requests that the engine bears in a window just after its start
}

// newSlowStartFleet makes n routers whose traffic is spread as uneven as spread says (the deviation of its logarithm), against
// engines of which part are warm and borne to load of what they can do.
func newSlowStartFleet(n, warm int, role int, load, spread float64, seed uint64) *slowStartFleet {
	f := &slowStartFleet{cfg: testConfig(), bootTime: 100, coldEngine: "cold"}
	f.cfg.NodeCount, f.cfg.Rules.SlowStartWindow = n, 1.5
	rng := rand.New(rand.NewPCG(seed, 1))
	m := listOf(testEngine(f.coldEngine, role, 0))
	for i := range warm {
		m.Engines = append(m.Engines, testEngine(fmt.Sprint("e", i), role, 0))
	}
	m.Engines[0].BootTime = f.bootTime
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = math.Exp(spread * rng.NormFloat64())
		sum += shares[i]
	}
	for i := range n {
		f.cfg.NodeIndex = i
		r, _ := New(f.cfg, seed+uint64(i))
		r.Step(0, nil)
		r.Step(f.bootTime, []Event{m})
		q := testRequest("q", 0)
		r.requestArrived(q)
		r.now = f.bootTime
		e := r.engines[f.coldEngine]
		capacity := 1 / r.expectedBusyTime(e)
		x := r.requests["q"]
		if warm > 0 {
			r.completedWork[e.role].add(f.bootTime, shares[i]/sum*load*capacity*float64(warm)*r.work(x, e.role)*rateWindow, rateWindow)
		}
		f.allowance = f.cfg.Rules.OverloadMultiple * f.cfg.Rules.SlowStartShare * f.cfg.Rules.SlowStartWindow * capacity
		f.schedulers = append(f.schedulers, r)
	}
	return f
}

// mostInWindow returns the most sends of all routers together in any window, and how many there were in all, over some seconds.
func (f *slowStartFleet) mostInWindow(seconds float64) (most, all int) {
	var at []float64
	for now := f.bootTime; now < f.bootTime+seconds; now += 0.05 {
		for _, r := range f.schedulers {
			r.now = now
			r.completedWork[0].updatedAt, r.completedWork[1].updatedAt, r.completedWork[2].updatedAt = now, now, now // the load stays as it is
			q, e := r.requests["q"], r.engines[f.coldEngine]
			for r.slowStartAllows(q, e) {
				e.slowStartSends = append(e.slowStartSends, slowStartSend{now, r.work(q, e.role)})
				at = append(at, now)
			}
		}
	}
	from := 0
	for i := range at {
		for at[i]-at[from] >= f.cfg.Rules.SlowStartWindow {
			from++
		}
		most = max(most, i-from+1)
	}
	return most, len(at)
}

// Whatever their number, however uneven their traffic, with warm engines that are full, idle or all gone: what all routers
// together send a cold engine in any window stays within N and what is put down to chance, though each of them sends all that
// it may at the first moment at which it may.
func TestSlowStartBudgetHoldsForTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 20, 30, 300}).Draw(t, "routers")
		f := newSlowStartFleet(n, rapid.IntRange(0, 12).Draw(t, "warm"), rapid.IntRange(0, 2).Draw(t, "role"),
			rapid.Float64Range(0, 1).Draw(t, "load"), rapid.Float64Range(0, 1).Draw(t, "spread"), rapid.Uint64().Draw(t, "seed"))
		most, _ := f.mostInWindow(6)
		if limit := f.allowance + 2*math.Sqrt(f.allowance) + 2; float64(most) > limit {
			t.Fatalf("%d sends in a window, N is %.1f, the limit %.1f", most, f.allowance, limit)
		}
	})
}

// Where everything that is warm has gone, a cold engine is used all the same: nothing is got done by warm ones, and a budget
// that followed from that alone would stay at nothing.
func TestSlowStartEnginesAreUsedWhereNoneIsWarm(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		f := newSlowStartFleet(n, 0, 1, 0, 0.5, 7)
		_, all := f.mostInWindow(6)
		if want := 0.25 * f.allowance * 6 / f.cfg.Rules.SlowStartWindow; float64(all) < want {
			t.Errorf("%d routers: %d sends in 6 s, wanted %.0f at least", n, all, want)
		}
	}
}

func TestSlowStartEngineGetsNoMoreThanItsBudget(t *testing.T) {
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	endpoints.Engines[2].BootTime = 9.9
	sched := startScheduler(t, testConfig(), endpoints)
	n := map[string]int{}
	for i := 0; i < 100; i++ {
		now := 10 + float64(i)*0.02
		id := fmt.Sprint("q", i)
		acts := sched.Step(now, []Event{testRequest(id, 0)})
		for _, s := range actionsOf[Send](acts) {
			if s.Engine == "r0" {
				acts = sched.Step(now+0.01, []Event{Outcome{ID: s.ID, Engine: "r0", Status: Prefilled, Spent: 0.01}})
				for _, s := range actionsOf[Send](acts) {
					n[s.Engine]++
					sched.Step(now+0.01, []Event{FirstToken{ID: s.ID, Attempt: 1, Engine: s.Engine, Spent: 0.01}})
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
func TestSlowStartBudgetAddsUpOverManyRouters(t *testing.T) {
	const routers, rate, until = 100, 1.0, 14.0
	cfg := testConfig()
	cfg.NodeCount = routers
	endpoints := listOf(testEngine("r0", 0, 0))
	for i := 0; i < 10; i++ {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("w", i), 1, 0))
	}
	endpoints.Engines[1].BootTime = 4
	type sent struct{ at float64 }
	var cold []sent
	all := 0
	for rank := range routers {
		cfg.NodeIndex = rank
		sched, err := New(cfg, uint64(rank))
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(0, []Event{endpoints})
		for i := 0; i < int(until*rate); i++ {
			now := (float64(i) + float64(rank)/routers) / rate
			id := fmt.Sprint("q", i)
			for _, s := range actionsOf[Send](sched.Step(now, []Event{testRequest(id, 0)})) {
				for _, s := range actionsOf[Send](sched.Step(now+0.05, []Event{Outcome{ID: s.ID, Attempt: 0, Engine: s.Engine, Status: Prefilled, Spent: 0.05}})) {
					all++
					if s.Engine == "w0" && now >= 4 {
						cold = append(cold, sent{now})
					}
					sched.Step(now+0.08, []Event{FirstToken{ID: s.ID, Attempt: 1, Engine: s.Engine, Spent: 0.03}})
					sched.Step(now+0.09, []Event{Outcome{ID: s.ID, Attempt: 1, Engine: s.Engine, Status: Completed, Spent: 0.04, Closed: true}})
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

func TestSlowStartBudgetCountsAdmittedRequests(t *testing.T) {
	// Reads that end together must not all go to a cold writer: admission takes its part of the budget.
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	endpoints.Engines[2].BootTime = 0.5
	cfg := testConfig()
	cfg.NodeCount = 1000 // of the even share nothing is left
	sched := startScheduler(t, cfg, endpoints)
	sched.completedWork[Decode].add(3, 1000, rateWindow) // about one warm request a second
	for i := 0; i < 30; i++ {
		sched.Step(3, []Event{testRequest(fmt.Sprint(i), 0)})
	}
	n := 0
	for _, req := range sched.engines["w1"].admitted {
		if req.stage == stagePrefilling {
			n++
		}
	}
	if n > 2 {
		t.Fatalf("%d requests are on their way to a cold writer", n)
	}
}

func TestRestartSendsNothingToASlowStartEngineForAWindow(t *testing.T) {
	endpoints := EndpointUpdate{Form: UpdateStale, Engines: []Engine{testEngine("r0", 0, 0), testEngine("w0", 1, 0)}}
	endpoints.Engines[0].BootTime = 0.5
	sched, _ := New(testConfig(), 1)
	noAction[Send](t, sched.Step(1, []Event{endpoints, testRequest("a", 0)}))
	noAction[Send](t, sched.Step(2.9, []Event{testRequest("b", 0)}))
}

// Whatever waits, cold engines get seven tenths of what is believed of the rule's allowance, with one router or hundreds: the
// chance that it allows beside N is not left unused by those who need no chance.
func TestSlowStartEnginesGetMostOfTheirBudget(t *testing.T) {
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
