package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Fleet is a running scenario: its nodes, engines, registry and results.
type Fleet struct {
	scenario  Scenario
	startedAt time.Time
	log       *record.Log
	platform  *platform.Platform
	registry  *Registry
	nodes     []*Node

	mu               sync.Mutex // guards the fields below, and the nodes' routes
	engines          map[string]*platform.Engine
	engineIDs        []string // in order of their start
	enginesStarted   int
	findings         []Finding
	events           []FaultEvent
	outcomes         map[record.Outcome]int
	unanswered       []unansweredRequest
	recoveryFrom     time.Time                         // start of the recovery window; zero before it
	recoveryOutcomes map[record.Outcome]int            // in the recovery window
	recoveryByNode   map[string]map[record.Outcome]int // in the recovery window, by name of the node
}

// unansweredRequest is a request on a reused connection that closed without a response.
type unansweredRequest struct {
	node      *Node
	id        string
	operation string
	sentAt    float64 // Unix seconds; of a pipelined request: when the client noticed the close
}

// initialEngineRoles are the roles of the engines with which a scenario begins.
var initialEngineRoles = []string{"read", "read", "read", "read", "write", "write", "write", "write", "both", "both"}

// engineHost is the loopback address on which engines listen (platform.Platform).
const engineHost = "127.0.3.1"

// newFleet creates the fleet of a scenario and starts its engines; addNodes adds the nodes.
func newFleet(s Scenario) *Fleet {
	log := &record.Log{}
	f := &Fleet{
		scenario:         s,
		startedAt:        time.Now(),
		log:              log,
		platform:         platform.New("?", log),
		registry:         NewRegistry(log),
		engines:          map[string]*platform.Engine{},
		outcomes:         map[record.Outcome]int{},
		recoveryOutcomes: map[record.Outcome]int{},
		recoveryByNode:   map[string]map[record.Outcome]int{},
	}
	f.platform.EngineHost = engineHost
	f.platform.LosesResponse = f.losesResponse
	f.addEngines(s.engineRoles()...)
	return f
}

// engineRoles returns the roles of the engines with which the scenario begins.
func (s Scenario) engineRoles() []string {
	if s.Engines == 0 {
		return initialEngineRoles
	}
	pair := []string{"read", "write"}
	return slices.Repeat(pair, s.Engines/len(pair))
}

// losesResponse reports whether a proxy drops the data that an engine sends on the connection from peer.
func (f *Fleet) losesResponse(engine string, peer net.Addr) bool {
	for _, p := range f.proxies(engine) {
		if p.LosesResponse(peer) {
			return true
		}
	}
	return false
}

// Run runs a scenario to its end and returns its report.
func Run(s Scenario) (*Report, error) {
	f := newFleet(s)
	defer f.close()
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	if err := f.addNodes(rng); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	f.startedAt = time.Now()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range s.Nodes * s.ClientsPerNode {
		c := f.newClient(fmt.Sprintf("c%d", i), s.Seed, uint64(100+i))
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.run(stop)
		}()
	}
	time.Sleep(warmUp)
	f.injectFaults()
	time.Sleep(recoveryTime - recoveryWindow)
	f.mu.Lock()
	f.recoveryFrom = time.Now()
	f.mu.Unlock()
	time.Sleep(recoveryWindow)
	close(stop)
	clients.Wait()
	f.stopAll()
	return f.evaluate(), nil
}

// addNodes creates the nodes, each with its address, clock, proxies and discovery agent. It doesn't start their processes.
func (f *Fleet) addNodes(rng *rand.Rand) error {
	for i := range f.scenario.Nodes {
		name := fmt.Sprintf("n%d", i)
		n := &Node{
			fleet:  f,
			name:   name,
			seed:   rng.Uint64() >> 32,
			routes: map[string]*Proxy{},
			config: filepath.Join(f.scenario.Directory, name+".json"),
		}
		var err error
		if n.address, err = freeAddress(i); err != nil {
			return err
		}
		if n.clock, err = NewClock(filepath.Join(f.scenario.Directory, name+".clock")); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		for _, id := range f.engineIDs {
			f.addRoute(n, id)
		}
		if n.agent, err = f.registry.StartAgent(n.name, n.engineAddress); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts the processes of all nodes and waits until they are ready.
func (f *Fleet) startAll() error {
	for _, n := range f.nodes {
		if err := n.start(n.agent.Snapshot()); err != nil {
			return err
		}
	}
	f.forAllNodes((*Node).awaitReady)
	return nil
}

// stopAll stops all nodes.
func (f *Fleet) stopAll() {
	f.forAllNodes(func(n *Node) { n.stop(0, 0) })
}

// forAllNodes calls do for all nodes concurrently, and waits until all calls have returned.
func (f *Fleet) forAllNodes(do func(*Node)) {
	var calls sync.WaitGroup
	for _, n := range f.nodes {
		calls.Add(1)
		go func() {
			defer calls.Done()
			do(n)
		}()
	}
	calls.Wait()
}

// freeAddress returns a loopback address on which nothing listens and from which no connection is made.
func freeAddress(i int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 1+i))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// addRoute starts the proxy from a node to an engine. The caller must hold the lock once the scenario has begun.
func (f *Fleet) addRoute(n *Node, id string) {
	proxy, err := NewProxy(f.engines[id].Address())
	if err != nil {
		panic(err) // no loopback port is available: no scenario can be run
	}
	n.routes[id] = proxy
	f.platform.RegisterRoute(n.name, proxy.Address())
}

// addEngines starts engines of the given roles, and lists them as up in one version of the list.
func (f *Fleet) addEngines(roles ...string) {
	var ids []string
	for _, role := range roles {
		ids = append(ids, f.startEngine(role))
	}
	f.listEngines(ids)
}

// listEngines lists engines that have just started as up, in one version of the list.
func (f *Fleet) listEngines(ids []string) {
	started := int64(0) // 1970, long ago: only engines that start during the scenario are in slow start
	if len(f.nodes) > 0 {
		started = time.Now().UnixMilli()
	}
	f.registry.UpdateAll(ids, func(e *platform.Endpoint) {
		role, _, _ := strings.Cut(e.ID, "-")
		*e = platform.Endpoint{ID: e.ID, Zone: "z", Kind: role, Cell: cellOf(e.ID), State: "up", Weight: 1, Started: started}
	})
}

// startEngine starts an engine without listing it, and returns its ID. It holds the lock only briefly, because engines need it to serve.
func (f *Fleet) startEngine(role string) string {
	f.mu.Lock()
	f.enginesStarted++
	id := fmt.Sprintf("%s-%d", role, f.enginesStarted)
	f.mu.Unlock()
	engine := f.platform.StartEngine(id, role)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[id] = engine
	f.engineIDs = append(f.engineIDs, id)
	for _, n := range f.nodes {
		f.addRoute(n, id)
	}
	return id
}

// proxies returns the proxies to an engine, one for each node.
func (f *Fleet) proxies(id string) []*Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var proxies []*Proxy
	for _, n := range f.nodes {
		proxies = append(proxies, n.routes[id])
	}
	return proxies
}

// proxy returns the proxy of a node to an engine.
func (f *Fleet) proxy(n *Node, id string) *Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return n.routes[id]
}

// ids returns the IDs of all engines in order of their start.
func (f *Fleet) ids() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.engineIDs)
}

func (f *Fleet) engine(id string) *platform.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id]
}

// pickNode returns a random node in service; nil if there is none.
func (f *Fleet) pickNode(rng *rand.Rand) *Node {
	var inService []*Node
	for _, n := range f.nodes {
		if n.isInService() {
			inService = append(inService, n)
		}
	}
	if len(inService) == 0 {
		return nil
	}
	return inService[rng.IntN(len(inService))]
}

// report adds a finding with the current time.
func (f *Fleet) report(kind, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addFinding(time.Since(f.startedAt), kind, fmt.Sprintf(format, args...))
}

// countOutcome counts the outcome of an attempt.
func (f *Fleet) countOutcome(n *Node, outcome record.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
	if f.recoveryFrom.IsZero() {
		return
	}
	f.recoveryOutcomes[outcome]++
	if f.recoveryByNode[n.name] == nil {
		f.recoveryByNode[n.name] = map[record.Outcome]int{}
	}
	f.recoveryByNode[n.name][outcome]++
}

// addUnanswered stores a request without a response for evaluateUnanswered.
func (f *Fleet) addUnanswered(n *Node, request platform.Request, sentAt float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unanswered = append(f.unanswered, unansweredRequest{node: n, id: request.ID, operation: request.Operation, sentAt: sentAt})
}

// close stops all processes, proxies, engines and agents.
func (f *Fleet) close() {
	for _, n := range f.nodes {
		n.close()
	}
	f.platform.Stop()
	f.registry.close()
}
