//go:build soak

package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Sizes and times of a release of the engines of a large fleet.
const (
	largeFleet         = 3200 // engines
	largeFleetClients  = 60
	releaseWaves       = 5 // for each change of state
	releaseWavePause   = 600 * time.Millisecond
	releaseRecovery    = 4 * time.Second // from the last wave until the node must serve again
	releaseQuietWindow = 4 * time.Second // last part of the test, in which the outcomes are counted
)

// releaseEngines restarts half of the engines, as a release of a new version does: in waves they drain, then they are removed and stop, and
// then they are listed again with a new start time.
func (s *fixture) releaseEngines(seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	ids := s.fleet.ids()
	rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	ids = ids[:len(ids)/2]
	s.inWaves(ids, func(wave []string) {
		s.fleet.registry.UpdateAll(wave, func(e *platform.Endpoint) { e.State = "draining" })
	})
	s.inWaves(ids, func(wave []string) {
		s.fleet.registry.UpdateAll(wave, func(e *platform.Endpoint) { e.State = "removed" })
		for _, id := range wave {
			s.fleet.engine(id).Stop()
		}
	})
	s.inWaves(ids, func(wave []string) {
		for _, id := range wave {
			if err := s.fleet.engine(id).RestartAs(s.fleet.engine(id).Role()); err != nil {
				s.Error(err)
			}
		}
		started := time.Now().UnixMilli()
		s.fleet.registry.UpdateAll(wave, func(e *platform.Endpoint) { e.State, e.Started = "up", started })
	})
}

// inWaves calls change for each of releaseWaves parts of ids, with a pause after each call.
func (s *fixture) inWaves(ids []string, change func(wave []string)) {
	for wave := range releaseWaves {
		change(ids[wave*len(ids)/releaseWaves : (wave+1)*len(ids)/releaseWaves])
		time.Sleep(releaseWavePause)
	}
}

// checkRecovery checks that the node serves nearly all requests of the next releaseQuietWindow.
func (s *fixture) checkRecovery() {
	s.Helper()
	s.fleet.mu.Lock()
	s.fleet.recoveryFrom = time.Now()
	s.fleet.mu.Unlock()
	time.Sleep(releaseQuietWindow)
	s.stopClients()
	s.Logf("outcomes %v, in the quiet window %v", s.fleet.outcomes, s.fleet.recoveryOutcomes)
	if served, total := servedOf(s.fleet.recoveryOutcomes); served < minServedShare*total || s.fleet.recoveryOutcomes[record.Served] == 0 {
		s.Errorf("got %v after the release, want nearly all served", s.fleet.recoveryOutcomes)
	}
}

// Guards against a decision pass whose cost grows with the square of the number of engines. While the pass runs, the event loop neither
// answers requests at their deadlines nor releases states.
func TestRulesHoldWhileThousandsOfEnginesRestart(t *testing.T) {
	s := newFixtureWithEngines(t, envNumber("SOAK_ENGINES", largeFleet))
	s.startNode()
	s.startClients(largeFleetClients)
	time.Sleep(2 * time.Second)
	s.releaseEngines(uint64(envNumber("SOAK_SEEDS", 1)))
	time.Sleep(releaseRecovery)
	s.checkRecovery()
	s.node.checkLogs(map[string]string{})
	s.checkRules()
}
