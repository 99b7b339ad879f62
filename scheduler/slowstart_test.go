package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// slowStartFleet simulates many nodes and one engine in slow start. Each node sends as soon and as often as its slow-start budget allows.
// No burst of requests can cause more sends.
type slowStartFleet struct {
	cfg           Config
	schedulers    []*Scheduler
	bootTime      float64
	warmingEngine string
	allowance     float64 // N of rule 4: mean number of requests that the engine tolerates in a window just after its start
}

// slowStartLoad is the traffic of a slowStartFleet.
type slowStartLoad struct {
	nodes  int
	warm   int     // warm engines
	role   Role    // role of all engines, and also their kind in testConfig
	load   float64 // share of their capacity at which the warm engines complete work
	spread float64 // standard deviation of the logarithm of the nodes' shares of the traffic
	seed   uint64
}

func newSlowStartFleet(t testFailer, load slowStartLoad) *slowStartFleet {
	t.Helper()
	f := &slowStartFleet{cfg: testConfig(), bootTime: 100, warmingEngine: "warming"}
	f.cfg.NodeCount, f.cfg.Rules.SlowStartWindow = load.nodes, 1.5
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

// testFailer is the part of testing.T and rapid.T that this file uses.
type testFailer interface {
	Helper()
	Fatal(args ...any)
}

// shares generates the share of each node in the traffic. They add up to 1.
func (l slowStartLoad) shares() []float64 {
	random := rand.New(rand.NewPCG(l.seed, 1))
	shares, sum := make([]float64, l.nodes), 0.0
	for i := range shares {
		shares[i] = math.Exp(l.spread * random.NormFloat64())
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// mostInWindow simulates some seconds. For all nodes together, it returns the largest number of sends in any window and the number of all
// sends.
func (f *slowStartFleet) mostInWindow(seconds float64) (most, all int) {
	var sentAt []float64
	for now := f.bootTime; now < f.bootTime+seconds; now += 0.05 {
		for _, sched := range f.schedulers {
			sched.now = now
			for role := range sched.completedWork {
				sched.completedWork[role].updatedAt = now // keeps the load constant
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

// mostWithin returns the largest number of the given times, which must be sorted, that lie within any window.
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

// All nodes together send an engine in slow start at most N + 2 sqrt(N) + 2 attempts in any window (rule 4), although each node sends as
// many and as early as its budget allows. This holds for any number of nodes, for uneven traffic, and with warm engines that are full,
// idle or all gone.
func TestSlowStartBudgetHoldsForTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSlowStartFleet(t, slowStartLoad{
			nodes:  rapid.SampledFrom([]int{1, 3, 20, 30, 300}).Draw(t, "nodes"),
			warm:   rapid.IntRange(0, 12).Draw(t, "warm"),
			role:   Role(rapid.IntRange(0, 2).Draw(t, "role")),
			load:   rapid.Float64Range(0, 1).Draw(t, "load"),
			spread: rapid.Float64Range(0, 1).Draw(t, "spread"),
			seed:   rapid.Uint64().Draw(t, "seed"),
		})
		most, _ := f.mostInWindow(6)
		if limit := f.allowance + 2*math.Sqrt(f.allowance) + 2; float64(most) > limit {
			t.Fatalf("got %d sends in a window, want at most %.1f; N is %.1f", most, limit, f.allowance)
		}
	})
}

// An engine in slow start is used even if no engine is warm. Warm engines then complete no work, and a budget that was derived only from
// completed work would stay at zero.
func TestSlowStartEnginesAreUsedIfNoneIsWarm(t *testing.T) {
	for _, nodes := range []int{1, 30, 300} {
		f := newSlowStartFleet(t, slowStartLoad{nodes: nodes, role: Decode, spread: 0.5, seed: 7})
		_, all := f.mostInWindow(6)
		if want := 0.25 * f.allowance * 6 / f.cfg.Rules.SlowStartWindow; float64(all) < want {
			t.Errorf("%d nodes: got %d sends in 6 s, want at least %.0f", nodes, all, want)
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
	// SlowStartShare x OverloadMultiple is 1, the load of one warm engine. A single node must stay below that.
	if n["w1"] == 0 || n["w1"] > n["w0"] {
		t.Fatalf("got %d requests at the engine in slow start and %d at the warm one, want 1 or more and no more than the warm one",
			n["w1"], n["w0"])
	}
}

// Each of many nodes has about one request per second. The attempts that all nodes together send to a decode engine in slow start in any
// window stay within 1.3 times its budget, which is derived from the work that warm engines complete.
func TestSlowStartBudgetAddsUpOverManyNodes(t *testing.T) {
	const nodes, seconds, bootTime = 100, 14.0, 4.0
	cfg := testConfig()
	cfg.NodeCount = nodes
	endpoints := listOf(testEngine("r0", prefillKind, 0))
	for i := range 10 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("w", i), decodeKind, 0))
	}
	endpoints.Engines[1].BootTime = bootTime
	var warmingSends []float64
	all := 0
	for index := range nodes {
		cfg.NodeIndex = index
		sched, err := New(cfg, uint64(index))
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(0, []Event{endpoints})
		for second := range int(seconds) {
			now := float64(second) + float64(index)/nodes
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
		t.Fatalf("%d sends to the engine in slow start, up to %d in a window; the budget is %.1f", len(warmingSends), most, budget)
	}
}

// decodeAtOnce simulates a request whose prefill and response take hundredths of a second, and returns its decode engines.
func decodeAtOnce(sched *Scheduler, now float64, id string) []string {
	var engines []string
	for _, prefill := range actionsOf[Send](sched.Step(now, []Event{testRequest(id, 0)})) {
		prefilled := Outcome{ID: prefill.ID, Attempt: 0, Engine: prefill.Engine, Status: Prefilled, Spent: 0.05}
		for _, decode := range actionsOf[Send](sched.Step(now+0.05, []Event{prefilled})) {
			engines = append(engines, decode.Engine)
			sched.Step(now+0.08, []Event{FirstToken{ID: decode.ID, Attempt: 1, Engine: decode.Engine, Spent: 0.03}})
			completed := Outcome{ID: decode.ID, Attempt: 1, Engine: decode.Engine, Status: Completed, Spent: 0.04, RequestEnded: true}
			sched.Step(now+0.09, []Event{completed})
		}
	}
	return engines
}

func TestSlowStartBudgetCountsAdmittedRequests(t *testing.T) {
	// Prefills that end together must not lead to a burst of sends to an engine in slow start. Requests therefore use its budget as soon
	// as they are admitted to it.
	endpoints := listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("w1", 1, 0))
	endpoints.Engines[2].BootTime = 0.5
	cfg := testConfig()
	cfg.NodeCount = 1000 // an equal share of the budget is close to zero
	sched := startScheduler(t, cfg, endpoints)
	sched.completedWork[Decode].add(3, 1000, rateWindow) // about one request per second at warm engines
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
		t.Fatalf("%d requests are admitted to an engine in slow start, want at most 2", n)
	}
}

func TestNothingIsSentToSlowStartEnginesForAWindowAfterARestart(t *testing.T) {
	endpoints := EndpointUpdate{Form: UpdateStale, Engines: []Engine{testEngine("r0", 0, 0), testEngine("w0", 1, 0)}}
	endpoints.Engines[0].BootTime = 0.5
	sched, _ := New(testConfig(), 1)
	noAction[Send](t, sched.Step(1, []Event{endpoints, testRequest("a", 0)}))
	noAction[Send](t, sched.Step(2.9, []Event{testRequest("b", 0)}))
}

// The scheduler uses the share slowStartCapacityShare of the N that rule 4 allows, and the square-root term for this smaller N. While
// requests wait, an engine in slow start gets at least 0.7 times this number of attempts, with one node or with hundreds.
func TestSlowStartEnginesGetMostOfTheirBudget(t *testing.T) {
	for _, nodes := range []int{1, 3, 30, 300} {
		f := newSlowStartFleet(t, slowStartLoad{nodes: nodes, role: Prefill, spread: 0.5, seed: 7})
		_, all := f.mostInWindow(8)
		windows := 8/f.cfg.Rules.SlowStartWindow - 1 // nothing is sent in the window in which the engine was discovered
		usableAllowance := slowStartCapacityShare * f.allowance
		if want := 0.7 * (usableAllowance + 2*math.Sqrt(usableAllowance)) * windows; float64(all) < want {
			t.Errorf("%d nodes: got %d sends in 8 s, want at least %.0f", nodes, all, want)
		}
	}
}
