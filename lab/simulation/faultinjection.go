package simulation

import (
	"context"
	"math"
	"math/rand/v2"
	"time"
)

const (
	// engineDrainSeconds is how long an engine drains before it restarts (s).
	engineDrainSeconds = 3.0
	// engineStartSeconds is how long an engine takes to start (s).
	engineStartSeconds = 1.0
	// slowDiscoveryShare is the fraction of its capacity to which DiscoverySlow reduces a shared discovery service.
	slowDiscoveryShare = 0.1
	// extraDiscoveryDelay is the additional delay of endpoint list changes under DiscoveryDelayed (s).
	extraDiscoveryDelay = 4
	// flapInterval is how long ListFlaps lists an engine in each state (s).
	flapInterval = 1
	// idleInterval is the time between two batches of connections of IdleClients.
	idleInterval = 500 * time.Millisecond
	// idleSeconds is how long each of these connections stays open (s).
	idleSeconds = 3
	// idleSocketDivisor divides a node's sockets: each batch opens one such part of them.
	idleSocketDivisor = 8
)

// sleep waits for a time (s); false = done was closed before.
func sleep(seconds float64, done <-chan struct{}) bool {
	timer := time.NewTimer(duration(seconds))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

// injectFaults injects the faults of a run until done is closed. injectNodeFault injects those of nodes.
func (f *fleet) injectFaults(day *Day, done <-chan struct{}, injectNodeFault func(Fault)) {
	for i, fault := range day.Faults {
		f.run(func() {
			if sleep(fault.At, done) {
				f.injectFault(fault, f.affectedEngines(fault, i), done, injectNodeFault)
			}
		})
	}
}

// affectedEngines draws the engines that a fault affects; i is the fault's index in the run.
func (f *fleet) affectedEngines(fault Fault, i int) []*engine {
	var candidates []*engine
	for _, e := range f.engines {
		if (fault.Role == "" || e.kind.Role == fault.Role) && (!fault.HasZone || e.Zone == fault.Zone) {
			candidates = append(candidates, e)
		}
	}
	rng := rand.New(rand.NewPCG(f.site.Seed, uint64(i)))
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:int(math.Ceil(fault.Fraction*float64(len(candidates))))]
}

// injectFault injects a fault and ends it after its duration.
func (f *fleet) injectFault(fault Fault, engines []*engine, done <-chan struct{}, injectNodeFault func(Fault)) {
	during := func(begin, end func()) {
		begin()
		sleep(fault.Duration, done)
		end()
	}
	switch fault.Kind {
	case EngineCrash:
		during(func() { f.crash(engines) }, func() { f.restartEngines(engines, done) })
	case RollingRestart:
		f.rollingRestart(engines, fault.Duration, done)
	case DiscoverySilent:
		during(func() { f.discovery.setSilent(true) }, func() { f.discovery.setSilent(false) })
	case DiscoverySlow:
		during(func() { f.discovery.setCapacityShare(slowDiscoveryShare) }, func() { f.discovery.setCapacityShare(0) })
	case DiscoveryDelayed:
		during(func() { f.discovery.setExtraDelay(extraDiscoveryDelay) }, func() { f.discovery.setExtraDelay(0) })
	case ListFlaps:
		f.flapList(engines, fault.Duration, done)
	case NodeRestarts, NodeKills, IdleClients:
		injectNodeFault(fault)
	case Burst, HeavyPrompts, RetryStorm, ClientsDisconnect, SlowClients, TenantOverrun:
		// The generator of requests and the clients apply these faults.
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
		f.discovery.setAfterDelay(e, stateRemoved, f.site.DiscoveryDelay)
	}
}

func (f *fleet) restartEngines(engines []*engine, done <-chan struct{}) {
	for _, e := range engines {
		f.restartEngine(e, done)
	}
}

// restartEngine cold-starts an engine that has stopped; discovery lists it after a delay.
func (f *fleet) restartEngine(e *engine, done <-chan struct{}) {
	select {
	case <-done:
		return
	default:
	}
	e.start(true)
	f.discovery.setAfterDelay(e, stateUp, f.site.DiscoveryDelay/2)
}

// rollingRestart restarts engines one after another, within a time (s).
func (f *fleet) rollingRestart(engines []*engine, seconds float64, done <-chan struct{}) {
	for _, e := range engines {
		f.run(func() { f.drainAndRestart(e, done) })
		if !sleep(seconds/float64(len(engines)), done) {
			return
		}
	}
}

func (f *fleet) drainAndRestart(e *engine, done <-chan struct{}) {
	f.discovery.set(e, stateDraining)
	f.discovery.recordDeliveryAfterDelay(e.ID, stateDraining)
	if !sleep(engineDrainSeconds, done) {
		return
	}
	e.kill()
	f.discovery.setAfterDelay(e, stateRemoved, f.site.DiscoveryDelay/2)
	if sleep(f.site.DiscoveryDelay+engineStartSeconds, done) {
		f.restartEngine(e, done)
	}
}

// flapList lists engines alternately as draining and as up, for a time (s).
func (f *fleet) flapList(engines []*engine, seconds float64, done <-chan struct{}) {
	for end := f.now() + seconds; f.now() < end; {
		for _, state := range []string{stateDraining, stateUp} {
			for _, e := range engines {
				f.discovery.set(e, state)
			}
			if !sleep(flapInterval, done) {
				return
			}
		}
	}
}

// affectedNodes draws the nodes that a fault affects, in the order in which they are affected.
func (s *Site) affectedNodes(f Fault) []int {
	rng := rand.New(rand.NewPCG(s.Seed, 0xb007))
	order := rng.Perm(s.Nodes)
	return order[:int(math.Ceil(f.Fraction*float64(len(order))))]
}

// injectNodeFault injects a fault into nodes of the product.
func (p *productRun) injectNodeFault(f Fault) {
	nodes := p.site.affectedNodes(f)
	switch f.Kind {
	case NodeRestarts:
		for step, i := range nodes {
			p.run(func() {
				if sleep(f.Duration*float64(step)/float64(len(nodes)), p.done) {
					p.restart(i, true)
				}
			})
		}
	case NodeKills:
		for _, i := range nodes {
			p.run(func() { p.restart(i, false) })
		}
	case IdleClients:
		p.run(func() { p.openIdleConnections(f.Duration) })
	}
}

// openIdleConnections opens connections that send nothing, enough to fill the connection table of each node.
func (p *productRun) openIdleConnections(seconds float64) {
	dial := p.network.Dialer("crowd")
	for end := p.now() + seconds; p.now() < end; time.Sleep(idleInterval) {
		for _, h := range p.hosts {
			for range p.site.Sockets / idleSocketDivisor {
				if conn, err := dial(context.Background(), "mem", h.name); err == nil {
					time.AfterFunc(duration(idleSeconds), func() { conn.Close() })
				}
			}
		}
	}
}
