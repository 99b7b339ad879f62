package simulation

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// drainSeconds is how long an engine is given to finish its requests before it restarts (s).
	drainSeconds = 3.0
	// engineStartSeconds is how long an engine takes to start (s).
	engineStartSeconds = 1.0
	// slowDiscoveryShare is the part of its capacity that ListSlow leaves a shared discovery.
	slowDiscoveryShare = 0.1
	// lateDiscoveryDelay is by how much ListLate delays what discovery knows (s).
	lateDiscoveryDelay = 4
	// flapInterval is how long an engine is in each state of ListFlaps (s).
	flapInterval = 1
	// idleInterval is the time between two sets of connections of IdleClients.
	idleInterval = 500 * time.Millisecond
	// idleSeconds is how long each of these connections is open (s).
	idleSeconds = 3
	// idleShare is the part of a node's sockets that one set of connections takes, as a divisor.
	idleShare = 8
)

// sleep waits for a time (s); false = the run has ended.
func sleep(seconds float64, over <-chan struct{}) bool {
	timer := time.NewTimer(duration(seconds))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-over:
		return false
	}
}

// playFaults plays the faults of a day until over is closed. playNodeFault plays those of nodes.
func (f *fleet) playFaults(day *Day, over <-chan struct{}, playNodeFault func(Fault)) {
	for i, fault := range day.Faults {
		f.run(func() {
			if sleep(fault.At, over) {
				f.playFault(fault, f.affectedEngines(fault, i), over, playNodeFault)
			}
		})
	}
}

// affectedEngines draws the engines of a fault; i is its place in the day.
func (f *fleet) affectedEngines(fault Fault, i int) []*engine {
	var candidates []*engine
	for _, e := range f.engines {
		if (fault.Role == "" || e.kind.Role == fault.Role) && (!fault.Zoned || e.Zone == fault.Zone) {
			candidates = append(candidates, e)
		}
	}
	rng := rand.New(rand.NewPCG(f.site.Seed, uint64(i)))
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:int(math.Ceil(fault.Part*float64(len(candidates))))]
}

// playFault starts a fault and ends it after its time.
func (f *fleet) playFault(fault Fault, engines []*engine, over <-chan struct{}, playNodeFault func(Fault)) {
	during := func(begin, end func()) {
		begin()
		sleep(fault.For, over)
		end()
	}
	switch fault.Kind {
	case Crash:
		during(func() { f.crash(engines) }, func() { f.restartEngines(engines, over) })
	case Release:
		f.release(engines, fault.For, over)
	case ListSilent:
		during(func() { f.discovery.setSilent(true) }, func() { f.discovery.setSilent(false) })
	case ListSlow:
		during(func() { f.discovery.setCapacityShare(slowDiscoveryShare) }, func() { f.discovery.setCapacityShare(0) })
	case ListLate:
		during(func() { f.discovery.setExtraDelay(lateDiscoveryDelay) }, func() { f.discovery.setExtraDelay(0) })
	case ListFlaps:
		f.flapList(engines, fault.For, over)
	case Restarts, Kills, IdleClients:
		playNodeFault(fault)
	case Burst, HeavyPrompts, RetryStorm, ClientsLeave, SlowClients, TenantOverrun:
		// Requests and clients look these up themselves.
	default:
		during(func() { setFaults(engines, EngineFault(fault.Kind)) }, func() { setFaults(engines, Healthy) })
	}
}

func setFaults(engines []*engine, f EngineFault) {
	for _, e := range engines {
		e.setFault(f)
	}
}

func (f *fleet) crash(engines []*engine) {
	for _, e := range engines {
		e.kill()
		f.discovery.setLater(e, stateRemoved, f.site.DiscoveryDelay)
	}
}

func (f *fleet) restartEngines(engines []*engine, over <-chan struct{}) {
	for _, e := range engines {
		f.restartEngine(e, over)
	}
}

// restartEngine starts an engine that has ended, cold; discovery knows of it later.
func (f *fleet) restartEngine(e *engine, over <-chan struct{}) {
	select {
	case <-over:
		return
	default:
	}
	e.start(true)
	f.discovery.setLater(e, stateUp, f.site.DiscoveryDelay/2)
}

// release restarts engines one after another, within a time (s).
func (f *fleet) release(engines []*engine, within float64, over <-chan struct{}) {
	for _, e := range engines {
		f.run(func() { f.drainAndRestart(e, over) })
		if !sleep(within/float64(len(engines)), over) {
			return
		}
	}
}

func (f *fleet) drainAndRestart(e *engine, over <-chan struct{}) {
	f.discovery.set(e, stateDraining)
	f.discovery.recordDeliveryLater(e.ID, stateDraining)
	if !sleep(drainSeconds, over) {
		return
	}
	e.kill()
	f.discovery.setLater(e, stateRemoved, f.site.DiscoveryDelay/2)
	if sleep(f.site.DiscoveryDelay+engineStartSeconds, over) {
		f.restartEngine(e, over)
	}
}

// flapList lists engines as draining and as up in turn, for a time (s).
func (f *fleet) flapList(engines []*engine, length float64, over <-chan struct{}) {
	for end := f.now() + length; f.now() < end; {
		for _, state := range []string{stateDraining, stateUp} {
			for _, e := range engines {
				f.discovery.set(e, state)
			}
			if !sleep(flapInterval, over) {
				return
			}
		}
	}
}

// affectedNodes draws the nodes of a fault, in the order in which it affects them.
func (s *Site) affectedNodes(f Fault) []int {
	rng := rand.New(rand.NewPCG(s.Seed, 0xb007))
	order := rng.Perm(s.Nodes)
	return order[:int(math.Ceil(f.Part*float64(len(order))))]
}

// playNodeFault plays a fault of nodes on the product.
func (p *productRun) playNodeFault(f Fault) {
	nodes := p.site.affectedNodes(f)
	switch f.Kind {
	case Restarts:
		for step, i := range nodes {
			p.run(func() {
				if sleep(f.For*float64(step)/float64(len(nodes)), p.over) {
					p.restart(i, true)
				}
			})
		}
	case Kills:
		for _, i := range nodes {
			p.run(func() { p.restart(i, false) })
		}
	case IdleClients:
		p.run(func() { p.openIdleConnections(f.For) })
	}
}

// openIdleConnections opens connections that send nothing, as many as fill the connection table of a node.
func (p *productRun) openIdleConnections(length float64) {
	dial := p.network.Dialer("crowd")
	for end := p.now() + length; p.now() < end; time.Sleep(idleInterval) {
		for _, h := range p.hosts {
			for range p.site.Sockets / idleShare {
				if conn, err := dial(context.Background(), "mem", h.name); err == nil {
					time.AfterFunc(duration(idleSeconds), func() { conn.Close() })
				}
			}
		}
	}
}
