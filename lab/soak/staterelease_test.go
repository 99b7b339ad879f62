//go:build soak

package soak

import (
	"math/rand/v2"
	"testing"
	"time"
)

// runStalls repeatedly stalls about one in three decode and mixed engines, and then checks the rules.
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

// endStall ends a stall of engines. With stallLosesAttempts, the engines lose their attempts 2 s before they resume. At that time, the
// states have already been released at their limit.
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

// Guards against states that stay at prefill engines forever. When a state reached its limit, the node sent a release call, and the
// engine acknowledged it. But an attempt that a decode engine had received still waited for the state, so the call released nothing. The
// node did not repeat the call after the attempt had ended.
func TestStatesAreReleasedAfterWaitingAttemptsEnd(t *testing.T) {
	for _, kind := range []string{stallResets, stallGoesOn, stallFrozen, stallLosesAttempts} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			runStalls(t, kind)
		})
	}
}
