package soak

import (
	"slices"
	"strings"
	"time"

	"dillroute/lab/platform"
)

// silenceDiscovery silences agents, and drains an engine within a second after the end of the silence.
func silenceDiscovery(t *injection) {
	nodes := t.drawNodes(len(t.fleet.nodes))
	for _, n := range nodes {
		n.agent.Silence(true)
	}
	t.pause(500*time.Millisecond, 8*time.Second)
	for _, n := range nodes {
		n.agent.Silence(false)
	}
	t.pause(0, time.Second)
	drainEngine(t)
}

// breakWatches stalls or resets pending watches of discovery, and drains an engine shortly after.
func breakWatches(t *injection) {
	nodes := t.drawNodes(len(t.fleet.nodes))
	stall := t.rng.IntN(2) == 0
	t.note("stall=%v", stall)
	for _, n := range nodes {
		if stall {
			n.agent.StallWatches()
		} else if err := n.agent.ResetWatches(); err != nil {
			t.fleet.report("setup", "%v", err)
		}
	}
	t.pause(0, 500*time.Millisecond)
	drainEngine(t)
}

// setState changes the listed state of an engine.
func (t *injection) setState(id, state string) {
	t.fleet.registry.Update(id, func(e *platform.Endpoint) { e.State = state })
}

// drainEngine lists an engine as draining for 0.5 s to 3 s.
func drainEngine(t *injection) {
	id := t.drawReplaceableEngine()
	if id == "" {
		return
	}
	t.setState(id, "draining")
	t.pause(500*time.Millisecond, 3*time.Second)
	t.setState(id, "up")
}

// replaceEngine drains, removes and stops an engine, and adds a new one of the same role.
func replaceEngine(t *injection) {
	id := t.drawReplaceableEngine()
	if id == "" {
		return
	}
	role, _, _ := strings.Cut(id, "-")
	t.setState(id, "draining")
	t.fleet.addEngines(role)
	t.pause(200*time.Millisecond, 2*time.Second)
	t.setState(id, "removed")
	t.pause(0, time.Second)
	t.fleet.engine(id).Stop()
}

// Times of a change of role.
const (
	maxRoleLag  = 4 * time.Second // from the restart of an engine with another role until the list names the role
	maxRoleTime = 3 * time.Second // from then until the engine gets its first role back
)

// changeRole restarts an engine with another role, and lists the role some time later. Then it does the same to give back the first role.
func changeRole(t *injection) {
	id := t.drawReplaceableEngine()
	if id == "" {
		return
	}
	first := t.fleet.engine(id).Role()
	roles := slices.DeleteFunc([]string{"read", "write", "both"}, func(role string) bool { return role == first })
	t.restartAs(id, roles[t.rng.IntN(len(roles))])
	t.pause(0, maxRoleTime)
	t.restartAs(id, first)
}

// restartAs restarts an engine with another role, and lists the role some time later, as that of a new start.
func (t *injection) restartAs(id, role string) {
	if err := t.fleet.engine(id).RestartAs(role); err != nil {
		t.fleet.report("setup", "%v", err)
		return
	}
	started := time.Now().UnixMilli()
	t.note("as %s", role)
	t.pause(0, maxRoleLag)
	t.fleet.registry.Update(id, func(e *platform.Endpoint) {
		e.Kind = role
		e.Started = started
	})
}
