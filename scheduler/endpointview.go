package scheduler

import (
	"cmp"
	"slices"
)

// This file maintains the endpoint view: it applies updates of the endpoint list, and subscribes to them.

const (
	// minWatchInterval is the shortest time in seconds between two checks of the subscription.
	minWatchInterval = 0.5
	// maxWatchInterval is the longest time in seconds between two checks of the subscription.
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
	s.index = newEngineIndex(s.engineList)
	s.fleetBounds.refreshAt = s.now
	s.updateMaxReady()
	s.updateAffinityWeights()
}

// updateEngine applies one entry. After a restart of the engine its statistics are dropped, because it is in slow start and its
// cache is empty.
func (s *Scheduler) updateEngine(entry Engine) {
	target := s.engines[entry.ID]
	if target == nil {
		target = &engine{discoveredAt: s.now, ringPosition: ringPosition(entry.ID)}
		s.engines[entry.ID] = target
		s.engineList = append(s.engineList, target)
	} else if entry.State == EngineReady && entry.BootTime > target.BootTime {
		*target = engine{
			role:           target.role,
			ringPosition:   target.ringPosition,
			discoveredAt:   s.now,
			prefills:       target.prefills,
			admitted:       target.admitted,
			slowStartSends: target.slowStartSends,
			prefixHitRate:  decayingMean{samples: 1, updatedAt: s.now},
		}
	}
	target.Engine = entry
	target.setRole(s.cfg.Kinds[entry.Kind].Role)
	target.memory = s.cfg.Kinds[entry.Kind].Memory
}

// setRole sets the role of an engine. A prefill in flight there may have reached an engine that decodes.
func (e *engine) setRole(role Role) {
	if e.role == role {
		return
	}
	e.role = role
	for _, req := range e.prefills {
		req.inFlight.roleChanged = true
	}
}

// removeEngines marks the engines that are missing from a complete list as removed, and deletes removed engines that have no
// request of this node.
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

// updateMaxReady updates the largest number of engines of each role that were ever ready at the same time.
func (s *Scheduler) updateMaxReady() {
	for role, n := range s.index.ready {
		s.maxReady[role] = max(s.maxReady[role], n)
	}
}

// watchEndpoints subscribes to the endpoint list if the list must be polled, and subscribes again after a failed call.
func (s *Scheduler) watchEndpoints() {
	if !s.cfg.PollsDiscovery || s.now < s.nextWatchCheckAt {
		return
	}
	if !s.watchActive || s.nextWatchCheckAt == 0 {
		s.emit(WatchEndpoints{On: true})
	}
	s.nextWatchCheckAt = s.now + max(minWatchInterval, min(maxWatchInterval, s.cfg.Rules.PollInterval/4))
}
