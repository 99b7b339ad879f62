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
	m := EndpointUpdate{Form: UpdateComplete, Engines: []Engine{testEngine(f.coldEngine, role, 0)}}
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
func TestColdBudgetHoldsForTheFleet(t *testing.T) {
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
func TestColdEnginesAreUsedWhereNoneIsWarm(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		f := newSlowStartFleet(n, 0, 1, 0, 0.5, 7)
		_, all := f.mostInWindow(6)
		if want := 0.25 * f.allowance * 6 / f.cfg.Rules.SlowStartWindow; float64(all) < want {
			t.Errorf("%d routers: %d sends in 6 s, wanted %.0f at least", n, all, want)
		}
	}
}
