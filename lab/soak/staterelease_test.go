//go:build soak

package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// playStalls stalls one in three decode engines again and again, and checks the rules.
func runStalls(t *testing.T, kind string) {
	s := newFixture(t)
	s.startNode()
	s.startClients(24)
	time.Sleep(time.Second)
	rng := rand.New(rand.NewPCG(5, 1))
	for range 4 {
		var stalled []string
		for _, id := range s.fleet.engineIDs {
			if id[0] != 'r' && rng.IntN(3) == 0 {
				stalled = append(stalled, id)
				stallEngine(s.fleet.engine(id), kind)
			}
		}
		time.Sleep(1200*time.Millisecond + time.Duration(rng.Float64()*float64(2*time.Second)))
		s.endStall(stalled, kind)
	}
	time.Sleep(2 * time.Second)
	s.stopClients()
	s.checkRules()
}

// endStall has engines go on. Attempts that they lose are lost after the releases at the limit, and a while before they go on.
func (s *fixture) endStall(ids []string, kind string) {
	for _, id := range ids {
		switch kind {
		case stallResets:
			s.node.routes[id].Reset()
		case stallLosesAttempts:
			s.fleet.engine(id).LoseAttempts()
		}
	}
	if kind == stallLosesAttempts {
		time.Sleep(2 * time.Second)
	}
	for _, id := range ids {
		s.fleet.engine(id).SetHung(false)
	}
}

// Guards against an incident in which states stayed at prefill engines for good: a release at the limit was acknowledged beside an attempt
// that its decode engine had taken, freed nothing while the attempt waited, and was not made again when the attempt had ended.
func TestStatesAreReleasedAfterWaitingAttemptsEnd(t *testing.T) {
	for _, kind := range []string{stallResets, stallGoesOn, stallFrozen, stallLosesAttempts} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runStalls(t, kind)
		})
	}
}
