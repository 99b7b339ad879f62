// Package soak plays many real processes of `dillroute serve --relay` on loopback under troubles that overlap in time: stops, kills,
// restarts, new configurations, a discovery that fails, engines and connections that misbehave, bad clients, system calls that fail
// and wall clocks that are stepped. What passed on the sockets is judged by the rules (lab/rules); the nodes' logs and how their
// processes ended are looked at besides. Everything is drawn from one seed. Where the processes run on a loaded machine, times vary.
package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// Day is what is to be played.
type Day struct {
	Seed     uint64
	Nodes    int
	Clients  int // for each node
	For      time.Duration
	Program  string   // the node's program, linked against the C library
	ClockLib string   // the library that steps clocks (BuildClock)
	Dir      string   // for logs and configurations
	Troubles []string // names of those that may come; empty = all
	Parallel int      // troubles at a time
}

// Find is something that should not be.
type Find struct {
	At   time.Duration // since the day began
	Kind string
	Text string
}

func (f Find) String() string { return fmt.Sprintf("%7.3f s %s: %s", f.At.Seconds(), f.Kind, f.Text) }

// Event is a trouble as it was played.
type Event struct {
	At, For time.Duration
	Text    string
}

func (e Event) String() string {
	return fmt.Sprintf("%7.3f s for %.3f s: %s", e.At.Seconds(), e.For.Seconds(), e.Text)
}

// Report is what a day came to.
type Report struct {
	Finds    []Find
	Events   []Event
	Outcomes map[record.Outcome]int
	Last     map[record.Outcome]int // of the last seconds, when all troubles were over
	Crossed  int
	Syscalls map[string]int // that were made to fail
}

// Fleet is a day under way.
type Fleet struct {
	day      Day
	began    time.Time
	log      *record.Log
	platform *platform.Platform
	reg      *Registry
	nodes    []*Node

	mu       sync.Mutex
	engines  map[string]*platform.Engine
	order    []string // engines by age
	finds    []Find
	events   []Event
	outcomes map[record.Outcome]int
	last     map[record.Outcome]int
	byNode   map[string]map[record.Outcome]int // in the last seconds
	lastFrom time.Time
	crossed  []crossing
	added    int
}

// crossing is a request on a kept connection that ended with no answer.
type crossing struct {
	node   *Node
	id, op string
	at     float64
}

// Times of a day.
const (
	warmUp   = time.Second
	recovery = 8 * time.Second // after the last trouble
	settled  = 4 * time.Second // of them, at the end, in which all should be well again
)

// Figures of the rules, as the platform's settings and pages have them. Skew is for what a loaded machine adds.
func (f *Fleet) rulesConfig() rules.Config {
	c := rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"}, "commit": {Effect: "once", Group: "all"},
		"keyed": {Effect: "by_key", Group: "cell", KeyTTL: keyedWindow}}, Engines: map[string]rules.Engine{},
		AnswerSlack: 0.058, ToldSlack: 0.15 + lateBy.Seconds(), DrainGrace: 0.3, StateReleaseLimit: 1.3, Skew: 0.25}
	for _, id := range f.order {
		c.Engines[id] = rules.Engine{Cell: fmt.Sprint(cellOf(id))}
	}
	return c
}

// cellOf is the cell of an engine, by the number in its id.
func cellOf(id string) int {
	_, number, _ := strings.Cut(id, "-")
	n, _ := strconv.Atoi(number)
	return n % cells
}

// newFleet starts the engines of a day.
func newFleet(day Day) *Fleet {
	f := &Fleet{day: day, began: time.Now(), log: &record.Log{}, engines: map[string]*platform.Engine{}, outcomes: map[record.Outcome]int{},
		last: map[record.Outcome]int{}, byNode: map[string]map[record.Outcome]int{}}
	f.platform, f.reg = platform.New("?", f.log), NewRegistry(f.log)
	for _, role := range []string{"read", "read", "read", "read", "write", "write", "write", "write", "both", "both"} {
		f.addEngine(role)
	}
	return f
}

// Play plays a day.
func Play(day Day) (*Report, error) {
	f := newFleet(day)
	defer f.end()
	rng := rand.New(rand.NewPCG(day.Seed, 1))
	if err := f.addNodes(rng); err != nil {
		return nil, err
	}
	for _, n := range f.nodes {
		if err := n.start(n.agent.List()); err != nil {
			return nil, err
		}
	}
	var starts sync.WaitGroup
	for _, n := range f.nodes {
		starts.Add(1)
		go func() { defer starts.Done(); n.awaitReady() }()
	}
	starts.Wait()
	f.began = time.Now()
	over := make(chan struct{})
	var clients sync.WaitGroup
	for i := range day.Nodes * day.Clients {
		c := &client{fleet: f, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(day.Seed, uint64(100+i))), conns: map[*Node]*kept{}}
		clients.Add(1)
		go func() { defer clients.Done(); c.run(over) }()
	}
	time.Sleep(warmUp)
	f.trouble(rng)
	time.Sleep(recovery - settled)
	f.mu.Lock()
	f.lastFrom = time.Now()
	f.mu.Unlock()
	time.Sleep(settled)
	close(over)
	clients.Wait()
	f.stopAll()
	return f.judge(), nil
}

// addNodes makes the places of the nodes, with an agent and a clock each.
func (f *Fleet) addNodes(rng *rand.Rand) error {
	for i := range f.day.Nodes {
		n := &Node{fleet: f, name: fmt.Sprintf("n%d", i), seed: rng.Uint64() >> 32, reach: map[string]*Proxy{},
			config: filepath.Join(f.day.Dir, fmt.Sprintf("n%d.json", i))}
		var err error
		if n.addr, err = freeAddress(i); err != nil {
			return err
		}
		if n.clock, err = NewClock(filepath.Join(f.day.Dir, n.name+".clock")); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		for _, id := range f.order {
			f.connect(n, id)
		}
		if n.agent, err = f.reg.Agent(n.name, n.address); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address on loopback at which nothing listens, and from which nothing connects.
func freeAddress(i int) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.0.1.%d:0", 1+i))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// address is where the node reaches an engine.
func (n *Node) address(engine string) string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if p := n.reach[engine]; p != nil {
		return p.Addr()
	}
	return ""
}

// connect makes the way from a node to an engine. The lock is held, or the day has not begun.
func (f *Fleet) connect(n *Node, id string) {
	p, err := NewProxy(f.engines[id].Address())
	if err != nil {
		panic(err) // loopback without ports: no day can be played
	}
	n.reach[id] = p
	f.platform.RegisterRoute(n.name, p.Addr())
}

// addEngine starts an engine and has it listed.
func (f *Fleet) addEngine(role string) string {
	f.mu.Lock()
	f.added++
	id := fmt.Sprintf("%s-%d", role, f.added)
	e := f.platform.StartEngine(id, role)
	f.engines[id] = e
	f.order = append(f.order, id)
	for _, n := range f.nodes {
		f.connect(n, id)
	}
	started := int64(0)
	if len(f.nodes) > 0 {
		started = time.Now().UnixMilli()
	}
	f.mu.Unlock()
	f.reg.Set(id, func(s *platform.Endpoint) {
		*s = platform.Endpoint{ID: id, Zone: "z", Kind: role, Cell: cellOf(id), State: "up", Weight: 1, Started: started}
	})
	return id
}

// proxies returns all ways to an engine.
func (f *Fleet) proxies(id string) []*Proxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ps []*Proxy
	for _, n := range f.nodes {
		ps = append(ps, n.reach[id])
	}
	return ps
}

func (f *Fleet) engine(id string) *platform.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[id]
}

// front returns a node that clients are sent to; nil = there is none.
func (f *Fleet) front(rng *rand.Rand) *Node {
	var in []*Node
	for _, n := range f.nodes {
		n.mu.Lock()
		if n.in {
			in = append(in, n)
		}
		n.mu.Unlock()
	}
	if len(in) == 0 {
		return nil
	}
	return in[rng.IntN(len(in))]
}

// find files something that should not be.
func (f *Fleet) find(kind, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.finds = append(f.finds, Find{time.Since(f.began), kind, fmt.Sprintf(format, args...)})
}

func (f *Fleet) count(n *Node, o record.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[o]++
	if f.lastFrom.IsZero() {
		return
	}
	f.last[o]++
	if f.byNode[n.name] == nil {
		f.byNode[n.name] = map[record.Outcome]int{}
	}
	f.byNode[n.name][o]++
}

func (f *Fleet) cross(n *Node, a platform.Request, at float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crossed = append(f.crossed, crossing{n, a.ID, a.Operation, at})
}

// stopAll stops all nodes.
func (f *Fleet) stopAll() {
	var stops sync.WaitGroup
	for _, n := range f.nodes {
		stops.Add(1)
		go func() { defer stops.Done(); n.stop(0, 0) }()
	}
	stops.Wait()
}

// end gives everything up.
func (f *Fleet) end() {
	for _, n := range f.nodes {
		n.mu.Lock()
		p := n.proc
		if p != nil {
			p.told = true
		}
		n.mu.Unlock()
		if p != nil {
			p.cmd.Process.Kill()
			<-p.ended
		}
		for _, way := range n.reach {
			way.Close()
		}
		n.clock.Close()
	}
	f.platform.Stop()
	f.reg.mu.Lock()
	defer f.reg.mu.Unlock()
	for _, a := range f.reg.agents {
		a.mu.Lock()
		a.server.Close()
		a.mu.Unlock()
	}
}

// Shares that are served once all troubles are over.
const (
	wellShare = 0.9 // by the fleet
	nodeShare = 0.7 // by each node
	nodeLeast = 12  // requests, below which a node's share says little
)

// judge judges the day.
func (f *Fleet) judge() *Report {
	read := map[string]string{}
	for _, n := range f.nodes {
		n.reviewLogs(read)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	at := func(t float64) time.Duration {
		return time.Duration((t - float64(f.began.UnixNano())/1e9) * float64(time.Second))
	}
	for _, c := range f.crossed {
		if by, ok := read[c.id]; ok && !f.killedAt(c.node, c.at) {
			f.finds = append(f.finds, Find{at(c.at), "rule 1", fmt.Sprintf("%s (%s) was read by %s, and its connection closed with no answer", c.op, c.id, by)})
		}
	}
	for _, v := range rules.Check(f.log.All(), f.rulesConfig()) {
		f.finds = append(f.finds, Find{at(v.T), fmt.Sprintf("rule %d", v.Rule), v.Text})
	}
	f.judgeRecovery()
	slices.SortStableFunc(f.finds, func(a, b Find) int { return int(a.At - b.At) })
	r := &Report{Finds: f.finds, Events: f.events, Outcomes: f.outcomes, Last: f.last, Crossed: len(f.crossed), Syscalls: map[string]int{}}
	for _, n := range f.nodes {
		n.proc.calls.mu.Lock()
		for what, k := range n.proc.calls.failed {
			r.Syscalls[what] += k
		}
		n.proc.calls.mu.Unlock()
	}
	return r
}

// killedAt tells whether a node was killed within seconds of a time.
func (f *Fleet) killedAt(n *Node, t float64) bool {
	for _, x := range f.log.All() {
		if x.Kind == record.NodeKill && x.Node == n.name && x.T > t-0.2 && x.T < t+6 {
			return true
		}
	}
	return false
}

// judgeRecovery looks at the last seconds, in which all should be well.
func (f *Fleet) judgeRecovery() {
	total := 0
	for _, k := range f.last {
		total += k
	}
	end := time.Since(f.began)
	if total > 0 && float64(f.last[record.Served]) < wellShare*float64(total) {
		f.finds = append(f.finds, Find{end, "recovery", fmt.Sprintf("%v in the last %v", f.last, settled)})
	}
	for name, last := range f.byNode {
		total := 0
		for _, k := range last {
			total += k
		}
		if total >= nodeLeast && float64(last[record.Served]) < nodeShare*float64(total) {
			f.finds = append(f.finds, Find{end, "recovery", fmt.Sprintf("%s: %v in the last %v", name, last, settled)})
		}
	}
}
