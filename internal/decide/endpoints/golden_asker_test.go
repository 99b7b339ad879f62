package endpoints

import (
	"math/rand/v2"
	"testing"
)

// goldenAskers are the ways in which a source is asked, each with its own chance.
func goldenAskers(draw func() float64) map[string]*Asker {
	return map[string]*Asker{"plain": NewAsker(draw), "watcher": NewWatcher(draw), "own": AgentPace(6, draw).Asker(),
		"shared": SharedPace(6, 5, draw).Asker(), "shared slow": SharedPace(20, 30, draw).Asker()}
}

func TestGoldenAsker(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		for _, name := range []string{"plain", "watcher", "own", "shared", "shared slow"} {
			r := rand.New(rand.NewPCG(seed, 4))
			chance := rand.New(rand.NewPCG(seed, 5))
			asker := goldenAskers(chance.Float64)[name]
			x.line("sequence %d of %s", seed, name)
			now := 100.0
			x.line("at %s start next=%s", number(now), number(asker.Start(now)))
			mood := 0 // what the source mostly does, for some calls
			for range goldenSteps {
				now += []float64{0, 0.001, 0.01, 0.1, 0.5, 1, 3, 20}[r.IntN(8)]
				if r.IntN(8) == 0 {
					mood = r.IntN(4)
				}
				askerStep(x, r, asker, now, mood)
			}
		}
	}
	compareGolden(t, "asker", x.String())
}

// askerStep tells the asker how one call ended.
func askerStep(x *transcript, r *rand.Rand, asker *Asker, now float64, mood int) {
	if r.IntN(4) == 0 {
		mood = r.IntN(4)
	}
	switch mood {
	case 0:
		x.line("at %s good next=%s", number(now), number(asker.After(now, true)))
	case 1:
		x.line("at %s failed next=%s", number(now), number(asker.After(now, false)))
	case 2:
		late := []float64{0, 0.1, 0.49, 0.51, 1, 3}[r.IntN(6)]
		x.line("at %s answered late=%s next=%s", number(now), number(late), number(asker.Answered(now, late)))
	case 3:
		x.line("at %s turned away next=%s", number(now), number(asker.TurnedAway(now)))
	}
}
