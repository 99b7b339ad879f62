package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// faults maps the names of faults, as scenarios use them, to the functions that inject them.
var faults = map[string]func(t *injection){
	"stop":      stopNodes,
	"kill":      killNodes,
	"reload":    reloadNodes,
	"pause":     pauseNodes,
	"discovery": silenceDiscovery,
	"watches":   breakWatches,
	"drain":     drainEngine,
	"replace":   replaceEngine,
	"role":      changeRole,
	"hang":      hangEngine,
	"stall":     stallDecodeEngines,
	"restart":   restartEngine,
	"forget":    blackholeEngineConnections,
	"swallow":   blackholeConnectionsOfHalf,
	"cutoff":    cutOffEngines,
	"pipeline":  pipelineRequests,
	"faults":    queueResponseFaults,
	"network":   degradeNetwork,
	"clients":   badClients,
	"crowd":     fillDescriptors,
	"syscalls":  failSystemCalls,
	"clock":     stepClocks,
}

// FaultNames returns the names of all faults in alphabetical order.
func FaultNames() []string {
	var names []string
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// maxFaultPause is the maximum pause between two faults of one sequence.
const maxFaultPause = 400 * time.Millisecond

// injectFaults injects faults until the scenario's duration has passed. It runs Scenario.Parallel sequences of faults (at least 1)
// concurrently.
func (f *Fleet) injectFaults() {
	end := time.Now().Add(f.scenario.Duration)
	names := f.scenario.Faults
	if len(names) == 0 {
		names = FaultNames()
	}
	var sequences sync.WaitGroup
	for sequence := range max(1, f.scenario.Parallel) {
		rng := rand.New(rand.NewPCG(f.scenario.Seed, uint64(1000+sequence)))
		sequences.Add(1)
		go func() {
			defer sequences.Done()
			for time.Now().Before(end) {
				f.inject(names[rng.IntN(len(names))], rng)
			}
		}()
	}
	sequences.Wait()
	slices.SortFunc(f.events, func(a, b FaultEvent) int { return int(a.At - b.At) })
}

// inject injects one fault and waits until it is over, records it, and pauses.
func (f *Fleet) inject(name string, rng *rand.Rand) {
	t := &injection{fleet: f, rng: rng}
	start := time.Now()
	faults[name](t)
	f.mu.Lock()
	f.events = append(f.events, FaultEvent{
		At:       start.Sub(f.startedAt),
		Duration: time.Since(start),
		Text:     name + " " + strings.Join(t.notes, " "),
	})
	f.mu.Unlock()
	t.pause(0, maxFaultPause)
}

// injection is a fault that is being injected. Its draw methods add the random values to its notes.
type injection struct {
	fleet *Fleet
	rng   *rand.Rand
	notes []string // the random parameters, for the fault's event
}

func (t *injection) note(format string, args ...any) {
	t.notes = append(t.notes, fmt.Sprintf(format, args...))
}

// pause waits for a random time between least and most.
func (t *injection) pause(least, most time.Duration) {
	time.Sleep(least + time.Duration(t.rng.Float64()*float64(most-least)))
}

// drawNode returns a random node.
func (t *injection) drawNode() *Node {
	n := t.fleet.nodes[t.rng.IntN(len(t.fleet.nodes))]
	t.note("%s", n.name)
	return n
}

// drawNodes returns random nodes: at least one, and at most the given number.
func (t *injection) drawNodes(most int) []*Node {
	nodes := slices.Clone(t.fleet.nodes)
	t.rng.Shuffle(len(nodes), func(i, k int) { nodes[i], nodes[k] = nodes[k], nodes[i] })
	nodes = nodes[:1+t.rng.IntN(min(most, len(nodes)))]
	for _, n := range nodes {
		t.note("%s", n.name)
	}
	return nodes
}

// drawEngine returns a random engine that is listed as up; "" if there is none.
func (t *injection) drawEngine() string {
	ids := t.fleet.registry.upIDs()
	if len(ids) == 0 {
		return ""
	}
	id := ids[t.rng.IntN(len(ids))]
	t.note("%s", id)
	return id
}

// drawReplaceableEngine returns a random engine that is listed as up; "" if there is none, or if no other engine of its kind is up.
func (t *injection) drawReplaceableEngine() string {
	id := t.drawEngine()
	if id == "" || !t.fleet.registry.hasPeers(id) {
		return ""
	}
	return id
}
