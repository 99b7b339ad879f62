package scheduler

import (
	"cmp"
	"slices"
)

// This file keeps the view of the endpoints: it applies updates of the endpoint list, and watches for them.

const (
	// minWatchInterval is the shortest time in seconds between two looks at the state of the watch.
	minWatchInterval = 0.5
	// maxWatchInterval is the longest such time, in seconds.
	maxWatchInterval = 2
)

// updateEndpoints applies an update of the endpoint list.
func (s *Scheduler) updateEndpoints(update EndpointUpdate) {
	s.watchActive = update.Form != UpdateFailed
	if !s.watchActive {
		return
	}
	listed := map[string]bool{}
	for _, entry := range update.Engines {
		if entry.Kind < 0 || entry.Kind >= len(s.cfg.Kinds) {
			continue
		}
		listed[entry.ID] = true
		s.updateEngine(entry)
	}
	s.removeEngines(update.Form != UpdateIncremental, listed)
	s.updateMostReady()
	s.updateAffinityWeights()
}

// updateEngine applies one entry. A new start of an engine voids what was learned of it: it comes back warming up and with
// nothing cached.
func (s *Scheduler) updateEngine(entry Engine) {
	target := s.engines[entry.ID]
	if target == nil {
		target = &engine{discoveredAt: s.now}
		s.engines[entry.ID] = target
		s.engineList = append(s.engineList, target)
	} else if entry.State == EngineReady && entry.BootTime > target.BootTime {
		*target = engine{
			discoveredAt:   s.now,
			prefills:       target.prefills,
			admitted:       target.admitted,
			slowStartSends: target.slowStartSends,
			prefixHit:      gauge{samples: 1, updatedAt: s.now},
		}
	}
	target.Engine = entry
	target.role = s.cfg.Kinds[entry.Kind].Role
	target.memory = s.cfg.Kinds[entry.Kind].Memory
}

// removeEngines marks the engines that a complete list lacks as removed, and forgets the removed ones that have no request
// of this router.
func (s *Scheduler) removeEngines(complete bool, listed map[string]bool) {
	remaining := s.engineList[:0]
	for _, target := range s.engineList {
		if complete && !listed[target.ID] {
			target.State = EngineRemoved
		}
		if target.State == EngineRemoved && len(target.prefills)+len(target.admitted) == 0 {
			delete(s.engines, target.ID)
		} else {
			remaining = append(remaining, target)
		}
	}
	s.engineList = remaining
	slices.SortFunc(s.engineList, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// roleCounts counts prefill engines, and engines that decode.
type roleCounts struct{ prefill, decode float64 }

// readyCounts counts the ready engines, by cell and in all.
type readyCounts struct {
	byCell map[int]roleCounts
	all    roleCounts
}

func countReady(engines []*engine) readyCounts {
	ready := readyCounts{byCell: map[int]roleCounts{}}
	for _, target := range engines {
		if target.State != EngineReady {
			continue
		}
		cell := ready.byCell[target.Cell]
		if target.role == Prefill {
			cell.prefill++
			ready.all.prefill++
		} else {
			cell.decode++
			ready.all.decode++
		}
		ready.byCell[target.Cell] = cell
	}
	return ready
}

// updateMostReady keeps the most engines of each role that were ready at once.
func (s *Scheduler) updateMostReady() {
	var ready [roles]int
	for _, target := range s.engineList {
		if target.State == EngineReady {
			ready[target.role]++
		}
	}
	for role, n := range ready {
		s.mostReady[role] = max(s.mostReady[role], n)
	}
}

// watchEndpoints subscribes to the endpoint list where it is polled, and again after a failed call.
func (s *Scheduler) watchEndpoints() {
	if !s.cfg.PollsDiscovery || s.now < s.watchCheckAt {
		return
	}
	if !s.watchActive || s.watchCheckAt == 0 {
		s.emit(WatchEndpoints{On: true})
	}
	s.watchCheckAt = s.now + max(minWatchInterval, min(maxWatchInterval, s.cfg.Rules.PollInterval/4))
}
