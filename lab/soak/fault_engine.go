package soak

import (
	"strings"
	"sync"
	"time"

	"dillroute/lab/platform"
)

// hangEngine makes an engine accept requests without serving them for a while.
func hangEngine(t *injection) {
	id := t.drawEngine()
	if id == "" {
		return
	}
	t.fleet.engine(id).SetHung(true)
	t.pause(300*time.Millisecond, 6*time.Second)
	t.fleet.engine(id).SetHung(false)
}

// Kinds of stalls, by what happens to the attempts that a stalled engine has received.
const (
	stallGoesOn        = "goes on"                   // the engine resumes them
	stallResets        = "resets its connections"    // their connections are reset
	stallFrozen        = "notices closes late"       // the engine resumes them, and detects closed connections only then
	stallLosesAttempts = "loses attempts in silence" // the engine loses them, and their connections stay open
)

// stallEngine starts a stall of an engine.
func stallEngine(e *platform.Engine, kind string) {
	if kind == stallFrozen {
		e.SetFrozen(true)
		return
	}
	e.SetHung(true)
}

// stallDecodeEngines stalls each decode or mixed engine with a probability of one third. It draws one kind for all stalls.
func stallDecodeEngines(t *injection) {
	kind := []string{stallGoesOn, stallResets, stallFrozen, stallLosesAttempts}[t.rng.IntN(4)]
	t.note("kind=%q", kind)
	var stalled []string
	for _, id := range t.fleet.registry.upIDs() {
		if !strings.HasPrefix(id, "read") && t.rng.IntN(3) == 0 {
			stalled = append(stalled, id)
			t.note("%s", id)
			stallEngine(t.fleet.engine(id), kind)
		}
	}
	t.pause(1200*time.Millisecond, 3*time.Second)
	if kind == stallLosesAttempts {
		for _, id := range stalled {
			t.fleet.engine(id).LoseAttempts()
		}
		t.pause(0, 3*time.Second)
	}
	for _, id := range stalled {
		if kind == stallResets {
			for _, p := range t.fleet.proxies(id) {
				p.Reset()
			}
		}
		t.fleet.engine(id).SetHung(false)
	}
}

// restartEngine resets all connections of an engine a few times in a row, as restarts at the same address would.
func restartEngine(t *injection) {
	id := t.drawEngine()
	if id == "" {
		return
	}
	for range 1 + t.rng.IntN(4) {
		for _, p := range t.fleet.proxies(id) {
			p.Reset()
		}
		t.pause(0, 300*time.Millisecond)
	}
}

// blackholeEngineConnections stops all data on the open connections to one engine, including idle ones, without closing them.
func blackholeEngineConnections(t *injection) {
	id := t.drawEngine()
	if id == "" {
		return
	}
	for _, p := range t.fleet.proxies(id) {
		p.BlackholeConnections()
	}
	t.pause(0, time.Second)
}

// blackholeConnectionsOfHalf stops all data on the open connections to about half of all engines, without closing them, and does so one
// to three times. New connections work.
func blackholeConnectionsOfHalf(t *injection) {
	for range 1 + t.rng.IntN(3) {
		for _, id := range t.fleet.ids() {
			if t.rng.IntN(2) == 0 {
				continue
			}
			for _, p := range t.fleet.proxies(id) {
				p.BlackholeConnections()
			}
		}
		t.pause(500*time.Millisecond, 3*time.Second)
	}
}

// cutOffEngines cuts the machines of engines off from some nodes: each prefill engine with a probability of 80%, or each decode engine
// with 80%, or each engine with 40%. Some engines should stay reachable, because no state could be released without one.
func cutOffEngines(t *injection) {
	roles := []string{"read", "write", ""}
	role := roles[t.rng.IntN(len(roles))]
	share := cutOffShare
	if role == "" {
		share /= 2
	}
	nodes := t.drawNodes(len(t.fleet.nodes))
	t.note("role=%q", role)
	var proxies []*Proxy
	for _, id := range t.fleet.ids() {
		if strings.HasPrefix(id, role) && t.rng.Float64() < share {
			for _, n := range nodes {
				proxies = append(proxies, t.fleet.proxy(n, id))
			}
		}
	}
	setModes(proxies, CutOff)
	t.pause(300*time.Millisecond, 5*time.Second)
	setModes(proxies, Forward)
}

// cutOffShare is the probability that cutOffEngines cuts off an engine of the drawn role.
const cutOffShare = 0.8

// setModes changes the mode of several proxies concurrently.
func setModes(proxies []*Proxy, m Mode) {
	var all sync.WaitGroup
	for _, p := range proxies {
		all.Add(1)
		go func() {
			defer all.Done()
			p.SetMode(m)
		}()
	}
	all.Wait()
}

// responseFaults are the faults from which queueResponseFaults draws.
var responseFaults = []platform.Fault{
	platform.GarbageHead,
	platform.MalformedHead,
	platform.EndlessHead,
	platform.MalformedChunkSize,
	platform.ChunkSizeMismatch,
	platform.HugeChunk,
	platform.CloseMidStream,
	platform.StallMidStream,
	platform.CloseBeforeResponse,
	platform.InterimResponses,
	platform.MalformedLoadReport,
	platform.SecondResponse,
	platform.DelayedSecondResponse,
	platform.CommentBlock,
	platform.CutComment,
	platform.SeveralComments,
	platform.CRLFLines,
	platform.CRLines,
	platform.OtherFields,
	platform.HalfEventAfterFinal,
	platform.HalfFinalEvent,
	platform.HalfEvent,
	platform.NoFinalEvent,
	platform.CloseInLastChunk,
	platform.IncompleteRejection,
	platform.IncompletePrefillResponse,
	platform.InternalError,
	platform.Rejection,
	platform.Unavailable,
	platform.StateMissing,
}

// queueResponseFaults injects a fault into each of the next responses of an engine.
func queueResponseFaults(t *injection) {
	id := t.drawEngine()
	if id == "" {
		return
	}
	var faults []platform.Fault
	for range 5 + t.rng.IntN(30) {
		faults = append(faults, responseFaults[t.rng.IntN(len(responseFaults))])
	}
	t.fleet.engine(id).QueueFaults(faults...)
	t.pause(0, time.Second)
}

// degradeNetwork degrades connections to engines for a while: those of all nodes to one engine, or those of one node to some engines.
func degradeNetwork(t *injection) {
	mode := []Mode{Blackhole, Fragment, DelayNew}[t.rng.IntN(3)]
	t.note("mode=%v", mode)
	proxies := t.drawProxies()
	for _, p := range proxies {
		p.SetMode(mode)
	}
	t.pause(300*time.Millisecond, 5*time.Second)
	for _, p := range proxies {
		p.SetMode(Forward)
	}
}

// drawProxies returns all proxies to a random engine, or some proxies of a random node.
func (t *injection) drawProxies() []*Proxy {
	if t.rng.IntN(2) == 0 {
		id := t.drawEngine()
		if id == "" {
			return nil
		}
		return t.fleet.proxies(id)
	}
	n := t.drawNode()
	t.fleet.mu.Lock()
	defer t.fleet.mu.Unlock()
	var proxies []*Proxy
	for _, id := range t.fleet.engineIDs {
		if t.rng.IntN(2) == 0 {
			proxies = append(proxies, n.routes[id])
		}
	}
	return proxies
}
