package requesttable

import (
	"dillroute/scheduler"
)

// engineRecord is what the table knows about an engine.
type engineRecord struct {
	state scheduler.EngineState
	since float64 // when the endpoint list changed the engine to this state (s)
	cell  int
	zone  int
	role  scheduler.Role
	// roleSince is when the endpoint list changed the role (s); 0 = never since the engine is known.
	roleSince float64
}

// setRole sets the role, and updates roleSince only if the role differs.
func (e *engineRecord) setRole(now float64, role scheduler.Role) {
	if e.role != role {
		e.role = role
		e.roleSince = now
	}
}

// setState sets the state, and updates since only if the state differs.
func (e *engineRecord) setState(now float64, state scheduler.EngineState) {
	if e.state != state {
		e.state = state
		e.since = now
	}
}

// prefillsSince reports whether the endpoint list has named an engine as a prefill engine ever since a time.
func (t *Table) prefillsSince(id string, since float64) bool {
	engine := t.engines[id]
	return engine != nil && engine.role == scheduler.Prefill && engine.roleSince <= since
}

// UpdateEndpoints applies an update of the endpoint list before the scheduler receives it, so that both know the same engines.
func (t *Table) UpdateEndpoints(now float64, update scheduler.EndpointUpdate) {
	if update.Form == scheduler.UpdateFailed {
		t.emit(update)
		return
	}
	listed := map[string]bool{}
	for _, engine := range update.Engines {
		listed[engine.ID] = true
		t.updateEngine(now, engine)
	}
	if update.Form != scheduler.UpdateIncremental {
		for id, engine := range t.engines {
			if !listed[id] {
				engine.setState(now, scheduler.EngineRemoved)
			}
		}
	}
	t.pruneRemoved(now)
	t.emit(update)
}

// updateEngine applies one entry of the endpoint list.
func (t *Table) updateEngine(now float64, engine scheduler.Engine) {
	record := t.engines[engine.ID]
	known := engine.Kind >= 0 && engine.Kind < len(t.kinds)
	if record == nil {
		record = &engineRecord{since: now}
		t.engines[engine.ID] = record
		if known {
			record.role = t.kinds[engine.Kind].Role
		}
	}
	record.setState(now, engine.State)
	record.cell = engine.Cell
	record.zone = engine.Zone
	if known {
		record.setRole(now, t.kinds[engine.Kind].Role)
	}
}

// removedEngineRetention is the minimum time for which a removed engine stays in the table (s). No request waits longer for its
// response to begin. So while the scheduler may ask for a repeat, the engine that may have run the request is known.
const removedEngineRetention = 120

// pruneRemoved deletes engines that were removed long ago, because a fleet may replace its engines continually.
func (t *Table) pruneRemoved(now float64) {
	for id, engine := range t.engines {
		if engine.state == scheduler.EngineRemoved && now > engine.since+removedEngineRetention {
			delete(t.engines, id)
		}
	}
}

// EngineReady reports whether an engine may receive new attempts.
func (t *Table) EngineReady(id string) bool {
	engine := t.engines[id]
	return engine != nil && engine.state == scheduler.EngineReady
}

// DrainingSince returns when an engine entered its present state, if that is draining or removed (s); 0 = it is ready or unknown.
func (t *Table) DrainingSince(id string) float64 {
	if engine := t.engines[id]; engine != nil && engine.state != scheduler.EngineReady {
		return engine.since
	}
	return 0
}

// EngineKnown reports whether an engine is in the table, which includes recently removed ones.
func (t *Table) EngineKnown(id string) bool { return t.engines[id] != nil }

// Ready reports whether the node may receive requests: it accepts them, and some engine is ready.
func (t *Table) Ready() bool {
	if t.stopping {
		return false
	}
	for _, engine := range t.engines {
		if engine.state == scheduler.EngineReady {
			return true
		}
	}
	return false
}
