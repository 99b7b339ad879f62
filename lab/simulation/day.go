package simulation

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// Node is a running node of the product.
type Node interface {
	Ready() bool
	Terminate() // as SIGTERM does; it returns when the node has ended
	Kill()      // as SIGKILL does
}

// StartNode starts a node from the text of its configuration, on a listener and with connections made by dial.
type StartNode func(config []byte, l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error)) (Node, error)

// Day is a deployment, and what goes wrong on it.
type Day struct {
	Site   Site
	Length float64 // s
	Faults []Fault
}

// Fault is one thing that goes wrong, for some time.
type Fault struct {
	Kind    FaultKind
	At, For float64 // s
	Part    float64 // of the engines, nodes or requests that it strikes
	Role    string  // engines of this role alone; "" = of any
	Zone    int     // engines of this zone alone, if Zoned
	Zoned   bool
}

// FaultKind names a fault.
type FaultKind string

// Faults beside the troubles of engines, which go by their own names.
const (
	Crash         FaultKind = "crash"          // engines die together and come back cold
	Release       FaultKind = "release"        // engines are drained, and started anew one after another
	Restarts      FaultKind = "restarts"       // nodes are told to end, in steps, and come back
	Kills         FaultKind = "kills"          // nodes are killed together and come back
	ListSilent    FaultKind = "list silent"    // discovery says nothing
	ListSlow      FaultKind = "list slow"      // a shared discovery answers a part of what it can
	ListLate      FaultKind = "list late"      // changes are noticed late
	ListFlaps     FaultKind = "list flaps"     // engines are listed as draining, and as up again, over and over
	Burst         FaultKind = "burst"          // more traffic
	HeavyPrompts  FaultKind = "heavy prompts"  // a part of the prompts is many times as long
	RetryStorm    FaultKind = "retry storm"    // clients come again at once, and often
	ClientsLeave  FaultKind = "clients leave"  // a part of the clients leaves before its answer
	IdleClients   FaultKind = "idle clients"   // clients open connections and say nothing
	SlowClients   FaultKind = "slow clients"   // a part of the clients sends its requests in pieces
	TenantOverrun FaultKind = "tenant overrun" // one tenant asks for several times its share
)

// String says what goes wrong, and when.
func (f Fault) String() string {
	where := ""
	if f.Role != "" {
		where = " of role " + f.Role
	}
	if f.Zoned {
		where += " in " + zoneName(f.Zone)
	}
	return fmt.Sprintf("%s (%.2f%s) from %.1f s for %.1f s", f.Kind, f.Part, where, f.At, f.For)
}

// lastEnd is when the last fault has ended (s).
func (d *Day) lastEnd() (end float64) {
	for _, f := range d.Faults {
		end = max(end, f.At+f.For)
	}
	return end
}

// DrawDay draws a deployment and up to two faults.
func DrawDay(seed uint64, nodes int, mostRate float64) Day {
	d := Day{Site: Draw(seed, nodes, mostRate), Length: 45}
	rng := rand.New(rand.NewPCG(seed, 0xda1))
	kinds := []FaultKind{FaultKind(Hangs), FaultKind(Silent), FaultKind(Refuses), FaultKind(Errors), FaultKind(Crawls), FaultKind(Loses),
		FaultKind(Forgets), Crash, Crash, Release, Restarts, Kills, ListSilent, ListSlow, ListLate, ListFlaps, Burst, HeavyPrompts, RetryStorm,
		ClientsLeave, IdleClients, SlowClients, TenantOverrun}
	for range 1 + rng.IntN(2) {
		f := Fault{Kind: kinds[rng.IntN(len(kinds))], At: between(rng, 8, 14), For: between(rng, 4, 12), Part: pick(rng, 0.1, 0.2, 0.4)}
		switch f.Kind {
		case Crash:
			switch rng.IntN(3) {
			case 0:
				f.Role, f.Part = d.Site.Kinds[rng.IntN(len(d.Site.Kinds))].Role, 1
			case 1:
				f.Zone, f.Zoned, f.Part = rng.IntN(len(d.Site.Zones)), true, 1
			}
		case Restarts, Release:
			f.Part = 1
		case Kills:
			f.Part = between(rng, 0.3, 0.8)
		case Burst:
			f.Part = between(rng, 0.4, 0.9)
		}
		d.Faults = append(d.Faults, f)
	}
	return d
}

// has returns the fault of a kind that is in force at a time.
func (d *Day) has(kind FaultKind, at float64) (Fault, bool) {
	for _, f := range d.Faults {
		if f.Kind == kind && at >= f.At && at < f.At+f.For {
			return f, true
		}
	}
	return Fault{}, false
}

// requests draws what the clients of the day want.
func (d *Day) requests() []*request {
	s := &d.Site
	rng := rand.New(rand.NewPCG(s.Seed, 0xc11e))
	var out []*request
	for at := 0.0; ; {
		rate := s.Rate
		if f, ok := d.has(Burst, at); ok {
			rate *= 1 + f.Part
		}
		tenants := make([]float64, len(s.Tenants))
		for i, t := range s.Tenants {
			tenants[i] = t.Share
		}
		if _, ok := d.has(TenantOverrun, at); ok {
			rate += 2 * tenants[0] * s.Rate
			tenants[0] *= 3
		}
		if at += rng.ExpFloat64() / rate; at >= d.Length {
			return out
		}
		shares := make([]float64, len(s.Classes))
		for i, c := range s.Classes {
			shares[i] = c.Share
		}
		q := &request{op: fmt.Sprintf("op%d", len(out)), at: at, class: draw(rng, shares), tenant: draw(rng, tenants), zone: draw(rng, s.Zones)}
		c := s.Classes[q.class]
		q.prompt = c.Prompt * math.Exp(c.Spread*rng.NormFloat64())
		if f, ok := d.has(HeavyPrompts, at); ok && rng.Float64() < f.Part {
			q.prompt *= 6
		}
		q.prompt = min(q.prompt, 60000)
		q.out = max(4, int(min(4, math.Exp(c.Spread*rng.NormFloat64()))*c.Out))
		q.maxOut = max(q.out, int(3*c.Out))
		q.session = fmt.Sprintf("s%x", rng.Uint64())
		if c.Prefix > 0 {
			q.prefixLen = min(c.Prefix, 0.9*q.prompt)
			q.prefix = fmt.Sprintf("%x-%x", q.class, rng.IntN(c.Prefixes))
		}
		for i := range q.draw {
			q.draw[i] = rng.Float64()
		}
		part := 0.01
		if f, ok := d.has(ClientsLeave, at); ok {
			part = f.Part
		}
		if q.draw[2] < part {
			q.leaves = c.Aim * (0.05 + 1.2*rng.Float64())
		}
		out = append(out, q)
	}
}

// draw returns an index by weights.
func draw(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// host is where a node runs: its process comes and goes.
type host struct {
	name string
	zone int

	mu    sync.Mutex
	node  Node
	l     *memnet.Listener
	since time.Time // when it was last ready
	ended time.Time // when it last ended; zero = it has not
	idle  []net.Conn
}

func nodeName(i int) string { return fmt.Sprintf("n%d:5000", i) }

// play is a day under way.
type play struct {
	*fleet
	day   *Day
	start StartNode
	hosts []*host
	over  chan struct{} // closed at the end of the day

	resMu   sync.Mutex
	results []Result
}

// frontNotices is how long the front goes on sending to a node that has ended (s).
const frontNotices = 2.0

// Play plays the day on the product, inside a synctest bubble.
func (d *Day) Play(start StartNode) *Report {
	network := memnet.New()
	p := &play{fleet: newFleet(d.Site, network), day: d, start: start, over: make(chan struct{})}
	var listeners []*memnet.Listener
	if d.Site.Asked {
		l := network.Listen("registry:8500")
		listeners = append(listeners, l)
		p.list.serveOn(l)
	}
	for i := range d.Site.Nodes {
		p.hosts = append(p.hosts, &host{name: nodeName(i), zone: i % len(d.Site.Zones)})
		if !d.Site.Asked {
			l := network.Listen(fmt.Sprintf("agent%d:8500", i))
			listeners = append(listeners, l)
			p.list.serveOn(l)
		}
	}
	for i := range p.hosts {
		p.boot(i)
	}
	time.Sleep(duration(warmUp))
	p.began = time.Now()
	p.fleet.began = p.began
	p.strike()
	var clients sync.WaitGroup
	for _, q := range d.requests() {
		if wait := q.at - p.now(); wait > 0 {
			time.Sleep(duration(wait))
		}
		clients.Add(1)
		go func() { defer clients.Done(); p.finish(p.ask(q)) }()
	}
	clients.Wait()
	time.Sleep(duration(2 * d.Site.LetGoBy))
	close(p.over)
	p.end(listeners)
	return p.report()
}

// warmUp is for how long nodes run before the first request (s): a little longer than any window of slow start.
const warmUp = 4.0

func (p *play) end(listeners []*memnet.Listener) {
	p.list.silence(false)
	for _, h := range p.hosts {
		h.mu.Lock()
		n, l, idle := h.node, h.l, h.idle
		h.node, h.idle = nil, nil
		h.mu.Unlock()
		for _, c := range idle {
			c.Close()
		}
		if n != nil {
			n.Kill()
			l.Close()
			l.ResetAll()
		}
	}
	for _, l := range listeners {
		l.Close()
		l.ResetAll()
	}
	for _, e := range p.engines {
		e.kill()
	}
	p.wg.Wait()
}

// boot starts a node with the list as discovery has it now.
func (p *play) boot(i int) {
	h := p.hosts[i]
	l := p.network.Listen(h.name)
	at := "registry:8500"
	if !p.site.Asked {
		at = fmt.Sprintf("agent%d:8500", i)
	}
	p.list.mu.Lock()
	entries, known := p.list.answer(-1)
	p.list.mu.Unlock()
	for _, x := range entries {
		p.list.told(h.name, x.ID, x.State)
	}
	n, err := p.start(p.site.config(i, h.name, at, known), l, p.network.Dialer(h.name))
	if err != nil {
		p.breach("start: %s: %v", h.name, err)
		return
	}
	h.mu.Lock()
	h.node, h.l, h.since = n, l, time.Now()
	h.mu.Unlock()
}

// startsWithin is how long a node takes to start (s).
const startsWithin = 0.3

// bounce ends a node and starts it anew.
func (p *play) bounce(i int, gracefully bool) {
	h := p.hosts[i]
	h.mu.Lock()
	n, l := h.node, h.l
	h.node, h.ended = nil, time.Now()
	h.mu.Unlock()
	if n == nil {
		return
	}
	if gracefully {
		ended := make(chan struct{})
		p.run(func() { n.Terminate(); close(ended) })
		select {
		case <-ended:
		case <-time.After(duration(killAfter + min(killCounts, p.patience()))):
			p.log.Add(record.Record{Kind: record.NodeKilled, Node: h.name})
			l.Close()
			l.ResetAll()
			n.Kill()
			<-ended
		}
	} else {
		p.log.Add(record.Record{Kind: record.NodeKilled, Node: h.name})
		l.Close()
		l.ResetAll()
		n.Kill()
	}
	l.Close()
	l.ResetAll()
	select {
	case <-p.over:
		return
	case <-time.After(duration(startsWithin)):
	}
	p.boot(i)
}

// SIGKILL comes no sooner after SIGTERM than this and the longest patience, which counts up to killCounts (s).
const (
	killAfter  = 0.7
	killCounts = 3.0
)

// patience is the longest that a client waits.
func (f *fleet) patience() (longest float64) {
	for _, c := range f.site.Classes {
		longest = max(longest, c.Patience)
	}
	return longest
}

// strike has the faults of the day come and go.
func (p *play) strike() {
	p.fleet.strike(p.day, p.over, func(f Fault) {
		rng := rand.New(rand.NewPCG(p.site.Seed, 0xb007))
		order := rng.Perm(len(p.hosts))
		order = order[:int(math.Ceil(f.Part*float64(len(order))))]
		switch f.Kind {
		case Restarts:
			for k, i := range order {
				p.run(func() {
					if sleep(f.For*float64(k)/float64(len(order)), p.over) {
						p.bounce(i, true)
					}
				})
			}
		case Kills:
			for _, i := range order {
				p.run(func() { p.bounce(i, false) })
			}
		case IdleClients:
			p.run(func() { p.crowd(f) })
		}
	})
}

// crowd keeps connections open that say nothing, as many as fill a node's table.
func (p *play) crowd(f Fault) {
	for end := p.now() + f.For; p.now() < end; time.Sleep(500 * time.Millisecond) {
		for _, h := range p.hosts {
			for range p.site.Sockets / 8 {
				if c, err := p.network.Dialer("crowd")(context.Background(), "mem", h.name); err == nil {
					time.AfterFunc(duration(3), func() { c.Close() })
				}
			}
		}
	}
}

// strike has the faults that concern engines and discovery come and go; others are for nodes to bear.
func (f *fleet) strike(d *Day, over <-chan struct{}, others func(Fault)) {
	for k, x := range d.Faults {
		f.run(func() {
			if !sleep(x.At, over) {
				return
			}
			f.begin(x, k, over, others)
		})
	}
}

// sleep waits; false = the day has ended.
func sleep(seconds float64, over <-chan struct{}) bool {
	t := time.NewTimer(duration(seconds))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-over:
		return false
	}
}

// struck are the engines that a fault strikes.
func (f *fleet) struck(x Fault, k int) []*engine {
	var all []*engine
	for _, e := range f.engines {
		if (x.Role == "" || e.kind.Role == x.Role) && (!x.Zoned || e.Zone == x.Zone) {
			all = append(all, e)
		}
	}
	rng := rand.New(rand.NewPCG(f.site.Seed, uint64(k)))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:int(math.Ceil(x.Part*float64(len(all))))]
}

// begin has a fault strike, and end.
func (f *fleet) begin(x Fault, k int, over <-chan struct{}, others func(Fault)) {
	engines := f.struck(x, k)
	switch x.Kind {
	case Crash:
		for _, e := range engines {
			e.kill()
			f.list.change(e, stateRemoved, f.site.NoticeS)
		}
		sleep(x.For, over)
		for _, e := range engines {
			f.revive(e, over)
		}
	case Release:
		for _, e := range engines {
			f.run(func() { f.replace(e, over) })
			if !sleep(x.For/float64(len(engines)), over) {
				return
			}
		}
	case ListSilent:
		f.list.silence(true)
		sleep(x.For, over)
		f.list.silence(false)
	case ListSlow:
		f.list.mu.Lock()
		f.list.slow = 0.1
		f.list.mu.Unlock()
		sleep(x.For, over)
		f.list.mu.Lock()
		f.list.slow = 0
		f.list.mu.Unlock()
	case ListLate:
		f.list.mu.Lock()
		f.list.late = 4
		f.list.mu.Unlock()
		sleep(x.For, over)
		f.list.mu.Lock()
		f.list.late = 0
		f.list.mu.Unlock()
	case ListFlaps:
		for end := f.now() + x.For; f.now() < end; {
			for _, state := range []string{stateDraining, stateUp} {
				for _, e := range engines {
					f.list.flap(e, state)
				}
				if !sleep(1, over) {
					return
				}
			}
		}
	case Restarts, Kills, IdleClients:
		others(x)
	case Burst, HeavyPrompts, RetryStorm, ClientsLeave, SlowClients, TenantOverrun: // the clients' doing
	default:
		for _, e := range engines {
			e.set(Trouble(x.Kind))
		}
		sleep(x.For, over)
		for _, e := range engines {
			e.set(Healthy)
		}
	}
}

// revive starts an engine that has died; discovery hears of it later.
func (f *fleet) revive(e *engine, over <-chan struct{}) {
	select {
	case <-over:
		return
	default:
	}
	e.start(true)
	f.list.change(e, stateUp, f.site.NoticeS/2)
}

// replace drains an engine, ends it and starts it anew.
func (f *fleet) replace(e *engine, over <-chan struct{}) {
	f.list.flap(e, stateDraining)
	f.list.countsAsTold(e.ID, stateDraining)
	if !sleep(drainFor, over) {
		return
	}
	e.kill()
	f.list.change(e, stateRemoved, f.site.NoticeS/2)
	if sleep(f.site.NoticeS+startFor, over) {
		f.revive(e, over)
	}
}

// How long an engine is given to finish what it has, and to start anew (s).
const (
	drainFor = 3.0
	startFor = 1.0
)

// report judges the rules and gathers the results.
func (p *play) report() *Report {
	c := rules.Config{Classes: map[string]rules.Class{}, Engines: map[string]rules.Engine{}, AnswerSlack: 0.058, DrainGrace: p.site.DrainGrace,
		ListLag: 0.05, OverloadMultiple: 1e6, SlowStartWindow: p.site.TipAfter, StateReleaseLimit: p.site.LetGoBy + 0.05, Skew: 0.3}
	for i, x := range p.site.Classes {
		c.Classes[className(i)] = rules.Class{Effect: x.Effect, Group: x.Group, KeyTTL: x.KeyTTL}
	}
	for _, e := range p.engines {
		c.Engines[e.ID] = rules.Engine{Cell: fmt.Sprint(e.Cell), Zone: zoneName(e.Zone), PrefillTokensPerSecond: 1, DecodeTokensPerSecond: 1, SlowStartShare: 1, SlowStartSeconds: 0}
	}
	r := &Report{Day: p.day, Results: p.results, Breaches: p.breaches, ColdUse: p.most}
	for _, v := range rules.Check(p.log.All(), c) {
		r.Breaches = append(r.Breaches, fmt.Sprintf("%.3f s: %s", v.T-float64(p.began.UnixNano())/1e9, v))
	}
	r.Records = p.log.All()
	return r
}
