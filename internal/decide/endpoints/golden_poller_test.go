package endpoints

import (
	"math/rand/v2"
	"testing"

	"dillroute/internal/goldenfile"
)

// goldenPollers returns a poller for each kind of source; all of them take their random numbers from draw.
func goldenPollers(draw func() float64) map[string]*Poller {
	return map[string]*Poller{"plain": NewPoller(draw), "watcher": NewAgentPoller(draw), "own": AgentPollPolicy(6, draw).NewPoller(),
		"shared": SharedPollPolicy(6, 5, draw).NewPoller(), "shared slow": SharedPollPolicy(20, 30, draw).NewPoller()}
}

func TestGoldenPoller(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		for _, name := range []string{"plain", "watcher", "own", "shared", "shared slow"} {
			r := rand.New(rand.NewPCG(seed, 4))
			random := rand.New(rand.NewPCG(seed, 5))
			poller := goldenPollers(random.Float64)[name]
			x.line("sequence %d of %s", seed, name)
			now := 100.0
			x.line("at %s start next=%s", number(now), number(poller.FirstCall(now)))
			outcome := 0 // how most calls end, until it is drawn again
			for range goldenSteps {
				now += []float64{0, 0.001, 0.01, 0.1, 0.5, 1, 3, 20}[r.IntN(8)]
				if r.IntN(8) == 0 {
					outcome = r.IntN(4)
				}
				pollerStep(x, r, poller, now, outcome)
			}
		}
	}
	goldenfile.Compare(t, "asker", x.String(), "")
}

// pollerStep reports to the poller how one call ended: mostly with the usual outcome, else with a random one.
func pollerStep(x *transcript, r *rand.Rand, poller *Poller, now float64, outcome int) {
	if r.IntN(4) == 0 {
		outcome = r.IntN(4)
	}
	switch outcome {
	case 0:
		x.line("at %s good next=%s", number(now), number(poller.AfterCall(now, true)))
	case 1:
		x.line("at %s failed next=%s", number(now), number(poller.AfterCall(now, false)))
	case 2:
		delay := []float64{0, 0.1, 0.49, 0.51, 1, 3}[r.IntN(6)]
		x.line("at %s answered late=%s next=%s", number(now), number(delay), number(poller.AfterResponse(now, delay)))
	case 3:
		x.line("at %s turned away next=%s", number(now), number(poller.AfterRejection(now)))
	}
}
