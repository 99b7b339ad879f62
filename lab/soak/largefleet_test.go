//go:build soak

package soak

import (
	"math/rand/v2"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Sizes and times of the faults of a large fleet.
const (
	largeFleet         = 3200 // engines
	largeFleetClients  = 60
	faultWaves         = 5 // for each change of state
	faultWavePause     = 600 * time.Millisecond
	faultRecovery      = 4 * time.Second // from the last wave until the node must serve again
	quietWindow        = 4 * time.Second // last part of the test, in which the outcomes are counted
	replacedShare      = 0.6             // of the engines, by new ones
	zoneShare          = 0.25            // of the engines, that are lost together
	zoneOutage         = 3 * time.Second
	hungShare          = 0.1 // of the engines, that hang
	largeFleetWarmTime = 2 * time.Second
)

// drawEngines returns a random share of the engines.
func (s *fixture) drawEngines(seed uint64, share float64) []string {
	rng := rand.New(rand.NewPCG(seed, 1))
	ids := s.fleet.ids()
	rng.Shuffle(len(ids), func(i, k int) { ids[i], ids[k] = ids[k], ids[i] })
	return ids[:int(share*float64(len(ids)))]
}

// inWaves calls change for each of faultWaves parts of ids, with a pause after each call.
func (s *fixture) inWaves(ids []string, change func(wave []string)) {
	for wave := range faultWaves {
		change(ids[wave*len(ids)/faultWaves : (wave+1)*len(ids)/faultWaves])
		time.Sleep(faultWavePause)
	}
}

func (s *fixture) listAs(ids []string, state string) {
	s.fleet.registry.UpdateAll(ids, func(e *platform.Endpoint) { e.State = state })
}

func (s *fixture) removeEngines(ids []string) {
	s.listAs(ids, "removed")
	for _, id := range ids {
		s.fleet.engine(id).Stop()
	}
}

// restartEngines starts engines again that were stopped, and lists them with a new start time.
func (s *fixture) restartEngines(ids []string) {
	for _, id := range ids {
		engine := s.fleet.engine(id)
		if err := engine.RestartAs(engine.Role()); err != nil {
			s.Error(err)
		}
	}
	started := time.Now().UnixMilli()
	s.fleet.registry.UpdateAll(ids, func(e *platform.Endpoint) {
		e.State = "up"
		e.Started = started
	})
}

// releaseEngines restarts half of the engines, as a release of a new version does: in waves they drain, then they are removed and stop, and
// then they start again.
func releaseEngines(s *fixture, seed uint64) {
	ids := s.drawEngines(seed, 0.5)
	s.inWaves(ids, func(wave []string) { s.listAs(wave, "draining") })
	s.inWaves(ids, s.removeEngines)
	s.inWaves(ids, s.restartEngines)
}

// replaceEngines replaces engines by new ones with other IDs: in waves the new ones are listed and the old ones drain, and the old ones are
// removed before the next wave.
func replaceEngines(s *fixture, seed uint64) {
	old := s.drawEngines(seed, replacedShare)
	successors := map[string]string{}
	for _, id := range old {
		successors[id] = s.fleet.startEngine(s.fleet.engine(id).Role())
	}
	s.inWaves(old, func(wave []string) {
		var started []string
		for _, id := range wave {
			started = append(started, successors[id])
		}
		s.fleet.listEngines(started)
		s.listAs(wave, "draining")
		time.Sleep(faultWavePause)
		s.removeEngines(wave)
	})
}

// loseZone stops engines without notice, removes them from the list and restarts them after zoneOutage.
func loseZone(s *fixture, seed uint64) {
	ids := s.drawEngines(seed, zoneShare)
	for _, id := range ids {
		s.fleet.engine(id).Stop()
	}
	time.Sleep(time.Second)
	s.listAs(ids, "removed")
	time.Sleep(zoneOutage)
	s.restartEngines(ids)
}

// hangEngines makes engines hang while discovery resets its watches, so that the node gets whole lists.
func hangEngines(s *fixture, seed uint64) {
	ids := s.drawEngines(seed, hungShare)
	for _, id := range ids {
		s.fleet.engine(id).SetHung(true)
	}
	for range faultWaves {
		if err := s.node.agent.ResetWatches(); err != nil {
			s.Error(err)
		}
		time.Sleep(faultWavePause)
	}
	for _, id := range ids {
		s.fleet.engine(id).SetHung(false)
	}
}

// checkRecovery checks that the node serves nearly all requests of the next quietWindow.
func (s *fixture) checkRecovery() {
	s.Helper()
	s.fleet.mu.Lock()
	s.fleet.recoveryFrom = time.Now()
	s.fleet.mu.Unlock()
	time.Sleep(quietWindow)
	s.stopClients()
	s.Logf("outcomes %v, in the quiet window %v", s.fleet.outcomes, s.fleet.recoveryOutcomes)
	if served, total := servedOf(s.fleet.recoveryOutcomes); served < minServedShare*total || s.fleet.recoveryOutcomes[record.Served] == 0 {
		s.Errorf("got %v after the fault, want nearly all served", s.fleet.recoveryOutcomes)
	}
}

// Guards against an event loop that stands still because of the size of the fleet: it then neither answers requests at their deadlines nor
// releases states. SOAK_ENGINES and SOAK_SEEDS set another number of engines and another seed.
func TestRulesHoldInLargeFleetWhile(t *testing.T) {
	for _, fault := range []struct {
		name   string
		inject func(s *fixture, seed uint64)
	}{
		{"half of the engines restart", releaseEngines},
		{"most engines are replaced", replaceEngines},
		{"a zone is lost and returns cold", loseZone},
		{"some engines hang and lists come whole", hangEngines},
	} {
		t.Run(fault.name, func(t *testing.T) {
			s := newFixtureWithEngines(t, envNumber("SOAK_ENGINES", largeFleet))
			s.startNode()
			s.startClients(largeFleetClients)
			time.Sleep(largeFleetWarmTime)
			fault.inject(s, uint64(envNumber("SOAK_SEEDS", 1)))
			time.Sleep(faultRecovery)
			s.checkRecovery()
			s.node.checkLogs(map[string]string{})
			s.checkRules()
		})
	}
}
