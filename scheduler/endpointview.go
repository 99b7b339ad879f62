package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// This file keeps the view of the endpoints: it applies updates of the endpoint list, and watches for them.

// updateEndpoints applies a list of engines. A new start of an engine voids what we knew of it.
func (s *Scheduler) updateEndpoints(ev EndpointUpdate) {
	if s.watchActive = ev.Form != UpdateFailed; !s.watchActive {
		return
	}
	seen := map[string]bool{}
	for _, n := range ev.Engines {
		if n.Kind < 0 || n.Kind >= len(s.cfg.Kinds) {
			continue
		}
		seen[n.ID] = true
		e := s.engines[n.ID]
		if e == nil {
			e = &engine{discoveredAt: s.now}
			s.engines[n.ID] = e
			s.engineList = append(s.engineList, e)
		} else if n.State == EngineReady && n.BootTime > e.BootTime { // came back empty and cold
			old, none := *e, gauge{samples: 1, updatedAt: s.now}
			*e = engine{discoveredAt: s.now, prefills: old.prefills,
				admitted: old.admitted, slowStartSends: old.slowStartSends, prefixHit: none}
		}
		e.Engine, e.role, e.memory = n, s.cfg.Kinds[n.Kind].Role, s.cfg.Kinds[n.Kind].Memory
	}
	s.pruneEngines(ev.Form != UpdateIncremental, seen)
	s.updateAffinityWeights()
}

// pruneEngines marks the engines that a complete list lacks as removed, and drops the removed ones at which nothing of
// ours is out.
func (s *Scheduler) pruneEngines(complete bool, listed map[string]bool) {
	keep := s.engineList[:0]
	for _, e := range s.engineList {
		if complete && !listed[e.ID] {
			e.State = EngineRemoved
		}
		if e.State == EngineRemoved && len(e.prefills)+len(e.admitted) == 0 {
			delete(s.engines, e.ID)
		} else {
			keep = append(keep, e)
		}
	}
	s.engineList = keep
	slices.SortFunc(s.engineList, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// updateAffinityWeights gives readers with few writers in their cell fewer shared beginnings (the root of the ratio), so
// that states seldom leave their cell. Routers with the same list agree on it.
func (s *Scheduler) updateAffinityWeights() {
	cells, all, ready := readyEngines(s.engineList)
	for role, n := range ready {
		s.mostReady[role] = max(s.mostReady[role], n)
	}
	for _, e := range s.engineList {
		if e.role == Mixed {
			e.affinityWeight = mixedAffinityWeight
			continue
		}
		ratio := cells[e.Cell].decode / max(1, cells[e.Cell].prefill) * all.prefill / max(1, all.decode)
		e.affinityWeight = max(minAffinityWeight, min(maxAffinityWeight, math.Sqrt(ratio)))
	}
}

// roleCounts counts readers, and writers of either kind.
type roleCounts struct{ prefill, decode float64 }

// readyEngines counts the engines that are ready, by cell, in all and by role.
func readyEngines(list []*engine) (cells map[int]roleCounts, all roleCounts, roles [3]int) {
	cells = map[int]roleCounts{}
	for _, e := range list {
		if e.State != EngineReady {
			continue
		}
		c := cells[e.Cell]
		if e.role == Prefill {
			c.prefill++
			all.prefill++
		} else {
			c.decode++
			all.decode++
		}
		cells[e.Cell] = c
		roles[e.role]++
	}
	return cells, all, roles
}

// housekeeping keeps the subscription to the list and forgets idle sessions.
func (s *Scheduler) housekeeping() {
	if s.cfg.PollsDiscovery && s.now >= s.watchCheckAt {
		if !s.watchActive || s.watchCheckAt == 0 {
			s.emit(WatchEndpoints{true})
		}
		s.watchCheckAt = s.now + max(0.5, min(2, s.cfg.Rules.PollInterval/4))
	}
	if s.now >= s.sweepAt {
		s.sweepAt = s.now + sessionIdleTime/4
		maps.DeleteFunc(s.prefixRates, func(_ string, x decayingRate) bool { return s.now-x.updatedAt > sessionIdleTime })
		maps.DeleteFunc(s.sessions, func(_ string, last session) bool { return s.now-last.usedAt > sessionIdleTime })
	}
}
