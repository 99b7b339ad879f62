package requesttable

import (
	"dillroute/scheduler"
)

// engineRecord is what the book knows of an engine.
type engineRecord struct {
	listed bool
	state  scheduler.EngineState
	since  float64 // when this state was told
	cell   int
	zone   int
	role   scheduler.Role
}

// UpdateEndpoints files a list before the module sees it, so that both know the same. since is when it was learned.
func (l *Table) UpdateEndpoints(now float64, m scheduler.EndpointUpdate) {
	if m.Form == scheduler.UpdateFailed {
		l.emit(m)
		return
	}
	named := map[string]bool{}
	for _, n := range m.Engines {
		named[n.ID] = true
		s := l.engines[n.ID]
		if s == nil {
			s = &engineRecord{since: now}
			l.engines[n.ID] = s
		}
		if s.state != n.State {
			s.state, s.since = n.State, now
		}
		s.listed, s.cell, s.zone = n.State != scheduler.EngineRemoved, n.Cell, n.Zone
		if n.Kind >= 0 && n.Kind < len(l.kinds) {
			s.role = l.kinds[n.Kind].Role
		}
	}
	if m.Form != scheduler.UpdateIncremental {
		for id, s := range l.engines {
			if !named[id] && s.state != scheduler.EngineRemoved {
				s.state, s.since, s.listed = scheduler.EngineRemoved, now, false
			}
		}
	}
	l.prune(now)
	l.emit(m)
}

// keepRemoved is how long an engine that was removed is remembered, at least (s): longer than any request is open
// before its answer begins, so that none is forgotten whose effect may yet be asked for.
const keepRemoved = 120

// prune forgets engines that were removed long ago: where they are replaced all day, there is no end of them.
func (l *Table) prune(now float64) {
	for id, s := range l.engines {
		if s.state == scheduler.EngineRemoved && now > s.since+keepRemoved {
			delete(l.engines, id)
		}
	}
}

// EngineReady tells whether an engine may be sent something new.
func (l *Table) EngineReady(id string) bool {
	s := l.engines[id]
	return s != nil && s.state == scheduler.EngineReady
}

// DrainingSince is since when an engine is known to drain or be gone (s); 0 = it is ready, or not remembered.
func (l *Table) DrainingSince(id string) float64 {
	if s := l.engines[id]; s != nil && s.state != scheduler.EngineReady {
		return s.since
	}
	return 0
}

// EngineKnown tells whether an engine is remembered.
func (l *Table) EngineKnown(id string) bool { return l.engines[id] != nil }

// Ready tells whether the node may be sent requests: it is not closing, and some engine is listed as ready.
func (l *Table) Ready() bool {
	if l.closing {
		return false
	}
	for _, s := range l.engines {
		if s.state == scheduler.EngineReady {
			return true
		}
	}
	return false
}
