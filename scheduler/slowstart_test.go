package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// slowStartFleet is many routers and one engine that is warming up. Each router sends as often as slowStartAllows lets it, which
// is the most that any burst can bring.
type slowStartFleet struct {
	cfg           Config
	schedulers    []*Scheduler
	bootTime      float64
	warmingEngine string
	allowance     float64 // N of the rule: mean requests that the engine bears in a window just after its start
}

// slowStartLoad is the traffic of a slowStartFleet.
type slowStartLoad struct {
	routers int
	warm    int     // warm engines
	role    Role    // of all engines; it is also their kind in testConfig
	load    float64 // share of their capacity that warm engines complete
	spread  float64 // deviation of the logarithm of the routers' shares in it
	seed    uint64
}

func newSlowStartFleet(t testFailer, load slowStartLoad) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{cfg: testConfig(), bootTime: 100, warmingEngine: "warming"}
	f.cfg.NodeCount, f.cfg.Rules.SlowStartWindow = load.routers, 1.5
	endpoints := listOf(testEngine(f.warmingEngine, int(load.role), 0))
	for i := range load.warm {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("e", i), int(load.role), 0))
	}
	endpoints.Engines[0].BootTime = f.bootTime
	for i, share := range load.shares() {
		f.cfg.NodeIndex = i
		sched, err := New(f.cfg, load.seed+uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(0, nil)
		sched.Step(f.bootTime, []Event{endpoints})
		sched.requestArrived(testRequest("q", 0))
		sched.now = f.bootTime
		warming := sched.engines[f.warmingEngine]
		capacity := 1 / sched.expectedBusyTime(warming)
		if load.warm > 0 {
			perSecond := share * load.load * capacity * float64(load.warm) * sched.work(sched.requests["q"], warming.role)
			sched.completedWork[warming.role].add(f.bootTime, perSecond*rateWindow, rateWindow)
		}
		f.allowance = f.cfg.Rules.OverloadMultiple * f.cfg.Rules.SlowStartShare * f.cfg.Rules.SlowStartWindow * capacity
		f.schedulers = append(f.schedulers, sched)
	}
	return f
}

// testFailer is what testing.T and rapid.T have in common here.
type testFailer interface {
	Helper()
	Fatal(args ...any)
}

// shares draws the share of each router in the traffic.
func (l slowStartLoad) shares() []float64 {
	random := rand.New(rand.NewPCG(l.seed, 1))
	shares, sum := make([]float64, l.routers), 0.0
	for i := range shares {
		shares[i] = math.Exp(l.spread * random.NormFloat64())
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// mostInWindow plays some seconds and returns the most sends of all routers together in any window, and all sends.
func (f *slowStartFleet) mostInWindow(seconds float64) (most, all int) {
	var sentAt []float64
	for now := f.bootTime; now < f.bootTime+seconds; now += 0.05 {
		for _, sched := range f.schedulers {
			sched.now = now
			for role := range sched.completedWork {
				sched.completedWork[role].updatedAt = now // the load stays as it is
			}
			req, warming := sched.requests["q"], sched.engines[f.warmingEngine]
			for sched.slowStartAllows(req, warming) {
				warming.slowStartSends = append(warming.slowStartSends, slowStartSend{sentAt: now, work: sched.work(req, warming.role)})
				sentAt = append(sentAt, now)
			}
		}
	}
	return mostWithin(sentAt, f.cfg.Rules.SlowStartWindow), len(sentAt)
}

// mostWithin returns the most of some times, in order, that lie within a window.
func mostWithin(times []float64, window float64) int {
	most, from := 0, 0
	for i := range times {
		for times[i]-times[from] >= window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// Whatever the number of routers, however uneven their traffic, with warm engines that are full, idle or all gone: what all
// routers together send an engine in slow start in any window stays within N and what the rule leaves to chance, though each
// sends all that it may at the first moment at which it may.
func TestSlowStartBudgetHoldsForTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSlowStartFleet(t, slowStartLoad{
			routers: rapid.SampledFrom([]int{1, 3, 20, 30, 300}).Draw(t, "routers"),
			warm:    rapid.IntRange(0, 12).Draw(t, "warm"),
			role:    Role(rapid.IntRange(0, 2).Draw(t, "role")),
			load:    rapid.Float64Range(0, 1).Draw(t, "load"),
			spread:  rapid.Float64Range(0, 1).Draw(t, "spread"),
			seed:    rapid.Uint64().Draw(t, "seed"),
		})
		most, _ := f.mostInWindow(6)
		if limit := f.allowance + 2*math.Sqrt(f.allowance) + 2; float64(most) > limit {
			t.Fatalf("%d sends in a window, want %.1f at most; N is %.1f", most, limit, f.allowance)
		}
	})
}

// Where no engine is warm, one in slow start is used all the same: warm engines complete nothing, and a budget that followed
// from that alone would stay at nothing.
func TestSlowStartEnginesAreUsedWhereNoneIsWarm(t *testing.T) {
	for _, routers := range []int{1, 30, 300} {
		f := newSlowStartFleet(t, slowStartLoad{routers: routers, role: Decode, spread: 0.5, seed: 7})
		_, all := f.mostInWindow(6)
		if want := 0.25 * f.allowance * 6 / f.cfg.Rules.SlowStartWindow; float64(all) < want {
			t.Errorf("%d routers: got %d sends in 6 s, want %.0f at least", routers, all, want)
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
	// SlowStartShare x OverloadMultiple is one warm engine's load; one router is held to less than that.
	if n["w1"] == 0 || n["w1"] > n["w0"] {
		t.Fatalf("the engine in slow start got %d, the warm one %d", n["w1"], n["w0"])
	}
}

// Many routers, each with about one request a second, and a decode engine in slow start: what they send it together in any window
// stays under its budget, which follows from what warm engines complete.
func TestSlowStartBudgetAddsUpOverManyRouters(t *testing.T) {
	const routers, seconds, bootTime = 100, 14.0, 4.0
	cfg := testConfig()
	cfg.NodeCount = routers
	endpoints := listOf(testEngine("r0", prefillKind, 0))
	for i := range 10 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("w", i), decodeKind, 0))
	}
	endpoints.Engines[1].BootTime = bootTime
	var warmingSends []float64
	all := 0
	for index := range routers {
		cfg.NodeIndex = index
		sched, err := New(cfg, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(0, []Event{endpoints})
		for second := range int(seconds) {
			now := float64(second) + float64(index)/routers
			for _, engine := range decodeAtOnce(sched, now, fmt.Sprint("q", second)) {
				all++
				if engine == "w0" && now >= bootTime {
					warmingSends = append(warmingSends, now)
				}
			}
		}
	}
	slices.Sort(warmingSends)
	most := mostWithin(warmingSends, cfg.Rules.SlowStartWindow)
	perWarmEngine := float64(all) / seconds / 10
	budget := cfg.Rules.OverloadMultiple * cfg.Rules.SlowStartShare * cfg.Rules.SlowStartWindow * perWarmEngine
	if len(warmingSends) == 0 || float64(most) > 1.3*budget {
		t.Fatalf("%d sends to the engine in slow start, at most %d in a window; budget %.1f", len(warmingSends), most, budget)
	}
}

// decodeAtOnce plays a request whose prefill and answer take hundredths of a second, and returns its decode engines.
func decodeAtOnce(sched *Scheduler, now float64, id string) []string {
	var engines []string
	for _, prefill := range actionsOf[Send](sched.Step(now, []Event{testRequest(id, 0)})) {
		prefilled := Outcome{ID: prefill.ID, Attempt: 0, Engine: prefill.Engine, Status: Prefilled, Spent: 0.05}
		for _, decode := range actionsOf[Send](sched.Step(now+0.05, []Event{prefilled})) {
			engines = append(engines, decode.Engine)
			sched.Step(now+0.08, []Event{FirstToken{ID: decode.ID, Attempt: 1, Engine: decode.Engine, Spent: 0.03}})
			completed := Outcome{ID: decode.ID, Attempt: 1, Engine: decode.Engine, Status: Completed, Spent: 0.04, Closed: true}
			sched.Step(now+0.09, []Event{completed})
		}
	}
	return engines
}

func TestSlowStartBudgetCountsAdmittedRequests(t *testing.T) {
	// Prefills that end together must not all go to an engine in slow start: admission takes its part of the budget.
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	endpoints.Engines[2].BootTime = 0.5
	cfg := testConfig()
	cfg.NodeCount = 1000 // nothing is left of an even part
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
		t.Fatalf("%d requests are admitted to an engine in slow start, want 2 at most", n)
	}
}

func TestRestartSendsNothingToASlowStartEngineForAWindow(t *testing.T) {
	endpoints := EndpointUpdate{Form: UpdateStale, Engines: []Engine{testEngine("r0", 0, 0), testEngine("w0", 1, 0)}}
	endpoints.Engines[0].BootTime = 0.5
	sched, _ := New(testConfig(), 1)
	noAction[Send](t, sched.Step(1, []Event{endpoints, testRequest("a", 0)}))
	noAction[Send](t, sched.Step(2.9, []Event{testRequest("b", 0)}))
}

// Whatever waits, engines in slow start get seven tenths of what is believed of the rule's allowance, with one router or
// hundreds: what the rule leaves to chance beside N is used too.
func TestSlowStartEnginesGetMostOfTheirBudget(t *testing.T) {
	for _, routers := range []int{1, 3, 30, 300} {
		f := newSlowStartFleet(t, slowStartLoad{routers: routers, role: Prefill, spread: 0.5, seed: 7})
		_, all := f.mostInWindow(8)
		windows := 8/f.cfg.Rules.SlowStartWindow - 1 // nothing is sent in that in which the engine was discovered
		modeled := slowStartCapacityShare * f.allowance
		if want := 0.7 * (modeled + 2*math.Sqrt(modeled)) * windows; float64(all) < want {
			t.Errorf("%d routers: got %d sends in 8 s, want %.0f at least", routers, all, want)
		}
	}
}
