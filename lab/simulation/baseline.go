package simulation

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Policy changes the plain policy, so that the oracle itself can be tested.
type Policy struct {
	RefuseAll  bool
	LoseThird  bool
	NeverCold  bool // engines that are warming up get nothing
	RefuseFrom float64
	RefuseTo   float64 // s between which all is refused
}

// plain serves the day by a plain policy, with no sockets between: the nearest engines, of them the one at which this node has
// least under way, another one after a failure, within the limits that hold for the nodes.
type plain struct {
	*fleet
	day    *Day
	policy Policy

	mu       sync.Mutex
	rng      *rand.Rand
	inflight map[string]int // by node and engine
	down     map[int]bool   // nodes that have been told to end and are not back
}

// PlayBaseline plays the day by the plain policy, inside a synctest bubble.
func (d *Day) PlayBaseline(policy Policy) *Report {
	p := &plain{fleet: newFleet(d.Site, nil), day: d, policy: policy, rng: rand.New(rand.NewPCG(d.Site.Seed, 0x91a1)), inflight: map[string]int{}, down: map[int]bool{}}
	over := make(chan struct{})
	p.fleet.strike(d, over, func(f Fault) { p.lose(f, over) })
	var clients sync.WaitGroup
	var mu sync.Mutex
	var results []Result
	for _, q := range d.requests() {
		if wait := q.at - p.now(); wait > 0 {
			time.Sleep(duration(wait))
		}
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := p.ask(q)
			mu.Lock()
			results = append(results, r)
			mu.Unlock()
		}()
	}
	clients.Wait()
	close(over)
	p.list.silence(false)
	for _, e := range p.engines {
		e.kill()
	}
	p.wg.Wait()
	return &Report{Day: d, Results: results}
}

// lose has nodes end and come back, with nobody in their place: told to end, they take nothing more for as long as they may run
// on, which is as long as the product may take.
func (p *plain) lose(f Fault, over <-chan struct{}) {
	rng := rand.New(rand.NewPCG(p.site.Seed, 0xb007))
	order := rng.Perm(p.site.Nodes)
	order = order[:int(math.Ceil(f.Part*float64(len(order))))]
	for k, i := range order {
		step, away := 0.0, startsWithin
		switch f.Kind {
		case Restarts:
			step, away = f.For/float64(len(order)), killAfter+min(killCounts, p.patience())+startsWithin
		case Kills:
		default:
			return
		}
		p.run(func() {
			if !sleep(step*float64(k), over) {
				return
			}
			p.setDown(i, true)
			sleep(away, over)
			p.setDown(i, false)
		})
	}
}

func (p *plain) setDown(node int, on bool) {
	p.mu.Lock()
	p.down[node] = on
	p.mu.Unlock()
}

// node is the one that takes a request: by chance, of those that run; -1 = none does.
func (p *plain) node(chance float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := int(chance * float64(p.site.Nodes))
	for i := range p.site.Nodes {
		if n := (first + i) % p.site.Nodes; !p.down[n] {
			return n
		}
	}
	return -1
}

// ask makes a request, and comes again as clients do.
func (p *plain) ask(q *request) Result {
	c := p.site.Classes[q.class]
	res := Result{At: q.at, Class: q.class, Tenant: q.tenant, Asked: c.Worth, Ending: Refused}
	began := time.Now()
	if p.policy.RefuseAll || p.policy.LoseThird && q.draw[0] < 1.0/3 || q.at >= p.policy.RefuseFrom && q.at < p.policy.RefuseTo {
		return res
	}
	if q.leaves > 0 {
		res.Ending = Left
		return res
	}
	node := p.node(q.draw[0])
	for i := 0; node < 0; i++ {
		if res.Ending = Unmet; i == 4 {
			return res
		}
		time.Sleep(duration(0.2))
		node = p.node(q.draw[0])
	}
	for range p.site.ClientRetries + 1 {
		first, end, safe := p.serve(node, q, time.Now().Add(duration(c.Patience*(0.6+0.4*q.draw[1]))))
		if !first.IsZero() {
			res.Ending, res.Served = p.site.paced(q, first, end), c.Worth
			if res.Ending == Late || first.Sub(began).Seconds() > c.Aim+c.AimPerK*q.prompt/1000 {
				res.Ending, res.Served = Late, c.Worth*c.Late
			}
			return res
		}
		if !safe && c.Effect == "once" || time.Since(began).Seconds() > c.Patience {
			res.Ending = Failed
			return res
		}
		time.Sleep(duration(p.site.Backoff + 0.05))
	}
	return res
}

// serve makes attempts until one streams to its end; safe = none of them can have run.
func (p *plain) serve(node int, q *request, deadline time.Time) (first, end time.Time, safe bool) {
	var state, last *engine
	for left := p.site.MaxAttempts; left > 0 && time.Now().Before(deadline); left-- {
		reads := state == nil && left > 1
		e := p.pick(node, q, func(e *engine) bool {
			switch {
			case e == last:
				return false
			case reads:
				return e.kind.Role != RoleWrite
			case state == nil:
				return e.kind.Role == RoleMixed || e.kind.Role == RoleWrite && p.site.LocalRead
			}
			return e.kind.Role != RoleRead
		})
		if e == nil {
			last = nil
			time.Sleep(duration(0.05))
			continue
		}
		timeout := time.Until(deadline)
		if left > 1 {
			timeout /= 2
		}
		got, at := p.attempt(node, e, q, state, timeout)
		switch {
		case got == done && e.kind.Role == RoleRead:
			state, last = e, nil
		case !at.IsZero() && got == done:
			return at, time.Now(), true
		case !at.IsZero():
			return time.Time{}, time.Time{}, false
		case got == noState:
			state = nil
		case got == turned:
			last = e
		default:
			last = e
			if e.kind.Role != RoleRead && p.site.Classes[q.class].Effect != "repeatable" {
				if _, up, _, _ := e.state(); up { // else its connection was refused
					return time.Time{}, time.Time{}, false
				}
			}
		}
	}
	return time.Time{}, time.Time{}, true
}

// pick returns the engine of the node's zone, else of any, at which the node has least under way.
func (p *plain) pick(node int, q *request, fit func(*engine) bool) *engine {
	var best *engine
	least := 1e9
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.list.ready() {
		if !fit(e) {
			continue
		}
		if e.cold() && (p.policy.NeverCold || !e.bears()) {
			continue
		}
		cost := float64(p.inflight[key(node, e)]) + 0.5*p.rng.Float64()
		if e.Zone != node%len(p.site.Zones) {
			cost += 2
		}
		if cost < least {
			best, least = e, cost
		}
	}
	return best
}

func key(node int, e *engine) string { return nodeName(node) + e.ID }

// attempt makes one attempt, and gives it up when its time is over before the first token.
func (p *plain) attempt(node int, e *engine, q *request, state *engine, timeout time.Duration) (got outcome, first time.Time) {
	p.mu.Lock()
	p.inflight[key(node, e)]++
	p.mu.Unlock()
	e.arrived(q)
	defer func() {
		p.mu.Lock()
		p.inflight[key(node, e)]--
		p.mu.Unlock()
	}()
	gone := make(chan struct{})
	type ended struct{ outcome }
	over := make(chan ended, 1)
	var mu sync.Mutex
	p.run(func() {
		if e.kind.Role == RoleRead {
			over <- ended{e.read(q, gone)}
			return
		}
		started := func() bool {
			mu.Lock()
			defer mu.Unlock()
			select {
			case <-gone:
				return false
			default:
			}
			first = time.Now()
			return true
		}
		over <- ended{e.write(q, state, gone, started, func(int) bool { return true })}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case x := <-over:
		return x.outcome, first
	case <-timer.C:
	}
	mu.Lock()
	if first.IsZero() {
		close(gone)
		mu.Unlock()
		return broken, first
	}
	mu.Unlock()
	stall := time.NewTimer(time.Minute)
	defer stall.Stop()
	select {
	case x := <-over:
		return x.outcome, first
	case <-stall.C:
		close(gone)
		return broken, first
	}
}
