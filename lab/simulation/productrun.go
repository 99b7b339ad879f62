package simulation

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// Node is a running node of the product.
type Node interface {
	// Ready reports whether the node may be sent requests.
	Ready() bool
	// Terminate shuts the node down, as SIGTERM does; it returns when the node has ended.
	Terminate()
	// Kill ends the node immediately, as SIGKILL does.
	Kill()
}

// StartNode starts a node with the text of its configuration file. The node serves on l and makes its connections with dial.
type StartNode func(config []byte, l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error)) (Node, error)

const (
	// warmUpSeconds is how long nodes run before the first request (s). It is longer than any random slow-start window (at most 2 s).
	warmUpSeconds = 4.0
	// startDelay is how long a node takes to start (s).
	startDelay = 0.3
	// killMargin is the time between SIGTERM and SIGKILL in addition to the longest patience of a class (s).
	killMargin = 0.7
	// maxKillPatience is the maximum patience that counts for the time between SIGTERM and SIGKILL (s).
	maxKillPatience = 3.0
	// sharedDiscoveryAddress is the address of the shared discovery service.
	sharedDiscoveryAddress = "registry:8500"
)

// host is the address at which a node's processes run, one after another.
type host struct {
	name string
	zone int

	mu       sync.Mutex // guards all that follows
	node     Node       // nil = no node is running
	listener *memnet.Listener
	readyAt  time.Time  // when the last start of a node was completed; zero = never
	endedAt  time.Time  // when a node last ended; zero = never
	idle     []net.Conn // connections of clients to the node
}

func nodeName(i int) string { return fmt.Sprintf("n%d:5000", i) }

// productRun is a run with nodes of the product.
type productRun struct {
	*fleet
	scenario  *Scenario
	startNode StartNode
	hosts     []*host
	done      chan struct{} // closed at the end of the run

	resultsMu sync.Mutex
	results   []Result
}

// Run runs the scenario with nodes of the product. It must be called in a synctest bubble.
func (s *Scenario) Run(start StartNode) *Report {
	network := memnet.New()
	p := &productRun{fleet: newFleet(s.Site, network), scenario: s, startNode: start, done: make(chan struct{})}
	discoveryListeners := p.startDiscovery()
	for i := range p.hosts {
		p.start(i)
	}
	time.Sleep(duration(warmUpSeconds))
	p.startedAt = time.Now()
	p.fleet.injectFaults(s, p.done, p.injectNodeFault)
	p.runClients(s.requests(), func(q *request) { p.addResult(p.runOperation(q)) })
	time.Sleep(duration(2 * s.Site.StateReleaseLimit))
	close(p.done)
	p.end(discoveryListeners)
	return p.report()
}

// startDiscovery creates the hosts and starts discovery. It returns its listeners: one for all nodes, or an agent's for each node.
func (p *productRun) startDiscovery() []*memnet.Listener {
	var listeners []*memnet.Listener
	serve := func(address string) {
		l := p.network.Listen(address)
		listeners = append(listeners, l)
		p.discovery.serveOn(l)
	}
	if p.site.SharedDiscovery {
		serve(sharedDiscoveryAddress)
	}
	for i := range p.site.Nodes {
		p.hosts = append(p.hosts, &host{name: nodeName(i), zone: i % len(p.site.Zones)})
		if !p.site.SharedDiscovery {
			serve(agentAddress(i))
		}
	}
	return listeners
}

// agentAddress returns the address of a node's local discovery agent.
func agentAddress(node int) string { return fmt.Sprintf("agent%d:8500", node) }

// runClients sends the requests of a run at their times and waits until all have ended.
func (f *fleet) runClients(requests []*request, send func(*request)) {
	var clients sync.WaitGroup
	for _, q := range requests {
		if wait := q.at - f.now(); wait > 0 {
			time.Sleep(duration(wait))
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			send(q)
		}()
	}
	clients.Wait()
}

func (p *productRun) addResult(r Result) {
	p.resultsMu.Lock()
	defer p.resultsMu.Unlock()
	p.results = append(p.results, r)
}

// end stops all nodes, discovery and the engines, and waits for their goroutines.
func (p *productRun) end(discoveryListeners []*memnet.Listener) {
	p.discovery.setSilent(false)
	for _, h := range p.hosts {
		h.mu.Lock()
		node, listener, idle := h.node, h.listener, h.idle
		h.node = nil
		h.idle = nil
		h.mu.Unlock()
		for _, conn := range idle {
			conn.Close()
		}
		if node != nil {
			node.Kill()
			closeAndReset(listener)
		}
	}
	for _, l := range discoveryListeners {
		closeAndReset(l)
	}
	for _, e := range p.engines {
		e.kill()
	}
	p.tasks.Wait()
}

// start starts a node with discovery's current endpoint list.
func (p *productRun) start(i int) {
	h := p.hosts[i]
	listener := p.network.Listen(h.name)
	address := sharedDiscoveryAddress
	if !p.site.SharedDiscovery {
		address = agentAddress(i)
	}
	entries, list := p.discovery.changesSince(fullList)
	for _, entry := range entries {
		p.discovery.recordDelivery(h.name, entry.ID, entry.State)
	}
	node, err := p.startNode(p.site.config(i, h.name, address, list), listener, p.network.Dialer(h.name))
	if err != nil {
		p.addViolation("start: %s: %v", h.name, err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node = node
	h.listener = listener
	h.readyAt = time.Now()
}

// restart shuts down or kills a node and starts it again.
func (p *productRun) restart(i int, gracefully bool) {
	h := p.hosts[i]
	h.mu.Lock()
	node, listener := h.node, h.listener
	h.node = nil
	h.endedAt = time.Now()
	h.mu.Unlock()
	if node == nil {
		return
	}
	if gracefully {
		p.shutDown(h, node, listener)
	} else {
		p.kill(h, node, listener)
	}
	closeAndReset(listener)
	select {
	case <-p.done:
		return
	case <-time.After(duration(startDelay)):
	}
	p.start(i)
}

// shutDown shuts a node down gracefully and kills it if that takes longer than killDelay.
func (p *productRun) shutDown(h *host, node Node, listener *memnet.Listener) {
	ended := make(chan struct{})
	p.run(func() {
		node.Terminate()
		close(ended)
	})
	select {
	case <-ended:
	case <-time.After(duration(p.site.killDelay())):
		p.kill(h, node, listener)
		<-ended
	}
}

func (p *productRun) kill(h *host, node Node, listener *memnet.Listener) {
	p.log.Add(record.Record{Kind: record.NodeKilled, Node: h.name})
	closeAndReset(listener)
	node.Kill()
}

// killDelay returns the time between SIGTERM and SIGKILL (s).
func (s *Site) killDelay() float64 {
	patience := 0.0
	for _, c := range s.Classes {
		patience = max(patience, c.Patience)
	}
	return killMargin + min(maxKillPatience, patience)
}

// report checks the records of the run against the rules and returns the results.
func (p *productRun) report() *Report {
	r := &Report{Scenario: p.scenario, Results: p.results, Violations: p.violations, SlowStartUse: p.slowStartPeak}
	for _, v := range rules.Check(p.log.All(), p.site.checkerConfig()) {
		r.Violations = append(r.Violations, fmt.Sprintf("%.3f s: %s", v.T-float64(p.startedAt.UnixNano())/1e9, v))
	}
	r.Records = p.log.All()
	return r
}

// checkerConfig returns the configuration of the rule checker. The rule checker does not check rule 4 here: the emulated engines do.
func (s *Site) checkerConfig() rules.Config {
	const neverOverloaded = 1e6
	config := rules.Config{
		Classes:           map[string]rules.Class{},
		Engines:           map[string]rules.Engine{},
		AnswerSlack:       0.058,
		DrainGrace:        s.DrainGrace,
		ListLag:           0.05,
		OverloadMultiple:  neverOverloaded,
		SlowStartWindow:   s.SlowStartWindow,
		StateReleaseLimit: s.StateReleaseLimit + 0.05,
		Skew:              0.3,
	}
	for i, c := range s.Classes {
		config.Classes[className(i)] = rules.Class{Effect: c.Effect, Group: c.Group, KeyTTL: c.KeyTTL}
	}
	for _, e := range s.Engines {
		config.Engines[e.ID] = rules.Engine{
			Cell:                   fmt.Sprint(e.Cell),
			Zone:                   zoneName(e.Zone),
			PrefillTokensPerSecond: 1,
			DecodeTokensPerSecond:  1,
			SlowStartShare:         1,
		}
	}
	return config
}
